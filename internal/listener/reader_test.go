package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

// deadlineConn records for each call of SetReadDeadline whether it sets a deadline (true) or clears it.
type deadlineConn struct {
	net.Conn
	setsDeadline []bool
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error {
	d.setsDeadline = append(d.setsDeadline, !t.IsZero())
	return nil
}

// readDeadlineCalls sends each part in a separate write and returns the recorded calls of SetReadDeadline.
func readDeadlineCalls(t *testing.T, parts ...string) string {
	t.Helper()
	serverEnd, clientEnd := net.Pipe()
	s, _ := newServer(nil, 1, 1<<20)
	socket := &deadlineConn{Conn: serverEnd}
	c := newConn(s, socket)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readCommands()
	}()
	for _, part := range parts {
		io.WriteString(clientEnd, part)
	}
	clientEnd.Close()
	<-done
	return fmt.Sprint(socket.setsDeadline)
}

// Only a command that has been read in part has a deadline, which closes half-open connections; between commands there is none.
func TestOnlyPartialCommandsHaveADeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	if got := readDeadlineCalls(t, ping, ping[:5], ping[5:], ping); got != "[true false]" {
		t.Fatalf("got deadline calls %v, want one set inside the split command and cleared after it", got)
	}
}

// Each partial command has its own deadline, so that a client that keeps sending is not closed by that of its first command.
func TestEachCommandHasItsOwnDeadline(t *testing.T) {
	ping := nettest.Command(commandPing)
	got := readDeadlineCalls(t, ping[:5], ping[5:]+ping[:5], ping[5:]+ping[:5], ping[5:])
	if got != "[true false true false true false]" {
		t.Fatalf("got deadline calls %s, want one set and cleared for each command", got)
	}
}

// After maxFaults invalid commands the connection is closed. All commands that were read are answered: after the last fault
// these are at most as many as the buffer of one connection holds.
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
	output, err := io.ReadAll(in)
	n, limit := strings.Count(string(output), answer),
		maxFaults+(resp.MaxFrameLength+resp.MaxLineLength+resp.InitialBufferSize)/len(hello)
	if n < maxFaults || n > limit || len(output) != n*len(answer) {
		t.Fatalf("got %d errors in %d bytes, error %v; want %d to %d errors and then the end", n, len(output), err, maxFaults, limit)
	}
}

// Commands beyond MaxPipelined are rejected in order. Beyond maxUnwrittenCommands the connection is closed after every command
// that was read is answered, including those after the one that exceeded the limit.
func TestCommandsBeyondThePipelineLimitAreRejectedInOrder(t *testing.T) {
	const excess = 39
	var b strings.Builder
	for i := range maxUnwrittenCommands + 1 + excess {
		b.WriteString(nettest.Ask(i, nettest.ReadFields))
	}
	serverEnd, clientEnd := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	c := newConn(s, serverEnd)
	done := serve(c)
	io.WriteString(clientEnd, b.String())
	var admitted []*Request
	for range MaxPipelined {
		admitted = append(admitted, <-rec.received)
	}
	nettest.Eventually(t, "all commands are read", func() bool { return c.hasUnwrittenCommands(maxUnwrittenCommands + 1 + excess) })
	for _, request := range admitted { // no command is answered before this
		request.Respond([]byte("+admitted\r\n"))
	}
	want := strings.Repeat("+admitted\r\n", MaxPipelined) + strings.Repeat("-BUSY\r\n", maxUnwrittenCommands-MaxPipelined) +
		"-ERR too many commands at once\r\n" + strings.Repeat("-BUSY\r\n", excess)
	if got, err := io.ReadAll(clientEnd); string(got) != want || err != nil {
		t.Fatalf("got answers %q, error %v; want %q", got, err, want)
	}
	nettest.Await(t, "the connection's end", done)
	if n, disconnects := len(rec.received), len(rec.disconnected); n > 0 || disconnects > 0 {
		t.Fatalf("got %d requests and %d disconnects after the admitted commands, want none", n, disconnects)
	}
}

// Requests behind one that found no memory were read and thrown away without an answer. Each is answered in its place now, the one
// without memory is rejected, and the connection stays open.
func TestRequestsBehindOneWithoutMemoryAreAnswered(t *testing.T) {
	const behind = 4
	long := nettest.DoWithBody(0xff, nettest.WriteFields, strings.Repeat("x", 60<<10))
	invalid := nettest.DoWithBody(0xfe, "c=unknown", strings.Repeat("x", 60<<10))
	for name, test := range map[string]struct {
		command, want string
		wantFaults    int64
	}{
		"valid":   {long, "-BUSY\r\n", 0},
		"invalid": {invalid, "-ERR unknown class\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			serverEnd, clientEnd := nettest.ConnPair(t)
			s, rec := newServer(nil, 1, resp.InitialBufferSize)
			done := serve(newConn(s, serverEnd))
			stop := make(chan struct{})
			var answering sync.WaitGroup
			answering.Go(func() { answerRequests(rec, stop) })
			text := nettest.Ask(1, nettest.ReadFields) + test.command
			want := string(valueReply) + test.want
			for i := range behind {
				text += nettest.Ask(2+i, nettest.ReadFields)
				want += string(valueReply)
			}
			go io.WriteString(clientEnd, text) // ends when all is read, or with the connection
			got := make([]byte, len(want))
			if n, err := io.ReadFull(clientEnd, got); string(got[:n]) != want {
				t.Errorf("got answers %q, error %v; want %q", got[:n], err, want)
			}
			if got := int64(s.cfg.Counters.Faults.Total()); got != test.wantFaults {
				t.Errorf("got %d faults of the client, want %d", got, test.wantFaults)
			}
			if got := s.cfg.Counters.Closes.Total(); got != 0 {
				t.Errorf("got %d ended connections, want the connection open", got)
			}
			clientEnd.Close()
			nettest.Await(t, "the connection's end", done)
			close(stop)
			answering.Wait()
		})
	}
}

// A client whose long command finds no memory and turns out to be malformed was taken for gone where its input was read ahead, and
// its requests would have been abandoned. It has its error.
func TestMalformedCommandWithoutMemoryHasItsError(t *testing.T) {
	const length = 60_000
	serverEnd, clientEnd := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, resp.InitialBufferSize)
	header := "*5\r\n$4\r\nQ.DO\r\n$" + strconv.Itoa(length) + "\r\n"
	first := header + strings.Repeat("x", 2*resp.InitialBufferSize)
	rest := strings.Repeat("x", length) // without the line end of the value
	io.WriteString(clientEnd, first)
	nettest.AwaitDelivery(t, clientEnd) // so that it is read ahead
	done := serve(newConn(s, serverEnd))
	go io.WriteString(clientEnd, rest) // ends when all is read, or with the connection
	want := "-ERR " + resp.ErrMalformed.Error() + "\r\n"
	if got, err := io.ReadAll(clientEnd); string(got) != want || err != nil {
		t.Errorf("got answers %q, error %v; want %q and the end", got, err, want)
	}
	clientEnd.Close()
	nettest.Await(t, "the connection's end", done)
	if len(rec.received) > 0 {
		t.Error("got a request, want none")
	}
}
