package upstream

import (
	"net"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// An attempt that is aborted while it waits for a connection ends as not sent, and is not written later.
func TestAttemptAbortedWhileWaitingIsNotSent(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.Abort(attempt, policy.Cancelled)
	connected := (<-loop.events).(Connected)
	pool.HandleEvent(connected)
	if len(command.results) != 1 || command.results[0].Outcome != policy.NotSent {
		t.Fatalf("results %v, want one with NotSent", command.results)
	}
	if connected.connection.currentAttempt != nil {
		t.Fatal("the connection has an attempt, want none")
	}
}

// An idle connection is closed before the endpoint closes it. A command sent while the endpoint closes it would be reset.
func TestStaleIdleConnectionIsClosed(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	endpoint := pool.Endpoint("s0")
	endpoint.waitingAttempts = append(endpoint.waitingAttempts, nil)
	pool.dial(endpoint)
	endpoint.waitingAttempts = nil
	pool.HandleEvent((<-loop.events).(Connected))
	pool.CloseUnusableIdle()
	if len(endpoint.idleConnections) != 1 {
		t.Fatal("a fresh connection was closed")
	}
	loop.now += testIdleTimeout - time.Second
	pool.CloseUnusableIdle()
	if event := (<-loop.events).(Disconnected); len(endpoint.idleConnections) != 0 || !event.wasConnected {
		t.Fatal("a stale connection was not closed")
	}
}

// A reply that arrives before the current command was written belongs to another command and does not end the attempt.
func TestReplyBeforeItsCommandIsDiscarded(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	connected.connection.currentAttempt = attempt
	reply := Result{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{connected.connection, nil, reply})
	if attempt.ended {
		t.Fatal("the attempt ended with the reply to another command")
	}
	pool.HandleEvent(<-loop.events)
	if !attempt.ended || len(command.results) != 1 {
		t.Fatalf("ended %v with %d results, want one at the end of its connection", attempt.ended, len(command.results))
	}
}

// If all connections are in use at other endpoints, the next one that becomes idle is closed to make room. Otherwise an
// attempt at another endpoint would wait indefinitely.
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

// An attempt does not wait for a connection longer than the connect timeout: a retry must reach the endpoint within the
// deduplication window, of which the policy leaves 10% for the transit.
func TestWaitForConnectionEndsAfterConnectTimeout(t *testing.T) {
	pool, loop := newTestPool(t, func(c *Config) { c.MaxConnections = 0 }, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	loop.advance(testConnectTimeout)
	if !attempt.ended || len(attempt.endpoint.waitingAttempts) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt that was written completely ends as soon as it is aborted. It must not wait for the event of its connection,
// because a busy event loop might fail the request first.
func TestAbortedWrittenAttemptEndsAtOnce(t *testing.T) {
	endpoint := startEndpoint(t, nil)
	pool, loop := newTestPool(t, nil, endpoint.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	nettest.Eventually(t, "the command is written", func() bool {
		return endpoint.received() > 0 && attempt.connection.writtenAttempt.Load() == attempt
	})
	pool.Abort(attempt, policy.TimedOut)
	if !attempt.ended || command.results[0].Outcome != policy.TimedOut {
		t.Fatalf("ended %v with %v, want an end with %v", attempt.ended, command.results, policy.TimedOut)
	}
}

// A removed endpoint is deleted with its last connection, even if another endpoint already has its address. Restarted
// endpoints have new IDs.
func TestRemovedEndpointIsDeleted(t *testing.T) {
	endpoint := startEndpoint(t, func(int) string { return valueReply })
	pool, loop := newTestPool(t, nil, endpoint.address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent((<-loop.events).(Connected))
	updates := endpointUpdates(endpoint.address, endpoint.address)
	updates[0].State = policy.Removed
	pool.UpdateEndpoints(false, updates)
	if len(pool.endpoints) != 2 {
		t.Fatalf("%d endpoints while an attempt is open, want 2", len(pool.endpoints))
	}
	pool.HandleEvent(<-loop.events) // the reply
	loop.advance(reuseDelay)
	pool.HandleEvent(<-loop.events) // the connection's end
	if pool.connectionCount != 0 || len(pool.endpoints) != 1 || pool.Endpoint("s1") == nil {
		t.Fatalf("%d connections, endpoints %v; want none and s1 only", pool.connectionCount, pool.endpoints)
	}
}

// A duplicate reply may arrive some milliseconds after the first. The connection is not reused until then, or the next
// request would receive the value of another.
func TestConnectionIsNotReusedBeforeReuseDelay(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	reply := Result{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{attempt.connection, attempt, reply})
	if loop.advance(10 * time.Millisecond); len(attempt.endpoint.idleConnections) != 0 {
		t.Fatal("the connection is idle before reuseDelay has passed")
	}
	if loop.advance(reuseDelay); len(attempt.endpoint.idleConnections) != 1 {
		t.Fatal("the connection is not idle after reuseDelay")
	}
}

// A connection that the endpoint closed while it was idle is not used, even before its Disconnected event has arrived.
func TestConnectionClosedJustBeforeUseIsNotUsed(t *testing.T) {
	closeConn, closed := make(chan struct{}), make(chan struct{}, 2) // the attempt dials a second connection
	pool, loop := newTestPool(t, nil, nettest.Serve(t, func(conn net.Conn) {
		<-closeConn
		conn.Close()
		closed <- struct{}{}
	}))
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	attempt.endpoint.removeWaiting(attempt)
	if pool.HandleEvent(connected); len(attempt.endpoint.idleConnections) != 1 {
		t.Fatal("the connection is not idle")
	}
	closeConn <- struct{}{}
	<-closed
	t.Cleanup(func() { close(closeConn) })
	if pool.Start(attempt); attempt.connection != nil || len(attempt.endpoint.waitingAttempts) != 1 {
		t.Fatal("the attempt was assigned to a closed connection")
	}
}

// A connection that has been idle too long is not used, even if CloseUnusableIdle has not been called since it became stale.
func TestStaleIdleConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	pool, loop := newTestPool(t, func(c *Config) { c.IdleTimeout = idleTimeout }, startEndpoint(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	attempt.endpoint.removeWaiting(attempt)
	pool.HandleEvent(connected)
	loop.now += 250 * time.Millisecond
	if pool.Start(attempt); attempt.connection != nil || len(attempt.endpoint.waitingAttempts) != 1 {
		t.Fatal("the attempt was assigned to a stale connection")
	}
}

// A command that may no longer start when its connection is established is not sent. The next waiting command is sent instead.
func TestCommandThatMayNotStartIsSkipped(t *testing.T) {
	pool, loop := newTestPool(t, nil, startEndpoint(t, nil).address)
	rejected, rejectedCommand := newTestAttempt(pool, "s0")
	next, _ := newTestAttempt(pool, "s0")
	pool.Start(rejected)
	pool.Start(next)
	rejectedCommand.mayNotStart = true
	pool.HandleEvent((<-loop.events).(Connected))
	if len(rejectedCommand.results) != 1 || rejectedCommand.results[0].Outcome != policy.NotSent {
		t.Fatalf("results %v, want one with NotSent", rejectedCommand.results)
	}
	if next.WaitsForConnection() || next.ended {
		t.Fatal("the next command was not sent")
	}
}

// Attempts that wait for a connection end as not sent as soon as their endpoint begins to drain.
func TestDrainEndsWaitingAttempts(t *testing.T) {
	endpoint := startEndpoint(t, nil)
	pool, loop := newTestPool(t, nil, endpoint.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	updates := endpointUpdates(endpoint.address)
	updates[0].State = policy.Draining
	pool.UpdateEndpoints(false, updates)
	if len(command.results) != 1 || command.results[0].Outcome != policy.NotSent {
		t.Fatalf("results %v, want one with NotSent", command.results)
	}
	if stopped := attempt.endpoint.StoppedServingAt(); stopped != loop.now {
		t.Fatalf("stopped at %v, want %v", stopped, loop.now)
	}
	pool.HandleEvent(connected)
	if connected.connection.currentAttempt != nil || len(command.results) != 1 {
		t.Fatal("an attempt was sent to a draining endpoint")
	}
}
