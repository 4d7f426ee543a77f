package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

const valueReply = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

// testEndpoint is an endpoint that counts the commands that it receives.
type testEndpoint struct {
	address string

	mu       sync.Mutex
	commands int // guarded by mu
}

// startEndpoint starts an endpoint that writes the result of reply for the n-th command. It sends no reply if the result is "" or
// reply is nil.
func startEndpoint(t *testing.T, reply func(n int) string) *testEndpoint {
	t.Helper()
	e := &testEndpoint{}
	e.address = nettest.Serve(t, func(conn net.Conn) {
		in := redcon.NewReader(conn)
		for {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
			e.mu.Lock()
			e.commands++
			n := e.commands
			e.mu.Unlock()
			if reply != nil {
				io.WriteString(conn, reply(n))
			}
		}
	})
	return e
}

// received returns the number of commands received so far.
func (e *testEndpoint) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commands
}

// testLoop is an event loop with a simulated clock. The test advances it and takes the events from its channel.
type testLoop struct {
	now    time.Duration
	timers []testTimer
	events chan Event

	unsolicitedInputs int // number of calls of Config.OnUnsolicitedInput
}

type testTimer struct {
	dueAt    time.Duration
	callback func()
}

// advance advances the clock and calls the timers that are due, in order of time.
func (loop *testLoop) advance(d time.Duration) {
	loop.now += d
	for {
		slices.SortStableFunc(loop.timers, func(a, b testTimer) int { return int(a.dueAt - b.dueAt) })
		if len(loop.timers) == 0 || loop.timers[0].dueAt > loop.now {
			return
		}
		next := loop.timers[0]
		loop.timers = loop.timers[1:]
		next.callback()
	}
}

// testIdleTimeout and testConnectTimeout are the timeouts of the pools that newTestPool returns.
const (
	testIdleTimeout    = 15 * time.Second
	testConnectTimeout = 5 * time.Second
)

// newTestPool returns a pool with endpoints s0, s1 and so on at the given addresses. adapt may change its configuration.
func newTestPool(t *testing.T, adapt func(*Config), addresses ...string) (*Pool, *testLoop) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	var running sync.WaitGroup
	loop := &testLoop{now: time.Hour, events: make(chan Event, 256)}
	config := Config{
		Now: func() time.Duration { return loop.now },
		After: func(d time.Duration, callback func()) {
			loop.timers = append(loop.timers, testTimer{loop.now + d, callback})
		},
		Post: func(event Event) {
			select {
			case loop.events <- event:
			case <-stopped:
			}
		},
		Go: func(run func(context.Context)) { running.Go(func() { run(ctx) }) },

		OnUnsolicitedInput: func(policy.EndpointID) { loop.unsolicitedInputs++ },

		MaxConnections: 96,
		ConnectTimeout: testConnectTimeout,
		IdleTimeout:    testIdleTimeout,
	}
	if adapt != nil {
		adapt(&config)
	}
	t.Cleanup(func() {
		cancel()
		close(stopped)
		running.Wait()
	})
	pool := NewPool(config)
	pool.UpdateEndpoints(true, endpointUpdates(addresses...))
	return pool, loop
}

// endpointUpdates returns updates for serving endpoints s0, s1 and so on at the given addresses.
func endpointUpdates(addresses ...string) []EndpointUpdate {
	var updates []EndpointUpdate
	for i, address := range addresses {
		id := policy.EndpointID(fmt.Sprint("s", i))
		updates = append(updates, EndpointUpdate{policy.Endpoint{ID: id, State: policy.Serving}, address})
	}
	return updates
}

// testCommand is a Command that records the results of its attempt.
type testCommand struct {
	mayNotStart bool // result of MayStart, inverted
	abandoned   bool
	results     []Result
}

func (c *testCommand) MayStart() bool { return !c.mayNotStart }

func (*testCommand) Encode() EncodedCommand {
	return EncodedCommand{Frame: []byte("*1\r\n$4\r\nPING\r\n")}
}

func (c *testCommand) Abandoned() bool { return c.abandoned }

func (*testCommand) BeforeWrite(time.Duration) {}

func (c *testCommand) Ended(result Result) { c.results = append(c.results, result) }

// newTestAttempt returns an attempt that has not started, with its command.
func newTestAttempt(pool *Pool, id policy.EndpointID) (*Attempt, *testCommand) {
	command := &testCommand{}
	return NewAttempt(pool.Endpoint(id), command), command
}

// newPipeConnection returns an open connection whose goroutines do not run, and the endpoint's end of it. The endpoint's end is
// closed at the end of the test.
func newPipeConnection(t *testing.T, endpoint *Endpoint) (c *connection, endpointEnd net.Conn) {
	t.Helper()
	poolEnd, endpointEnd := net.Pipe()
	t.Cleanup(func() { endpointEnd.Close() })
	c = newConnection(endpoint, nil)
	c.setNetConn(poolEnd)
	return c, endpointEnd
}
