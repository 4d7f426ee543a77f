package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lemontack/internal/faults"
	"lemontack/internal/standin"
)

const (
	counterCalls = 20_000 // a second
	listsMost    = 10_000 // a second
)

// world is what the ingresses talk to: backends, reached through a proxy for each side of the network, and for each side an
// own view of discovery at two addresses, and a counter.
type world struct {
	ledger   *ledger
	backends []*backend
	proxies  [sideCount][]*faults.Proxy
	agents   [sideCount]*agent
	counter  *standin.Counter
	counters [2]string // addresses of it
	closers  []func()

	mu      sync.Mutex
	states  []string               // of the backends, as discovery tells them
	touched [sideCount][]time.Time // when a proxy last delayed what it carries
	vexed   [sideCount]time.Time   // when there was last trouble with discovery
}

// agent is discovery as one side sees it.
type agent struct {
	*standin.Discovery
	addrs [2]string
}

func newWorld(l *ledger, seed uint64) (w *world, err error) {
	w = &world{ledger: l}
	l.told = w.toldAt
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	for i := range backendCount {
		if err := w.addBackend(i, rand.New(rand.NewPCG(seed, uint64(i)+1))); err != nil {
			return nil, err
		}
	}
	for side := range sideCount {
		w.touched[side] = make([]time.Time, backendCount)
		w.agents[side] = &agent{Discovery: standin.NewDiscovery(standin.DiscoveryConfig{CallsPerSecond: listsMost})}
		w.agents[side].SetList(w.targets(side))
		if w.agents[side].addrs, err = w.serveTwice(w.agents[side].Serve); err != nil {
			return nil, err
		}
		w.closers = append(w.closers, func() { w.agents[side].Close() })
	}
	w.counter = standin.NewCounter(standin.CounterConfig{CallsPerSecond: counterCalls})
	w.counters, err = w.serveTwice(w.counter.Serve)
	w.closers = append(w.closers, w.counter.Close)
	return w, err
}

// serveTwice opens two addresses of one service.
func (w *world) serveTwice(serve func(net.Listener) error) (addrs [2]string, err error) {
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return addrs, err
		}
		addrs[i] = ln.Addr().String()
		go serve(ln)
	}
	return addrs, nil
}

func (w *world) addBackend(i int, rng *rand.Rand) error {
	b, err := newBackend(w, i, rng)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, b.close)
	w.backends = append(w.backends, b)
	w.states = append(w.states, stateServing)
	for side := range sideCount {
		p, err := faults.NewProxy(b.addr())
		if err != nil {
			return err
		}
		w.closers = append(w.closers, p.Close)
		w.proxies[side] = append(w.proxies[side], p)
	}
	return nil
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
)

// target is a backend's entry in the list of one side.
func (w *world) target(side, i int) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Endpoint: w.proxies[side][i].Addr(), Zone: "a", Model: "m", Group: i / 2,
		State: w.states[i], Capacity: 1}
}

func (w *world) targets(side int) (list []standin.Target) {
	for i := range w.backends {
		list = append(list, w.target(side, i))
	}
	return list
}

// setState tells both sides of a backend's state; a backend drains from then on.
func (w *world) setState(i int, state string) {
	w.mu.Lock()
	w.states[i] = state
	var list [sideCount]standin.Target
	for side := range sideCount {
		list[side] = w.target(side, i)
	}
	w.mu.Unlock()
	w.backends[i].drain(state == stateDraining)
	for side, t := range list {
		w.agents[side].Change(t)
	}
}

// disturb notes that a proxy delays what it carries, now.
func (w *world) disturb(side, i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touched[side][i] = time.Now()
}

// vex notes that there is trouble with a side's discovery, now.
func (w *world) vex(side int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vexed[side] = time.Now()
}

// toldAt is when a change of discovery counts as told to an ingress: at once, or toldClock after the last trouble, where that
// was after the change or so shortly before it that a watch may not have been opened anew.
func (w *world) toldAt(ingress int, at time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	vexed := w.vexed[ingress%sideCount]
	switch {
	case vexed.Before(at.Add(-toldClock)):
		return at
	case vexed.Before(at):
		vexed = at
	}
	return vexed.Add(toldClock)
}

// quiet says whether no proxy before a backend has delayed anything lately.
func (w *world) quiet(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for side := range sideCount {
		if time.Since(w.touched[side][i]) < quietBefore {
			return false
		}
	}
	return true
}
