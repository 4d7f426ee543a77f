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

// deadlineConn notes whether the read deadlines that are set on a connection are ones, or take one off.
type deadlineConn struct {
	net.Conn
	set []bool
}

func (l *deadlineConn) SetReadDeadline(t time.Time) error {
	l.set = append(l.set, !t.IsZero())
	return nil
}

// deadlinesSet reads the parts one after another and returns the read deadlines that were set meanwhile.
func deadlinesSet(t *testing.T, parts ...string) string {
	t.Helper()
	near, far := net.Pipe()
	s, _ := newServer(nil, 1, 1<<20)
	socket := &deadlineConn{Conn: near}
	c := newConn(s, socket)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.read()
	}()
	for _, part := range parts {
		io.WriteString(far, part)
	}
	far.Close()
	<-done
	return fmt.Sprint(socket.set)
}

// A command that has begun must end in time, so that a half-open client does not stay for good; between
// commands a client may be silent.
func TestOnlyPartialCommandsHaveADeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	if got := deadlinesSet(t, ping, ping[:5], ping[5:], ping); got != "[true false]" {
		t.Fatalf("deadlines set: %v, want one inside the split command, taken off after it", got)
	}
}

// Each command has its own time to end: a client that goes on sending was once cut off for the first half command in a row.
func TestEachCommandHasItsOwnDeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	got := deadlinesSet(t, ping[:5], ping[5:]+ping[:5], ping[5:]+ping[:5], ping[5:])
	if got != "[true false true false true false]" {
		t.Fatalf("deadlines set: %s, want one for each command", got)
	}
}

// Nonsense over and over is answered ever more slowly, and ends the connection: what had been read by then has its answers in
// order, which is what one connection may hold unread beyond the last fault at most.
func TestRepeatedNonsenseEndsTheConnection(t *testing.T) {
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
	n, most := strings.Count(string(rest), answer), maxFaults+(resp.MaxFrameLength+resp.MaxLineLength+resp.InitialBufferSize)/len(hello)
	if n < maxFaults || n > most || len(rest) != n*len(answer) {
		t.Fatalf("%d errors in %d bytes, %v; want %d to %d and the end", n, len(rest), err, maxFaults, most)
	}
}

// Commands beyond the number that may wait are rejected in their order, and far beyond it the connection ends, after
// all answers: each of what was read has one, also behind the command that was one too many.
func TestManyCommandsAtOnceAreRejectedInOrder(t *testing.T) {
	const behind = 39
	var b strings.Builder
	for i := range maxUnwritten + 1 + behind {
		b.WriteString(nettest.Ask(i, nettest.ReadFields))
	}
	near, far := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	c := newConn(s, near)
	done := serve(c)
	io.WriteString(far, b.String())
	var taken []*Request
	for range MaxPipelined {
		taken = append(taken, <-rec.received)
	}
	for !c.unwrittenAtLeast(maxUnwritten + 1 + behind) {
		time.Sleep(time.Millisecond)
	}
	for _, request := range taken { // nothing is answered before
		request.Respond([]byte("+taken\r\n"))
	}
	want := strings.Repeat("+taken\r\n", MaxPipelined) + strings.Repeat("-BUSY\r\n", maxUnwritten-MaxPipelined) +
		"-ERR too many commands at once\r\n" + strings.Repeat("-BUSY\r\n", behind)
	if got, err := io.ReadAll(far); string(got) != want || err != nil {
		t.Fatalf("answers %q, %v", got, err)
	}
	nettest.Await(t, "the connection's end", done)
	if n, gone := len(rec.received), len(rec.disconnected); n > 0 || gone > 0 {
		t.Fatalf("%d requests and %d disconnects after the commands that were taken", n, gone)
	}
}
