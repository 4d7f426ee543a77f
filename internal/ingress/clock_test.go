package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/standin"
)

// callers is a fleet's discovery clients before one discovery, on a driven clock.
type callers struct {
	at     *standin.Discovery
	listen *standin.PipeListener
	stop   context.CancelFunc
	done   sync.WaitGroup
	all    []*discovery
	mu     sync.Mutex
	told   []map[int64]time.Time // for each of them, when it was told of a version
}

// newCallers starts n clients that know version 1 at one moment, before a discovery in the given state.
func newCallers(n int, asked bool, seed uint64, at *standin.Discovery) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{at: at, listen: standin.NewPipeListener(), stop: stop}
	c.done.Go(func() { at.Serve(c.listen) })
	for i := range n {
		told := map[int64]time.Time{}
		d := newDiscovery("127.0.0.1:1", 1, paceOf(asked, n, true), func(e event) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if rev := e.(Fleet).Rev; told[rev].IsZero() {
				told[rev] = time.Now()
			}
		}, quiet)
		d.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		d.client.Transport = &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return c.listen.Dial(ctx)
		}}
		c.told, c.all = append(c.told, told), append(c.all, d)
		c.done.Go(func() { d.run(ctx) })
	}
	return c
}

func (c *callers) close() {
	c.stop()
	c.at.Close()
	c.done.Wait()
}

// latest is how long after a moment the last one was told of a version, and how many were not.
func (c *callers) latest(rev int64, since time.Time) (last time.Duration, missing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, told := range c.told {
		at := time.Time{}
		for r, t := range told {
			if r >= rev && (at.IsZero() || t.Before(at)) {
				at = t
			}
		}
		if at.IsZero() {
			missing++
		} else {
			last = max(last, at.Sub(since))
		}
	}
	return last, missing
}

func target(i int, state string) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Endpoint: "127.0.0.1:9", State: state}
}

// crisis brings trouble to a fleet's discovery; it returns the version that is to be told of, and the moment from which on
// discovery had it and could be reached (or the watch was silent).
type crisis func(c *callers) (rev int64, since time.Time)

// quietWatch says whether the trouble leaves open watches silent for too short a time to be noticed before it is over: these
// have the clock of silence, also where lists are pushed.
func quietWatch(name string) bool {
	return name == "watches fall silent" || name == "silent for 100ms" || name == "silent for 1.3s"
}

// away lets discovery be in a state for a while, some time after the start of all clients; meanwhile a backend begins to
// drain.
func away(start time.Duration, state standin.State, d time.Duration) crisis {
	return func(c *callers) (int64, time.Time) {
		time.Sleep(start)
		c.at.SetState(state)
		time.Sleep(d)
		rev := c.at.Change(target(0, "DRAINING"))
		c.at.SetState(standin.Up)
		return rev, time.Now()
	}
}

// crises are all the ways in which a fleet may miss a change.
func crises() map[string]crisis {
	out := map[string]crisis{
		"start": func(c *callers) (int64, time.Time) { return c.at.Change(target(0, "DRAINING")), time.Now() },
		"watches fall silent": func(c *callers) (int64, time.Time) {
			time.Sleep(20*time.Second + lineEvery/2)
			c.at.SilenceWatches()
			return c.at.Change(target(0, "DRAINING")), time.Now()
		},
		"watches end": func(c *callers) (int64, time.Time) {
			time.Sleep(20 * time.Second)
			c.at.BreakWatches()
			return c.at.Change(target(0, "DRAINING")), time.Now()
		},
		"watches end, then silence": func(c *callers) (int64, time.Time) {
			time.Sleep(20 * time.Second)
			c.at.BreakWatches()
			return away(20*time.Second, standin.Silent, 3*time.Second)(c)
		},
	}
	for name, state := range map[string]standin.State{"silent": standin.Silent, "down": standin.Down} {
		for _, d := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 3900 * time.Millisecond,
			8 * time.Second, 41 * time.Second} {
			out[fmt.Sprintf("%s for %v", name, d)] = away(20*time.Second, state, d)
			out[fmt.Sprintf("started %s for %v", name, d)] = away(0, state, d)
		}
	}
	return out
}

// Whatever has happened to its calls, each ingress of a fleet is told within the clock after discovery had a change and
// could be reached, and 300 of them do not overrun a discovery that serves 100 calls a second, one after another, those of
// callers that have gone too.
func TestFleetIsToldWithinTheClock(t *testing.T) {
	for _, c := range []struct {
		name  string
		n     int
		asked bool
		clock time.Duration
		cfg   standin.DiscoveryConfig
	}{
		{"300 asking", 300, true, toldClock, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"300 asking, calls fail in the line", 300, true, toldClock,
			standin.DiscoveryConfig{CallsPerSecond: 120, QueueTimeout: time.Second}},
		{"9 asking", 9, true, toldClock, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"4 asking", 4, true, toldClock, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"told", 1, false, time.Second, standin.DiscoveryConfig{}},
	} {
		for name, trouble := range crises() {
			clock := c.clock
			if quietWatch(name) {
				clock = toldClock
			}
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					at := standin.NewDiscovery(c.cfg)
					at.SetList([]standin.Target{target(0, "SERVING"), target(1, "SERVING")})
					fleet := newCallers(c.n, c.asked, 7, at)
					defer fleet.close()
					rev, since := trouble(fleet)
					time.Sleep(3 * toldClock)
					last, missing := fleet.latest(rev, since)
					if missing > 0 || last > clock {
						t.Errorf("%d not told, the last after %v; %+v", missing, last, at.Stats())
					}
				})
			})
		}
	}
}

// A fleet that moves at one moment is told by the new discovery within the clock of a move.
func TestFleetMovesWithinTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := standin.NewDiscovery(standin.DiscoveryConfig{CallsPerSecond: 100})
		at.SetList([]standin.Target{target(0, "SERVING")})
		fleet := newCallers(300, true, 7, at)
		defer fleet.close()
		time.Sleep(20 * time.Second)
		at.SilenceWatches() // the old address tells nothing more
		rev, since := at.Change(target(0, "DRAINING")), time.Now()
		for _, d := range fleet.all {
			d.moves.Set("127.0.0.1:2")
		}
		time.Sleep(3 * moveClock)
		if last, missing := fleet.latest(rev, since); missing > 0 || last > moveClock {
			t.Errorf("%d not told, the last after %v", missing, last)
		}
	})
}
