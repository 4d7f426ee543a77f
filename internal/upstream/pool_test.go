package upstream

import (
	"net"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// A cancelled attempt that still waits for its connection was not sent, and is not written later.
func TestCancelledWhileWaitingIsNotSent(t *testing.T) {
	pool, loop := newTestPool(t, nil, startServer(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.Abort(attempt, policy.Cancelled)
	connected := (<-loop.events).(Connected)
	pool.HandleEvent(connected)
	if len(command.ends) != 1 || command.ends[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", command.ends)
	}
	if connected.connection.current != nil {
		t.Fatal("the connection carries an attempt")
	}
}

// An idle connection is closed before the endpoint would: a command that crossed that would be a reset.
func TestStaleIdleConnectionIsRetired(t *testing.T) {
	pool, loop := newTestPool(t, nil, startServer(t, nil).address)
	endpoint := pool.Endpoint("s0")
	endpoint.waiting = append(endpoint.waiting, nil)
	pool.dial(endpoint)
	endpoint.waiting = nil
	pool.HandleEvent((<-loop.events).(Connected))
	pool.RetireIdle()
	if len(endpoint.idle) != 1 {
		t.Fatal("a fresh connection was retired")
	}
	loop.now += testIdleTimeout - time.Second
	pool.RetireIdle()
	if down := (<-loop.events).(Disconnected); len(endpoint.idle) != 0 || !down.wasConnected {
		t.Fatal("an old connection was kept")
	}
}

// A reply that was there before its command had been written belongs to another: the attempt was not executed.
func TestReplyBeforeItsCommandIsNotTaken(t *testing.T) {
	pool, loop := newTestPool(t, nil, startServer(t, nil).address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	connected.connection.current = attempt
	reply := Reply{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{connected.connection, nil, reply})
	if attempt.ended {
		t.Fatal("served with another's reply")
	}
	pool.HandleEvent(<-loop.events)
	if !attempt.ended || len(command.ends) != 1 {
		t.Fatal("not ended with its connection")
	}
}

// Where all connections that may be open are busy elsewhere, the next that is free makes room: an attempt at another endpoint
// once waited for good.
func TestFreedConnectionMakesRoomForAnotherEndpoint(t *testing.T) {
	a, b := startServer(t, nil), startServer(t, nil)
	pool, loop := newTestPool(t, func(c *Config) { c.MaxConnections = 1 }, a.address, b.address)
	first, _ := newTestAttempt(pool, "s0")
	second, _ := newTestAttempt(pool, "s1")
	pool.Start(first)
	connected := (<-loop.events).(Connected)
	pool.HandleEvent(connected)
	pool.Start(second)
	pool.HandleEvent(ReplyReceived{connected.connection, first, Reply{Outcome: policy.Succeeded, reusable: true}})
	loop.advance(reuseDelay)
	for second.connection == nil {
		pool.HandleEvent(<-loop.events)
	}
}

// An idempotent request may be sent again only while its endpoints remember its key, and the policy leaves 10% of that time for
// the way. A copy that waits for a connection for longer must not be written any more: it was not executed.
func TestWaitForConnectionEndsAfterConnectTimeout(t *testing.T) {
	pool, loop := newTestPool(t, func(c *Config) { c.MaxConnections = 0 }, startServer(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	loop.advance(testConnectTimeout)
	if !attempt.ended || len(attempt.endpoint.waiting) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt that is known to be written whole ends the moment it is aborted: a loop that was busy once failed the request
// before the connection's own event came.
func TestAbortedWrittenAttemptEndsAtOnce(t *testing.T) {
	s := startServer(t, nil)
	pool, loop := newTestPool(t, nil, s.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	for s.received() < 1 || attempt.connection.written.Load() != attempt {
		time.Sleep(time.Millisecond)
	}
	pool.Abort(attempt, policy.TimedOut)
	if !attempt.ended || command.ends[0].Outcome != policy.TimedOut {
		t.Fatalf("ended: %v, with %v", attempt.ended, command.ends)
	}
}

// Endpoints come under ever new ids: one that is removed is forgotten as soon as its last connection is, though another may
// have taken its address by then.
func TestRemovedEndpointIsForgotten(t *testing.T) {
	s := startServer(t, func(int) string { return valueReply })
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

// A second reply may come some milliseconds after the first: until then the connection takes nothing, or the next request
// would be served with another's value.
func TestConnectionIsNotReusedBeforeReuseDelay(t *testing.T) {
	pool, loop := newTestPool(t, nil, startServer(t, nil).address)
	attempt, _ := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	pool.HandleEvent(<-loop.events)
	reply := Reply{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	pool.HandleEvent(ReplyReceived{attempt.connection, attempt, reply})
	if loop.advance(10 * time.Millisecond); len(attempt.endpoint.idle) != 0 {
		t.Fatal("free again at once")
	}
	if loop.advance(reuseDelay); len(attempt.endpoint.idle) != 1 {
		t.Fatal("not free again")
	}
}

// A connection that the endpoint has closed while it was idle is not used, also where its Disconnected event has not come yet.
func TestConnectionClosedJustBeforeUseIsNotUsed(t *testing.T) {
	leave, closed := make(chan struct{}), make(chan struct{}, 2) // the attempt dials a second one
	pool, loop := newTestPool(t, nil, nettest.Serve(t, func(conn net.Conn) {
		<-leave
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
	leave <- struct{}{}
	<-closed
	t.Cleanup(func() { close(leave) })
	if pool.Start(attempt); attempt.connection != nil || len(attempt.endpoint.waiting) != 1 {
		t.Fatal("written to a connection that is closed")
	}
}

// A connection that has been idle for long is not used, also where the idle timeout is shorter than the time between two calls
// of RetireIdle.
func TestStaleIdleConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	pool, loop := newTestPool(t, func(c *Config) { c.IdleTimeout = idleTimeout }, startServer(t, nil).address)
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

// A command that may not start any more when its connection comes up is not sent, and the next one that waits is.
func TestDeniedCommandIsNotSentAndTheNextIs(t *testing.T) {
	pool, loop := newTestPool(t, nil, startServer(t, nil).address)
	denied, deniedCommand := newTestAttempt(pool, "s0")
	next, _ := newTestAttempt(pool, "s0")
	pool.Start(denied)
	pool.Start(next)
	deniedCommand.denied = true
	pool.HandleEvent((<-loop.events).(Connected))
	if len(deniedCommand.ends) != 1 || deniedCommand.ends[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", deniedCommand.ends)
	}
	if next.WaitsForConnection() || next.ended {
		t.Fatal("the next one was not sent")
	}
}

// What waits for a connection to an endpoint that begins to drain ends as not sent at once.
func TestDrainEndsWaitingAttempts(t *testing.T) {
	s := startServer(t, nil)
	pool, loop := newTestPool(t, nil, s.address)
	attempt, command := newTestAttempt(pool, "s0")
	pool.Start(attempt)
	connected := (<-loop.events).(Connected)
	updates := endpointUpdates(s.address)
	updates[0].State = policy.Draining
	pool.UpdateEndpoints(false, updates)
	if len(command.ends) != 1 || command.ends[0].Outcome != policy.NotSent {
		t.Fatalf("ends %v, want one as not sent", command.ends)
	}
	if stopped := attempt.endpoint.StoppedAt(); stopped != loop.now {
		t.Fatalf("stopped at %v, want %v", stopped, loop.now)
	}
	pool.HandleEvent(connected)
	if connected.connection.current != nil || len(command.ends) != 1 {
		t.Fatal("sent to an endpoint that drains")
	}
}
