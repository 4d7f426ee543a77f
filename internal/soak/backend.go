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

// backendMode is how a backend treats commands.
type backendMode int

const (
	modeServing backendMode = iota // it serves, with few faults of each kind
	modeHanging                    // it accepts commands and never replies
	modeFailing                    // it replies with errors, resets connections, corrupts replies
)

// reaction is what a backend does with one command.
type reaction int

const (
	reactServe           reaction = iota
	reactReject                   // as not executed
	reactError                    // reply with an error
	reactReset                    // reset the connection, after the work
	reactCorruptReply             // reply with bytes that are no reply
	reactDuplicateReply           // send the same reply twice
	reactIncompleteReply          // begin a reply and never end it
	reactNoReply
)

// reactions of a backend that serves: each happens if the uniform draw is below its limit and not below the one before.
var reactions = []struct {
	limit    float64
	reaction reaction
}{
	{0.03, reactReject}, {0.05, reactError}, {0.07, reactReset}, {0.08, reactCorruptReply}, {0.09, reactDuplicateReply},
	{0.1, reactIncompleteReply}, {0.12, reactNoReply}, {1, reactServe},
}

const (
	maxWork             = 60 * time.Millisecond // of one command
	failingScale        = 0.3                   // of the draw of a failing backend: four commands in ten go wrong
	drainingRejectShare = 0.8                   // of commands that a draining backend rejects; it executes the others, for the checks
)

// backend serves commands and reports them to the checker.
type backend struct {
	checker *checker
	index   int
	ln      net.Listener
	serving sync.WaitGroup // the goroutines that accept and serve connections; close ends them

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	mode          backendMode
	drainingSince time.Time // zero: it does not drain
	conns         map[net.Conn]struct{}
	closed        bool
}

func newBackend(c *checker, index int, rng *rand.Rand) (*backend, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	b := &backend{checker: c, index: index, ln: ln, rng: rng, conns: map[net.Conn]struct{}{}}
	b.serving.Go(b.accept) // close ends it and waits for it
	return b, nil
}

func (b *backend) addr() string { return b.ln.Addr().String() }

// close closes the listener and all connections and waits for their goroutines.
func (b *backend) close() {
	b.ln.Close()
	b.mu.Lock()
	b.closed = true
	for nc := range b.conns {
		nc.Close()
	}
	b.mu.Unlock()
	b.serving.Wait()
}

// setDraining makes the backend reject new commands, or serve them again.
func (b *backend) setDraining(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainingSince = time.Time{}
	if on {
		b.drainingSince = time.Now()
	}
}

func (b *backend) setMode(m backendMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = m
}

func (b *backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		if !b.add(nc) {
			nc.Close()
			return
		}
		b.serving.Go(func() { // close closes the connection, which ends it, and waits for it
			defer b.remove(nc)
			b.handle(nc)
		})
	}
}

// add reports whether a new connection is served, which it is not after close.
func (b *backend) add(nc net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.conns[nc] = struct{}{}
	return true
}

func (b *backend) remove(nc net.Conn) {
	b.mu.Lock()
	delete(b.conns, nc)
	b.mu.Unlock()
	nc.Close()
}

// firstByteConn records when the first byte of a command arrived.
type firstByteConn struct {
	net.Conn
	firstByteAt time.Time // zero: not yet
}

// Read reads from the connection.
func (c *firstByteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
	return n, err
}

func (b *backend) handle(nc net.Conn) {
	conn := &firstByteConn{Conn: nc}
	for in := redcon.NewReader(bufio.NewReader(conn)); ; {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		if !b.execute(nc, cmd.Args, conn.firstByteAt) {
			return
		}
		conn.firstByteAt = time.Time{}
	}
}

// execute reacts to one command; it reports whether the connection stays open.
func (b *backend) execute(nc net.Conn, args [][]byte, firstByteAt time.Time) bool {
	if len(args) < 4 {
		io.WriteString(nc, "-ERR unknown command\r\n")
		return true
	}
	id, err := strconv.ParseUint(string(args[2]), 16, 64)
	if err != nil {
		b.checker.violations.report(WrongReply, noIngress, "a command with the id %q at backend %d", args[2], b.index)
		return false
	}
	what, work, drainingSince := b.react()
	if what != reactReject {
		a := attempt{firstByteAt, timeLeftOf(string(args[3])), b.checker.disruptions.undelayed(b.index)}
		b.checker.attempted(id, a, drainingSince, b.index)
	}
	return carryOut(nc, what, id, work)
}

// react draws what happens to a command and how long it takes.
func (b *backend) react() (what reaction, work time.Duration, drainingSince time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work = time.Duration(b.rng.Int64N(int64(maxWork)))
	draw := b.rng.Float64()
	switch {
	case !b.drainingSince.IsZero() && draw < drainingRejectShare:
		return reactReject, 0, b.drainingSince
	case b.mode == modeHanging:
		return reactNoReply, 0, b.drainingSince
	case b.mode == modeFailing:
		draw *= failingScale
	}
	for _, r := range reactions {
		if draw < r.limit {
			return r.reaction, work, b.drainingSince
		}
	}
	return reactServe, work, b.drainingSince
}

// carryOut does what was drawn; it reports whether the connection stays open.
func carryOut(nc net.Conn, what reaction, id uint64, work time.Duration) bool {
	value := valueOf(id)
	reply := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch what {
	case reactReject:
		reply = "-BUSY\r\n"
	case reactError:
		reply = "-ERR failed\r\n"
	case reactReset:
		time.Sleep(work)
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case reactCorruptReply:
		reply = "\x00\xffnoise\r\n"
	case reactDuplicateReply:
		reply += reply
	case reactIncompleteReply:
		reply = reply[:len(reply)/2]
	case reactNoReply:
		return true
	}
	time.Sleep(work)
	_, err := io.WriteString(nc, reply)
	return err == nil
}

// valueOf is the value of the reply to a request. It differs from request to request, so that a mix-up is found.
func valueOf(id uint64) string { return fmt.Sprintf("value of %016x", id) }

// timeLeftOf returns the time until the client's deadline that the fields of a command tell; 0: none.
func timeLeftOf(fields string) time.Duration {
	for field := range strings.SplitSeq(fields, ",") {
		if text, ok := strings.CutPrefix(field, "d="); ok {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
