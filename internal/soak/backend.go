package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// manner is how a backend meets commands.
type manner int

const (
	usual   manner = iota // serves, with few faults of each kind
	hanging               // takes commands and says nothing
	failing               // answers errors, breaks connections, spoils answers
)

// reaction is what happens to one command.
type reaction int

const (
	serve reaction = iota
	turnAway
	failIt
	breakOff // reset after the command is whole
	spoil    // noise in place of the answer
	serveTwo // a second copy of the answer right behind it
	endless  // an answer that begins and never ends
	sayNothing
)

const workMost = 60 * time.Millisecond

// backend serves commands and tells the ledger of them.
type backend struct {
	world *world
	index int
	ln    net.Listener

	mu      sync.Mutex
	rng     *rand.Rand
	manner  manner
	drained time.Time
	conns   map[net.Conn]struct{}
	closed  bool
	all     sync.WaitGroup
}

func newBackend(w *world, index int, rng *rand.Rand) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{world: w, index: index, ln: ln, rng: rng, conns: map[net.Conn]struct{}{}}
	b.all.Go(b.accept)
	return b, nil
}

func (b *backend) addr() string { return b.ln.Addr().String() }

func (b *backend) close() {
	b.ln.Close()
	b.mu.Lock()
	b.closed = true
	for nc := range b.conns {
		nc.Close()
	}
	b.mu.Unlock()
	b.all.Wait()
}

// drain makes it turn away what is new, or take it again.
func (b *backend) drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drained = time.Time{}
	if on {
		b.drained = time.Now()
	}
}

func (b *backend) setManner(m manner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.manner = m
}

func (b *backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			nc.Close()
		}
		b.conns[nc] = struct{}{}
		b.mu.Unlock()
		b.all.Go(func() {
			b.handle(nc)
			b.mu.Lock()
			delete(b.conns, nc)
			b.mu.Unlock()
			nc.Close()
		})
	}
}

// watched notes when the first byte of a command has come.
type watched struct {
	net.Conn
	first time.Time
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 && w.first.IsZero() {
		w.first = time.Now()
	}
	return n, err
}

func (b *backend) handle(nc net.Conn) {
	from := &watched{Conn: nc}
	for in := redcon.NewReader(bufio.NewReader(from)); ; {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		if !b.command(nc, cmd.Args, from.first) {
			return
		}
		from.first = time.Time{}
	}
}

// command reacts to one command; it says whether the connection goes on.
func (b *backend) command(nc net.Conn, args [][]byte, first time.Time) bool {
	if len(args) < 4 {
		io.WriteString(nc, "-ERR unknown command\r\n")
		return true
	}
	id, err := strconv.ParseUint(string(args[2]), 16, 64)
	if err != nil {
		b.world.ledger.violated(WrongAnswer, -1, "a command with the id %q at backend %d", args[2], b.index)
		return false
	}
	what, work, drained := b.react()
	if what != turnAway {
		b.world.ledger.ran(id, attemptSeen{first, toldOf(string(args[3])), b.world.quiet(b.index)}, drained, b.index)
	}
	return carryOut(nc, what, id, work)
}

// react draws what happens to a command.
func (b *backend) react() (what reaction, work time.Duration, drained time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work = time.Duration(b.rng.Int64N(int64(workMost)))
	x := b.rng.Float64()
	switch {
	case !b.drained.IsZero() && x < 0.8: // a few are taken all the same, to see them
		return turnAway, 0, b.drained
	case b.manner == hanging:
		return sayNothing, 0, b.drained
	}
	if b.manner == failing {
		x *= 0.3
	}
	for what, share := range map[reaction][2]float64{turnAway: {0, 0.03}, failIt: {0.03, 0.05}, breakOff: {0.05, 0.07},
		spoil: {0.07, 0.08}, serveTwo: {0.08, 0.09}, endless: {0.09, 0.1}, sayNothing: {0.1, 0.12}} {
		if x >= share[0] && x < share[1] {
			return what, work, b.drained
		}
	}
	return serve, work, b.drained
}

func carryOut(nc net.Conn, what reaction, id uint64, work time.Duration) bool {
	value := valueOf(id)
	answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch what {
	case turnAway:
		answer = "-BUSY\r\n"
	case failIt:
		answer = "-ERR failed\r\n"
	case breakOff:
		time.Sleep(work)
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case spoil:
		answer = "\x00\xffnoise\r\n"
	case serveTwo:
		answer += answer
	case endless:
		answer = answer[:len(answer)/2]
	case sayNothing:
		return true
	}
	time.Sleep(work)
	_, err := io.WriteString(nc, answer)
	return err == nil
}

// valueOf is what a request is served with.
func valueOf(id uint64) string { return fmt.Sprintf("value of %016x", id) }

// toldOf is the time that a command's fields tell.
func toldOf(fields string) time.Duration {
	for pair := range strings.SplitSeq(fields, ",") {
		if ms, ok := strings.CutPrefix(pair, "d="); ok {
			n, _ := strconv.Atoi(ms)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}
