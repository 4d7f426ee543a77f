package upstream

import (
	"net"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// An attempt that is cancelled while it waits for a connection was not sent, and is not written later.
func TestAttemptAbortedWhileWaitingIsNotSent(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.Abort(attempt, policy.Cancelled)
	connected := (<-loop.events).(Connected)
	pool.HandleEvent(connected)
	if len(command.results) != 1 || command.results[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", command.results)
	}
	if connected.connection.currentAttempt != nil {
		t.Fatal("the connection has an attempt")
	}
}

// An idle connection is closed before the endpoint closes it: a command that crossed the close would be reset.
func TestStaleIdleConnectionIsClosed(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	endpoint := pool.Endpoint("s0")
	endpoint.waiting = append(endpoint.waiting, nil)
	pool.dial(endpoint)
	endpoint.waiting = nil
	pool.HandleEvent((<-loop.events).(Connected))
	pool.CloseUnusableIdle()
	if len(endpoint.idle) != 1 {
		t.Fatal("a fresh connection was retired")
	}
	loop.now += testIdleTimeout - time.Second
	pool.CloseUnusableIdle()
	if event := (<-loop.events).(Disconnected); len(endpoint.idle) != 0 || !event.wasConnected {
		t.Fatal("a stale connection was not retired")
	}
}

// A reply that arrived before its command was written is another command's: the attempt was not executed.
func TestReplyBeforeItsCommandIsDiscarded(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	connected.connection.currentAttempt = attempt
	reply := Result{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{connected.connection, nil, reply})
	if attempt.ended {
		t.Fatal("served with another's reply")
	}
	pool.HandleEvent(<-loop.events)
	if !attempt.ended || len(command.results) != 1 {
		t.Fatal("not ended with its connection")
	}
}

// With all connections in use at other endpoints, the next one that becomes idle is closed for a new one: an attempt at another
// endpoint once waited for ever.
func TestIdleConnectionIsClosedForAnotherEndpoint(t *testing.T) {
	a, b := startEndpoint(t, nil), startEndpoint(t, nil)
	pool, loop := newTestPool(t, func(c *Config) { c.MaxConnections = 1 }, a.address, b.address)
	first, _ := newTestAttempt(pool, "s0")
	second, _ := newTestAttempt(pool, "s1")
	pool.Start(first)
	connected := (<-loop.events).(Connected)
	pool.HandleEvent(connected)
	pool.Start(second)
	pool.HandleEvent(ReplyReceived{connected.connection, first, Result{Outcome: policy.Succeeded, reusable: true}})
	loop.advance(reuseDelay)
	for second.connection == nil {
		pool.HandleEvent(<-loop.events)
	}
}

// An attempt does not wait for a connection for longer than the connect timeout. A retry may be sent only within the
// deduplication window, of which the policy leaves 10% for the transit.
func TestWaitForConnectionEndsAfterConnectTimeout(t *testing.T) {
	pool, loop := newTestPool(t, func(c *Config) { c.MaxConnections = 0 }, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	loop.advance(testConnectTimeout)
	if !attempt.ended || len(attempt.endpoint.waiting) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt that is known to be written completely ends the moment it is aborted: a busy event loop once failed the request
// before the event of the connection arrived.
func TestAbortedWrittenAttemptEndsAtOnce(t *testing.T) {
	s := startEndpoint(t, nil)
	pool, loop := newTestPool(t, nil, s.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	nettest.Eventually(t, "the command is written", func() bool {
		return s.received() > 0 && attempt.connection.writtenAttempt.Load() == attempt
	})
	pool.Abort(attempt, policy.TimedOut)
	if !attempt.ended || command.results[0].Outcome != policy.TimedOut {
		t.Fatalf("ended: %v, with %v", attempt.ended, command.results)
	}
}

// A removed endpoint is deleted with its last connection, also if another has its address by then: restarted endpoints have
// new ids.
func TestRemovedEndpointIsDeleted(t *testing.T) {
	s := startEndpoint(t, func(int) string { return valueReply })
	pool, loop := newTestPool(t, nil, s.address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent((<-loop.events).(Connected))
	updates := endpointUpdates(s.address, s.address)
	updates[0].State = policy.Removed
	pool.UpdateEndpoints(false, updates)
	if len(pool.endpoints) != 2 {
		t.Fatalf("%d endpoints while an attempt is open, want 2", len(pool.endpoints))
	}
	pool.HandleEvent(<-loop.events) // the reply
	loop.advance(reuseDelay)
	pool.HandleEvent(<-loop.events) // the connection's end
	if pool.connections != 0 || len(pool.endpoints) != 1 || pool.Endpoint("s1") == nil {
		t.Fatalf("%d connections, endpoints %v", pool.connections, pool.endpoints)
	}
}

// A duplicate reply may arrive some milliseconds after the first. The connection is not reused before, or the next request
// would get the value of another.
func TestConnectionIsNotReusedBeforeReuseDelay(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	reply := Result{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{attempt.connection, attempt, reply})
	if loop.advance(10 * time.Millisecond); len(attempt.endpoint.idle) != 0 {
		t.Fatal("idle again at once")
	}
	if loop.advance(reuseDelay); len(attempt.endpoint.idle) != 1 {
		t.Fatal("not idle again")
	}
}

// A connection that the endpoint has closed while it was idle is not used, also if its Disconnected event has not arrived yet.
func TestConnectionClosedJustBeforeUseIsNotUsed(t *testing.T) {
	closeConn, closed := make(chan struct{}), make(chan struct{}, 2) // the attempt dials a second one
	pool, loop := newTestPool(t, nil, nettest.Serve(t, func(conn net.Conn) {
		<-closeConn
		conn.Close()
		closed <- struct{}{}
	}))
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	attempt.endpoint.removeWaiting(attempt)
	if pool.HandleEvent(connected); len(attempt.endpoint.idle) != 1 {
		t.Fatal("not idle")
	}
	closeConn <- struct{}{}
	<-closed
	t.Cleanup(func() { close(closeConn) })
	if pool.Start(attempt); attempt.connection != nil || len(attempt.endpoint.waiting) != 1 {
		t.Fatal("written to a connection that is closed")
	}
}

// A connection that has been idle for too long is not used, also if the idle timeout is shorter than the time between two calls
// of CloseUnusableIdle.
func TestStaleIdleConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	pool, loop := newTestPool(t, func(c *Config) { c.IdleTimeout = idleTimeout }, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	attempt.endpoint.removeWaiting(attempt)
	pool.HandleEvent(connected)
	loop.now += 250 * time.Millisecond
	if pool.Start(attempt); attempt.connection != nil || len(attempt.endpoint.waiting) != 1 {
		t.Fatal("written to a connection that the endpoint is about to close")
	}
}

// A command that may not start any more when its connection is established is not sent; the next waiting one is.
func TestCommandThatMayNotStartIsSkipped(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	rejected, rejectedCommand := newTestAttempt(pool, "s0")
	next, _ := newTestAttempt(pool, "s0")
	pool.Start(rejected)
	pool.Start(next)
	rejectedCommand.mayNotStart = true
	pool.HandleEvent((<-loop.events).(Connected))
	if len(rejectedCommand.results) != 1 || rejectedCommand.results[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", rejectedCommand.results)
	}
	if next.WaitsForConnection() || next.ended {
		t.Fatal("the next one was not sent")
	}
}

// Attempts that wait for a connection to an endpoint that begins to drain end as not sent at once.
func TestDrainEndsWaitingAttempts(t *testing.T) {
	s := startEndpoint(t, nil)
	pool, loop := newTestPool(t, nil, s.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	updates := endpointUpdates(s.address)
	updates[0].State = policy.Draining
	pool.UpdateEndpoints(false, updates)
	if len(command.results) != 1 || command.results[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", command.results)
	}
	if stopped := attempt.endpoint.StoppedServingAt(); stopped != loop.now {
		t.Fatalf("stopped at %v, want %v", stopped, loop.now)
	}
	pool.HandleEvent(connected)
	if connected.connection.currentAttempt != nil || len(command.results) != 1 {
		t.Fatal("sent to a draining endpoint")
	}
}
