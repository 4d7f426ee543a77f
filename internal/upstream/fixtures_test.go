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

// server is an endpoint for tests. It answers commands by their order: what reply returns goes out as it is, "" is silence.
type server struct {
	address string

	mu       sync.Mutex
	commands int // guarded by mu
}

// startServer starts an endpoint that never answers where reply is nil.
func startServer(t *testing.T, reply func(n int) string) *server {
	t.Helper()
	s := &server{}
	s.address = nettest.Serve(t, func(conn net.Conn) {
		in := redcon.NewReader(conn)
		for {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
			s.mu.Lock()
			s.commands++
			n := s.commands
			s.mu.Unlock()
			if reply != nil {
				io.WriteString(conn, reply(n))
			}
		}
	})
	return s
}

// received returns the number of commands that came.
func (s *server) received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commands
}

// testLoop is an event loop that the test turns by hand, on a clock that stands still.
type testLoop struct {
	now    time.Duration
	timers []testTimer
	events chan Event
}

type testTimer struct {
	at time.Duration
	do func()
}

// advance moves the clock on and calls what is due, in the order of time.
func (loop *testLoop) advance(d time.Duration) {
	loop.now += d
	for {
		slices.SortStableFunc(loop.timers, func(a, b testTimer) int { return int(a.at - b.at) })
		if len(loop.timers) == 0 || loop.timers[0].at > loop.now {
			return
		}
		next := loop.timers[0]
		loop.timers = loop.timers[1:]
		next.do()
	}
}

// testIdleTimeout and testConnectTimeout are those of the pools of tests.
const (
	testIdleTimeout    = 15 * time.Second
	testConnectTimeout = 5 * time.Second
)

// newTestPool returns a pool with endpoints s0, s1 and so on at these addresses, which changes of the configuration apply to.
func newTestPool(t *testing.T, change func(*Config), addresses ...string) (*Pool, *testLoop) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	var running sync.WaitGroup
	loop := &testLoop{now: time.Hour, events: make(chan Event, 256)}
	config := Config{
		Now:   func() time.Duration { return loop.now },
		After: func(d time.Duration, do func()) { loop.timers = append(loop.timers, testTimer{loop.now + d, do}) },
		Post: func(event Event) {
			select {
			case loop.events <- event:
			case <-stopped:
			}
		},
		Go:             func(run func(context.Context)) { running.Go(func() { run(ctx) }) },
		MaxConnections: 96,
		ConnectTimeout: testConnectTimeout,
		IdleTimeout:    testIdleTimeout,
	}
	if change != nil {
		change(&config)
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

// endpointUpdates are serving endpoints s0, s1 and so on.
func endpointUpdates(addresses ...string) []EndpointUpdate {
	var updates []EndpointUpdate
	for i, address := range addresses {
		id := policy.EndpointID(fmt.Sprint("s", i))
		updates = append(updates, EndpointUpdate{policy.Endpoint{ID: id, State: policy.Serving}, address})
	}
	return updates
}

// testCommand is a command that notes how its attempt ended.
type testCommand struct {
	denied    bool // it may not start
	abandoned bool
	ends      []Reply
}

func (c *testCommand) MayStart() bool { return !c.denied }

func (*testCommand) Encode() EncodedCommand {
	return EncodedCommand{Frame: []byte("*1\r\n$4\r\nPING\r\n")}
}

func (c *testCommand) Abandoned() bool { return c.abandoned }

func (*testCommand) BeforeFirstByte(time.Duration) {}

func (c *testCommand) Ended(reply Reply) { c.ends = append(c.ends, reply) }

// newTestAttempt returns an attempt that has not started, and its command.
func newTestAttempt(pool *Pool, id policy.EndpointID) (*Attempt, *testCommand) {
	command := &testCommand{}
	return NewAttempt(pool.Endpoint(id), command), command
}
