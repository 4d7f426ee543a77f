package upstream

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/tidwall/redcon"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// replyWithValue returns a reply with the given value and without usage figures and load report.
func replyWithValue(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// secondReplyEndpoint serves commands, each with a value of its own, and writes a second reply behind the first one when it is
// told to.
type secondReplyEndpoint struct {
	address string
	begin   chan struct{} // received before the beginning of the second reply is written
	begun   chan net.Conn // sent after that, with the endpoint's end of the connection
}

// startSecondReplyEndpoint starts an endpoint whose second reply begins with beginning and goes on with rest when a further
// command has come on its connection.
func startSecondReplyEndpoint(t *testing.T, beginning, rest string) *secondReplyEndpoint {
	t.Helper()
	e := &secondReplyEndpoint{begin: make(chan struct{}), begun: make(chan net.Conn)}
	served := make(chan int, 1) // number of commands served
	served <- 0
	e.address = nettest.Serve(t, func(conn net.Conn) {
		in := redcon.NewReader(conn)
		for sinceSecondReply := ""; ; {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
			n := <-served + 1
			served <- n
			if _, err := io.WriteString(conn, sinceSecondReply+replyWithValue(fmt.Sprint("value ", n))); err != nil {
				return
			}
			if n == 1 {
				<-e.begin
				io.WriteString(conn, beginning)
				e.begun <- conn
				sinceSecondReply = rest
			}
		}
	})
	return e
}

// A second reply that begins after the first one and before the next command must not become the reply to that command, although
// it is not complete when the command is sent.
func TestUnfinishedSecondReplyIsNotServedToNextCommand(t *testing.T) {
	const lastElement = "$-1\r\n"
	firstValue := replyWithValue("value 1")
	unfinished := firstValue[:len(firstValue)-len(lastElement)]
	for name, c := range map[string]struct{ beginning, rest string }{
		"copy without its end": {unfinished, ""},
		"copy in pieces":       {unfinished, lastElement},
		"unfinished rejection": {"-BUSY inflight=7,queue=2,util=0.6", ""},
		"one byte":             {"*", ""},
		"whole copy":           {firstValue, ""},
	} {
		for _, isIdle := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idle %v", name, isIdle), func(t *testing.T) {
				endpoint := startSecondReplyEndpoint(t, c.beginning, c.rest)
				pool, loop := newTestPool(t, nil, endpoint.address)
				first, firstCommand := newTestAttempt(pool, "s0")
				runToEnd(pool, loop, first, firstCommand)
				if isIdle {
					loop.advance(reuseDelay)
				}
				endpoint.begin <- struct{}{}
				nettest.AwaitRead(t, <-endpoint.begun, first.connection.netConn)
				loop.advance(reuseDelay)
				next, nextCommand := newTestAttempt(pool, "s0")
				result := runToEnd(pool, loop, next, nextCommand)
				if result.Outcome != policy.Succeeded || string(result.Value) != "value 2" {
					t.Fatalf("got outcome %v, value %q of the second command; want success and %q", result.Outcome,
						result.Value, "value 2")
				}
				for loop.unsolicitedInputs == 0 { // the event of the connection's end may come later than the second reply
					pool.HandleEvent(<-loop.events)
				}
			})
		}
	}
}

// runToEnd starts an attempt and handles events until it has ended. It returns the attempt's result.
func runToEnd(pool *Pool, loop *testLoop, attempt *Attempt, command *testCommand) Result {
	pool.Start(attempt)
	for !attempt.ended {
		pool.HandleEvent(<-loop.events)
	}
	return command.results[0]
}

// A command is not written to a connection that has received input between the assignment and the write: the input would be
// taken for its reply.
func TestCommandIsNotWrittenAfterUnsolicitedInput(t *testing.T) {
	attempt := NewAttempt(&Endpoint{}, &testCommand{})
	conn, endpointEnd := newPipeConnection(t, attempt.endpoint)
	conn.assignments <- assignment{attempt, EncodedCommand{Frame: []byte("123456789")}}
	readEnded := make(chan struct{})
	go func() {
		defer close(readEnded)
		conn.read(func(Event) { t.Error("got an event for input without a command, want none") })
	}()
	if _, err := io.WriteString(endpointEnd, "*"); err != nil {
		t.Fatal(err)
	}
	<-readEnded
	go conn.write()
	if n, err := endpointEnd.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatalf("read %d bytes, error %v; want 0 and EOF", n, err)
	}
	if conn.writtenAttempt.Load() != nil {
		t.Fatal("the command counts as written")
	}
}
