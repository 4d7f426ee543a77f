package counterclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// startConnection runs a connection to a counter that serve simulates. It returns the connection and the results of its calls.
func startConnection(t *testing.T, serve func(conn net.Conn, lines *bufio.Reader)) (*connection, <-chan Result) {
	t.Helper()
	results := make(chan Result, 64)
	address := nettest.Serve(t, func(conn net.Conn) { serve(conn, bufio.NewReader(conn)) })
	c := newConnection(address, 5*time.Second, func(result Result) { results <- result })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, results
}

// newCall returns a call with the given name, in state callQueued.
func newCall(name string) *Call { return &Call{increment: policy.IncrementCounter{Name: name}} }

// Each form of answer is converted to its outcome, in the order of the calls.
func TestAnswersBecomeOutcomesInTheOrderOfTheCalls(t *testing.T) {
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		for _, answer := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if io.WriteString(conn, answer); answer == "" {
				return // the connection fails after the last call was received, so the call may have been counted
			}
		}
	})
	for i, want := range []policy.Outcome{policy.Succeeded, policy.Rejected, policy.NotSent, policy.Reset} {
		call := &Call{increment: policy.IncrementCounter{Name: "a", Delta: -2.5, TTL: 4 * time.Second}}
		c.queue <- call
		result := <-results
		if result.Call != call || result.Outcome != want {
			t.Fatalf("call %d: got outcome %v, want %v", i, result.Outcome, want)
		}
		if i == 0 && result.Total != 3.5 {
			t.Fatalf("got total %v, want 3.5", result.Total)
		}
	}
}

// A connection is closed after a malformed answer: its call was counted, the call after it may have been, and the next call is
// sent on a new connection at once.
func TestConnectionIsReplacedAfterMalformedAnswer(t *testing.T) {
	start := time.Now()
	defer func() {
		if took := time.Since(start); took > 10*time.Second { // half of the time after which a connection without answers is closed
			t.Fatalf("got the results after %v, want 10 s at most", took)
		}
	}()
	for _, malformed := range []string{"ok NaN\r\n", "ok +Inf\r\n", "ok 1e99\r\n", "ok x\r\n", "ok\r\n", "ok 12",
		"\x00\x7f\r\n", strings.Repeat("x", 5000)} {
		var connectionCount atomic.Int32
		c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
			n := connectionCount.Add(1)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if n > 1 {
					io.WriteString(conn, "ok 4\r\n")
				} else if strings.HasPrefix(line, "tally b") { // both calls have been written
					io.WriteString(conn, malformed)
				}
			}
		})
		for _, name := range []string{"a", "b"} {
			c.queue <- newCall(name)
		}
		for _, want := range []policy.Outcome{policy.Failed, policy.Reset} {
			if result := <-results; result.Outcome != want {
				t.Fatalf("answer %.9q: got outcome %v of call %s, want %v", malformed, result.Outcome,
					result.Call.increment.Name, want)
			}
		}
		c.queue <- newCall("c")
		if result := <-results; result.Outcome != policy.Succeeded || result.Total != 4 {
			t.Fatalf("answer %.9q: got outcome %v, total %v of the next call, want success and 4", malformed,
				result.Outcome, result.Total)
		}
	}
}

// Input that the counter sends while no call is pending must not become part of the answer to the next call, or be that answer.
func TestInputBeforeACallIsNotItsAnswer(t *testing.T) {
	for name, unsolicited := range map[string]struct{ beginning, rest string }{
		"part of an answer": {"ok 12", "\r\n"},
		"whole answer":      {"ok 12\r\n", ""},
		"one byte":          {"o", ""},
	} {
		t.Run(name, func(t *testing.T) {
			firstAnswered, begin, begun := make(chan struct{}), make(chan struct{}), make(chan net.Conn)
			var laterCalls atomic.Int32 // calls after the first that the counter has received
			c, results := startConnection(t, func(conn net.Conn, lines *bufio.Reader) {
				for rest := ""; ; {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if strings.HasPrefix(line, "tally a") {
						io.WriteString(conn, "ok 1\r\n")
						close(firstAnswered)
						<-begin
						io.WriteString(conn, unsolicited.beginning)
						begun <- conn
						rest = unsolicited.rest
						continue
					}
					laterCalls.Add(1)
					io.WriteString(conn, rest+"ok 7\r\n")
				}
			})
			c.queue <- newCall("a")
			<-results
			<-firstAnswered
			close(begin)
			nettest.AwaitDelivery(t, <-begun)
			result := Result{Outcome: policy.ConnectFailed}
			for result.Outcome == policy.ConnectFailed { // a call that was not written, because its connection was closed
				c.queue <- newCall("b")
				result = <-results
			}
			if calls := laterCalls.Load(); result.Outcome != policy.Succeeded || result.Total != 7 || calls != 1 {
				t.Fatalf("got outcome %v, total %v after %d calls; want success and 7 after 1 call", result.Outcome, result.Total, calls)
			}
		})
	}
}

