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

// backendMode states how a backend handles commands.
type backendMode int

const (
	modeServing backendMode = iota // serves most commands and mishandles the rest, as actionShares states
	modeHanging                    // accepts commands and never replies
	modeFailing                    // serves and mishandles like modeServing, with a larger share of mishandled commands
)

// backendAction states how a backend handles one command.
type backendAction int

const (
	actionServe           backendAction = iota
	actionReject                        // replies that the command was not executed
	actionError                         // replies with an error
	actionReset                         // resets the connection after the work time
	actionCorruptReply                  // replies with bytes that are not a reply of the protocol
	actionDuplicateReply                // sends the same reply twice
	actionIncompleteReply               // sends the first half of a reply
	actionNoReply
)

// actionShares are the shares of the actions in serving mode. A uniform draw selects the first action whose cumulative share
// exceeds it.
var actionShares = []struct {
	cumulativeShare float64
	action          backendAction
}{
	{0.03, actionReject}, {0.05, actionError}, {0.07, actionReset}, {0.08, actionCorruptReply}, {0.09, actionDuplicateReply},
	{0.1, actionIncompleteReply}, {0.12, actionNoReply}, {1, actionServe},
}

const (
	maxWorkTime         = 60 * time.Millisecond // maximum delay of the response to a command
	failingDrawScale    = 0.3                   // factor for the draw in modeFailing; the backend mishandles 40% of the commands
	drainingRejectShare = 0.8                   // share of commands that a draining backend rejects; the checker checks the rest
)

// backend serves commands and reports the attempts to the checker.
type backend struct {
	checker    *checker
	index      int
	ln         net.Listener
	goroutines sync.WaitGroup // goroutines that accept and serve connections; close waits for them

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	mode          backendMode
	drainingSince time.Time // zero means that it does not drain
	conns         map[net.Conn]struct{}
	closed        bool
}

func newBackend(c *checker, index int, rng *rand.Rand) (*backend, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	b := &backend{checker: c, index: index, ln: ln, rng: rng, conns: map[net.Conn]struct{}{}}
	b.goroutines.Go(b.acceptConns) // ends when close closes the listener
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
	b.goroutines.Wait()
}

// setDraining starts or ends draining: a draining backend rejects most commands.
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

func (b *backend) acceptConns() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		if !b.addConn(nc) {
			nc.Close()
			return
		}
		b.goroutines.Go(func() { // ends with the connection, which close closes
			defer b.removeConn(nc)
			b.serveConn(nc)
		})
	}
}

// addConn adds a new connection. It reports false after close.
func (b *backend) addConn(nc net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.conns[nc] = struct{}{}
	return true
}

func (b *backend) removeConn(nc net.Conn) {
	b.mu.Lock()
	delete(b.conns, nc)
	b.mu.Unlock()
	nc.Close()
}

// firstByteConn records the arrival time of the first byte of a command.
type firstByteConn struct {
	net.Conn
	firstByteAt time.Time // zero means that no byte has arrived
}

// Read reads from the connection and records the time of the first byte.
func (fc *firstByteConn) Read(p []byte) (int, error) {
	n, err := fc.Conn.Read(p)
	if n > 0 && fc.firstByteAt.IsZero() {
		fc.firstByteAt = time.Now()
	}
	return n, err
}

func (b *backend) serveConn(nc net.Conn) {
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

// execute handles one command. It reports whether the connection stays open.
func (b *backend) execute(nc net.Conn, args [][]byte, firstByteAt time.Time) bool {
	if len(args) < 4 {
		io.WriteString(nc, "-ERR unknown command\r\n")
		return true
	}
	id, err := strconv.ParseUint(string(args[2]), 16, 64)
	if err != nil {
		b.checker.violations.record(WrongReply, noIngress,
			"got request id %q at backend %d, want a hexadecimal number", args[2], b.index)
		return false
	}
	action, workTime, drainingSince := b.drawAction()
	if action != actionReject {
		received := attempt{firstByteAt, timeLeftOf(string(args[3])), b.checker.disruptions.isUndelayed(b.index)}
		b.checker.recordAttempt(id, received, drainingSince, b.index)
	}
	return perform(nc, action, id, workTime)
}

// drawAction draws the action for a command and its work time. It also returns the time since which the backend drains.
func (b *backend) drawAction() (action backendAction, workTime time.Duration, drainingSince time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	workTime = time.Duration(b.rng.Int64N(int64(maxWorkTime)))
	draw := b.rng.Float64()
	switch {
	case !b.drainingSince.IsZero() && draw < drainingRejectShare:
		return actionReject, 0, b.drainingSince
	case b.mode == modeHanging:
		return actionNoReply, 0, b.drainingSince
	case b.mode == modeFailing:
		draw *= failingDrawScale
	}
	for _, a := range actionShares {
		if draw < a.cumulativeShare {
			return a.action, workTime, b.drainingSince
		}
	}
	return actionServe, workTime, b.drainingSince
}

// perform performs an action for a command. It reports whether the connection stays open.
func perform(nc net.Conn, action backendAction, id uint64, workTime time.Duration) bool {
	value := valueOf(id)
	reply := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch action {
	case actionReject:
		reply = "-BUSY\r\n"
	case actionError:
		reply = "-ERR failed\r\n"
	case actionReset:
		time.Sleep(workTime)
		nc.(*net.TCPConn).SetLinger(0)
		return false
	case actionCorruptReply:
		reply = "\x00\xffnoise\r\n"
	case actionDuplicateReply:
		reply += reply
	case actionIncompleteReply:
		reply = reply[:len(reply)/2]
	case actionNoReply:
		return true
	}
	time.Sleep(workTime)
	_, err := io.WriteString(nc, reply)
	return err == nil
}

// valueOf returns the value of the reply to a request. Each request has a different value, so that a reply to the wrong
// request is detected.
func valueOf(id uint64) string { return fmt.Sprintf("value of %016x", id) }

// timeLeftOf returns the time until the client's deadline in the fields of a command; zero if they do not contain it.
func timeLeftOf(fields string) time.Duration {
	for field := range strings.SplitSeq(fields, ",") {
		if text, ok := strings.CutPrefix(field, "d="); ok {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
