package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

// deadlineConn records for each call of SetReadDeadline whether it sets a deadline or clears it.
type deadlineConn struct {
	net.Conn
	set []bool
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error {
	d.set = append(d.set, !t.IsZero())
	return nil
}

// readDeadlineCalls sends the parts in writes of their own and returns the calls of SetReadDeadline in the meantime.
func readDeadlineCalls(t *testing.T, parts ...string) string {
	t.Helper()
	near, far := net.Pipe()
	s, _ := newServer(nil, 1, 1<<20)
	socket := &deadlineConn{Conn: near}
	c := newConn(s, socket)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readCommands()
	}()
	for _, part := range parts {
		io.WriteString(far, part)
	}
	far.Close()
	<-done
	return fmt.Sprint(socket.set)
}

// A command that has begun has a deadline, so that a half-open connection does not remain; between commands a client may be
// idle.
func TestOnlyPartialCommandsHaveADeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	if got := readDeadlineCalls(t, ping, ping[:5], ping[5:], ping); got != "[true false]" {
		t.Fatalf("deadlines set: %v, want one inside the split command, cleared after it", got)
	}
}

// Each partial command has its own deadline: a client that goes on sending was once disconnected by that of the first one.
func TestEachCommandHasItsOwnDeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	got := readDeadlineCalls(t, ping[:5], ping[5:]+ping[:5], ping[5:]+ping[:5], ping[5:])
	if got != "[true false true false true false]" {
		t.Fatalf("deadlines set: %s, want one for each command", got)
	}
}

// Repeated invalid commands are answered ever more slowly, and at last the connection is closed. Those that were read by then
// have their answers in order: beyond the last fault, what one connection may buffer at most.
func TestRepeatedInvalidCommandsCloseTheConnection(t *testing.T) {
	ln := nettest.Listen(t)
	s, _ := newServer(ln, 16, 1<<20)
	ctx, stop := context.WithCancel(context.Background())
	swept := make(chan struct{})
	go s.Serve() // ends with the listener
	go func() {
		defer close(swept)
		s.SweepIdle(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-swept
	})
	socket, in := nettest.Dial(t, ln.Addr().String())
	hello, answer := nettest.Command("HELLO"), "-ERR unknown command\r\n"
	go io.WriteString(socket, strings.Repeat(hello, 10_000))
	rest, err := io.ReadAll(in)
	n, limit := strings.Count(string(rest), answer), maxFaults+(resp.MaxFrameLength+resp.MaxLineLength+resp.InitialBufferSize)/len(hello)
	if n < maxFaults || n > limit || len(rest) != n*len(answer) {
		t.Fatalf("%d errors in %d bytes, %v; want %d to %d and the end", n, len(rest), err, maxFaults, limit)
	}
}

// Commands beyond the pipeline limit are rejected in their order. Far beyond it the connection is closed, after all answers:
// each command that was read has one, also those behind the one that exceeded the limit.
func TestCommandsBeyondThePipelineLimitAreRejectedInOrder(t *testing.T) {
	const behind = 39
	var b strings.Builder
	for i := range maxUnwrittenCommands + 1 + behind {
		b.WriteString(nettest.Ask(i, nettest.ReadFields))
	}
	near, far := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	c := newConn(s, near)
	done := serve(c)
	io.WriteString(far, b.String())
	var admitted []*Request
	for range MaxPipelined {
		admitted = append(admitted, <-rec.received)
	}
	nettest.Eventually(t, "all commands are read", func() bool { return c.hasUnwrittenCommands(maxUnwrittenCommands + 1 + behind) })
	for _, request := range admitted { // no command is answered before
		request.Respond([]byte("+admitted\r\n"))
	}
	want := strings.Repeat("+admitted\r\n", MaxPipelined) + strings.Repeat("-BUSY\r\n", maxUnwrittenCommands-MaxPipelined) +
		"-ERR too many commands at once\r\n" + strings.Repeat("-BUSY\r\n", behind)
	if got, err := io.ReadAll(far); string(got) != want || err != nil {
		t.Fatalf("answers %q, %v", got, err)
	}
	nettest.Await(t, "the connection's end", done)
	if n, disconnects := len(rec.received), len(rec.disconnected); n > 0 || disconnects > 0 {
		t.Fatalf("%d requests and %d disconnects after the admitted commands", n, disconnects)
	}
}