func TestAppendCallWritesProtocolLine(t *testing.T) {
	if got := string(appendCall(nil, policy.IncrementCounter{Name: "n", Delta: -2.5,
		TTL: 4 * time.Second})); got != "tally n -2.5 4000\r\n" {
		t.Fatalf("got line %q, want the tally line of n", got)
	}
}

// A call that expired before it was written is never written, because its result reports that nothing was added.
func TestExpiredCallIsNotWritten(t *testing.T) {
	written := make(chan string, 16)
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			written <- strings.Fields(line)[1]
			io.WriteString(conn, "ok 1\r\n")
		}
	})
	first, expired, last := newCall("a"), newCall("b"), newCall("c")
	if !expired.state.leaveQueued(callExpired) {
		t.Fatal("got a new call that is not in state callQueued, want callQueued")
	}
	for _, call := range []*Call{first, expired, last} {
		c.queue <- call
	}
	<-results
	<-results
	if firstWritten, secondWritten := <-written, <-written; firstWritten != "a" || secondWritten != "c" {
		t.Fatalf("got calls %s, %s written, want a, c", firstWritten, secondWritten)
	}
}

// A call to a counter that refuses connections adds nothing.
func TestCallToRefusingCounterFailsToConnect(t *testing.T) {
	address := nettest.RefusedAddress(t)
	results := make(chan Result, 1)
	c := newConnection(address, 5*time.Second, func(result Result) { results <- result })
	c.serve(context.Background(), newCall("a"))
	if result := <-results; result.Outcome != policy.ConnectFailed {
		t.Fatalf("got outcome %v, want %v", result.Outcome, policy.ConnectFailed)
	}
}

// A call has one reply: an answer after its timeout is dropped.
func TestAnswerAfterTheTimeoutIsDropped(t *testing.T) {
	call := newCall("a")
	first, isFirst := Result{Call: call, Outcome: policy.TimedOut}.Reply()
	if !isFirst || first.Outcome != policy.TimedOut || first.Name != "a" {
		t.Errorf("got reply %+v, first %v; want a first reply for a timeout of a", first, isFirst)
	}
	if late, isFirst := (Result{Call: call, Outcome: policy.Succeeded, Total: 7}).Reply(); isFirst {
		t.Errorf("got a second reply %+v, want none", late)
	}
}

// A call that was not written before its timeout adds nothing; a call that was written may have been counted.
func TestOutcomeOfExpiredCallDependsOnWhetherItWasWritten(t *testing.T) {
	for name, test := range map[string]struct {
		state callState
		want  policy.Outcome
	}{"unwritten": {callQueued, policy.ConnectFailed}, "written": {callWritten, policy.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			client := New("127.0.0.1:1", 5*time.Second, nil)
			call := client.Increment(policy.IncrementCounter{Name: "a", Delta: 1})
			if queued := <-client.connectionFor("a").queue; queued != call {
				t.Fatal("got another call from the queue, want the call of Increment")
			}
			if test.state == callWritten && !call.state.leaveQueued(callWritten) {
				t.Fatal("got a new call that is not in state callQueued, want callQueued")
			}
			if result := call.Expire(); result.Outcome != test.want || result.Call != call {
				t.Fatalf("got result %+v, want outcome %v of the call", result, test.want)
			}
			if call.state.leaveQueued(callWritten) {
				t.Error("got an expired call that can be written, want one that cannot")
			}
		})
	}
}

// After an address change a pending call receives its answer from the old counter before the next call with its name is sent to
// the new counter.
func TestAddressChangeWaitsForPendingCalls(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(received)
		<-answer
		io.WriteString(conn, "ok 1\r\n")
		in.ReadString('\n') // returns when the connection is closed
	})
	newAddress := nettest.Serve(t, func(conn net.Conn) {
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			io.WriteString(conn, "ok 2\r\n")
		}
	})
	c.queue <- newCall("a")
	<-received
	c.addressUpdates.Set(newAddress)
	nettest.Eventually(t, "the connection has the new address", func() bool { return len(c.addressUpdates) == 0 })
	c.queue <- newCall("a")
	close(answer)
	for want := 1.0; want <= 2; want++ {
		if result := <-results; result.Outcome != policy.Succeeded || result.Total != want {
			t.Fatalf("got outcome %v, total %v; want success and %v", result.Outcome, result.Total, want)
		}
	}
}
