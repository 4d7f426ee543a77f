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

// startConnection runs one connection to a counter that serve plays, and returns it with the results of its calls.
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

// callOf returns a queued call of that name.
func callOf(name string) *Call { return &Call{increment: policy.IncrementCounter{Name: name}} }

// Answers of each form become outcomes in the order of the calls.
func TestAnswersBecomeOutcomesInTheOrderOfTheCalls(t *testing.T) {
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		for _, answer := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if io.WriteString(conn, answer); answer == "" {
				return // the last one breaks after its last byte: it may have been added
			}
		}
	})
	for i, want := range []policy.Outcome{policy.Succeeded, policy.Rejected, policy.NotSent, policy.Reset} {
		call := &Call{increment: policy.IncrementCounter{Name: "a", Delta: -2.5, TTL: 4 * time.Second}}
		c.queue <- call
		result := <-results
		if result.Call != call || result.Outcome != want {
			t.Fatalf("call %d: outcome %v, want %v", i, result.Outcome, want)
		}
		if i == 0 && result.Total != 3.5 {
			t.Fatalf("total %v", result.Total)
		}
	}
}

// A connection is closed after an answer that cannot be decoded: the call was counted, the one behind it may have been, and the
// next is sent on a new connection at once. Once the calls of such a connection timed out for 3 s.
func TestConnectionIsReplacedAfterAnUnreadableAnswer(t *testing.T) {
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > 10*time.Second { // half of the time after which a silent connection is closed
			t.Fatalf("took %v", took)
		}
	}()
	for _, unreadable := range []string{"ok NaN\r\n", "ok +Inf\r\n", "ok 1e99\r\n", "ok x\r\n", "ok\r\n", "ok 12", "\x00\x7f\r\n", strings.Repeat("x", 5000)} {
		var conns atomic.Int32
		c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
			n := conns.Add(1)
			for {
				s, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if n > 1 {
					io.WriteString(conn, "ok 4\r\n")
				} else if strings.HasPrefix(s, "tally b") { // both have been written
					io.WriteString(conn, unreadable)
				}
			}
		})
		for _, name := range []string{"a", "b"} {
			c.queue <- callOf(name)
		}
		for _, want := range []policy.Outcome{policy.Failed, policy.Reset} {
			if result := <-results; result.Outcome != want {
				t.Fatalf("%.9q: outcome %v of %s, want %v", unreadable, result.Outcome, result.Call.increment.Name, want)
			}
		}
		c.queue <- callOf("c")
		if result := <-results; result.Outcome != policy.Succeeded || result.Total != 4 {
			t.Fatalf("%.9q: then outcome %v, total %v", unreadable, result.Outcome, result.Total)
		}
	}
}

func TestAppendCallWritesTheProtocolsLine(t *testing.T) {
	if got := string(appendCall(nil, policy.IncrementCounter{Name: "n", Delta: -2.5, TTL: 4 * time.Second})); got != "tally n -2.5 4000\r\n" {
		t.Fatalf("%q", got)
	}
}

// A call that was dropped before it was written is never written: its timeout said that nothing was added.
func TestDroppedCallIsNotWritten(t *testing.T) {
	seen := make(chan string, 16)
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			s, err := in.ReadString('\n')
			if err != nil {
				return
			}
			seen <- strings.Fields(s)[1]
			io.WriteString(conn, "ok 1\r\n")
		}
	})
	first, dropped, last := callOf("a"), callOf("b"), callOf("c")
	if !dropped.state.leaveQueued(callDropped) {
		t.Fatal("a new call is not queued")
	}
	for _, call := range []*Call{first, dropped, last} {
		c.queue <- call
	}
	<-results
	<-results
	if x, y := <-seen, <-seen; x != "a" || y != "c" {
		t.Fatalf("written: %s, %s; want a, c", x, y)
	}
}

// A call to a counter that refuses connections has added nothing.
func TestCallFailsToConnectWhereNobodyListens(t *testing.T) {
	address := nettest.RefusedAddress(t)
	results := make(chan Result, 1)
	c := newConnection(address, 5*time.Second, func(result Result) { results <- result })
	c.serve(context.Background(), callOf("a"))
	if result := <-results; result.Outcome != policy.ConnectFailed {
		t.Fatalf("outcome %v", result.Outcome)
	}
}

// A call has one reply: an answer after its timeout is dropped.
func TestAnswerAfterTheTimeoutIsDropped(t *testing.T) {
	call := callOf("a")
	first, isFirst := Result{Call: call, Outcome: policy.TimedOut}.Reply()
	if !isFirst || first.Outcome != policy.TimedOut || first.Name != "a" {
		t.Errorf("reply %+v, first: %v", first, isFirst)
	}
	if late, isFirst := (Result{Call: call, Outcome: policy.Succeeded, Total: 7}).Reply(); isFirst {
		t.Errorf("a second reply: %+v", late)
	}
}

// A call that was never written by its timeout has added nothing; of a written one that is not known.
func TestExpiredCallHasAnOutcomeByWhetherItWasWritten(t *testing.T) {
	for name, c := range map[string]struct {
		state callState
		want  policy.Outcome
	}{"unwritten": {callQueued, policy.ConnectFailed}, "written": {callWritten, policy.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			client := New("127.0.0.1:1", 5*time.Second, nil)
			call := client.Increment(policy.IncrementCounter{Name: "a", Delta: 1})
			if queued := <-client.connectionFor("a").queue; queued != call {
				t.Fatal("another call is queued")
			}
			if c.state == callWritten && !call.state.leaveQueued(callWritten) {
				t.Fatal("a new call is not queued")
			}
			if result := call.Expire(); result.Outcome != c.want || result.Call != call {
				t.Fatalf("%+v, want outcome %v", result, c.want)
			}
			if call.state.leaveQueued(callWritten) {
				t.Error("an expired call can still be written")
			}
		})
	}
}

// After a change of the address a pending call has its answer from the old counter; only then is the next one of its name sent
// to the new counter.
func TestMoveWaitsForTheCallsThatArePending(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	c, results := startConnection(t, func(conn net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(received)
		<-answer
		io.WriteString(conn, "ok 1\r\n")
		in.ReadString('\n') // until it is closed
	})
	next := nettest.Serve(t, func(conn net.Conn) {
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			io.WriteString(conn, "ok 2\r\n")
		}
	})
	c.queue <- callOf("a")
	<-received
	c.addresses.Set(next)
	nettest.Eventually(t, "the connection has the new address", func() bool { return len(c.addresses) == 0 })
	c.queue <- callOf("a")
	close(answer)
	for want := 1.0; want <= 2; want++ {
		if result := <-results; result.Outcome != policy.Succeeded || result.Total != want {
			t.Fatalf("outcome %v, total %v; want %v", result.Outcome, result.Total, want)
		}
	}
}
