package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/discovery"
	"lemontack/policy"
)

const (
	turnedAwayAfter = time.Millisecond
	manyEvents      = 30
	queueOfSlots    = 4 // requests that may wait at a backend, for each that it works on
)

// Backends are modelled: what one answers follows from how many requests it holds and how warm it is, so that the
// choice among them matters as it does for real ones. All hollow ingresses of the process share them.
type Backends struct {
	slots  float64                        // requests that a warm one works on at once
	others float64                        // requests at each from ingresses that are not in this process, in the mean
	work   func(*rand.Rand) time.Duration // of one request where none waits
	list   []modelled
}

type modelled struct {
	inFlight atomic.Int32
	sends    atomic.Uint64
	gone     atomic.Bool
	started  atomic.Int64 // clock time in ns; 0: long ago

	mu   sync.Mutex
	cold []time.Duration // times of the attempts while it was cold
}

// NewBackends returns n of them, sized so that the load keeps half of their slots busy.
func NewBackends(n int, load float64, mean time.Duration, others bool) *Backends {
	b := &Backends{list: make([]modelled, n), work: func(rng *rand.Rand) time.Duration {
		return time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(mean))
	}}
	busy := load * mean.Seconds() / float64(n)
	b.slots = max(2, 2*busy)
	if others {
		b.others = busy
	}
	return b
}

// targets is the list as discovery has it. The addresses are loopback ones, and a hollow ingress dials none.
func (b *Backends) targets() []discovery.Entry {
	list := make([]discovery.Entry, len(b.list))
	for i := range list {
		list[i] = b.target(i, "SERVING")
	}
	return list
}

func (b *Backends) target(i int, state string) discovery.Entry {
	addr := fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255)
	return discovery.Entry{UID: fmt.Sprintf("s-%06d", i), Endpoint: addr, Zone: zoneName(i), Model: "m1",
		Group: i / 16, State: state, Capacity: 1,
		BootMS: b.list[i].started.Load() / int64(time.Millisecond)}
}

// toggled is one change: a backend, another one each time, begins to drain, and the next change takes that back.
func (b *Backends) toggled(n int) discovery.Entry {
	state := "DRAINING"
	if n%2 == 1 {
		state = "SERVING"
	}
	return b.target(n/2*7%len(b.list), state)
}

func (b *Backends) of(id policy.EndpointID) *modelled {
	i, err := strconv.Atoi(string(id[2:]))
	if err != nil || i >= len(b.list) {
		return nil
	}
	return &b.list[i]
}

func (b *Backends) warmth(m *modelled, now time.Duration) float64 {
	started := time.Duration(m.started.Load())
	if age := now - started; started > 0 && age < warmAfter {
		return coldShare + (1-coldShare)*max(0, age.Seconds())/warmAfter.Seconds()
	}
	return 1
}

// begin says how an attempt will end, and after how long. One that works holds its place until finish.
func (b *Backends) begin(id policy.EndpointID, now time.Duration, rng *rand.Rand) (time.Duration, policy.AttemptEnded) {
	m := b.of(id)
	if m == nil || m.gone.Load() {
		return connectLimit, policy.AttemptEnded{Outcome: policy.ConnectFailed}
	}
	m.sends.Add(1)
	w := b.warmth(m, now)
	if w < 1 {
		m.mu.Lock()
		m.cold = append(m.cold, now)
		m.mu.Unlock()
	}
	n := float64(m.inFlight.Add(1)) + poisson(rng, b.others)
	slots := max(1, b.slots*w)
	if n > slots*(1+queueOfSlots) {
		m.inFlight.Add(-1)
		return turnedAwayAfter, policy.AttemptEnded{Outcome: policy.Rejected}
	}
	took := time.Duration(float64(b.work(rng)) * max(1, n/slots))
	return took, policy.AttemptEnded{Outcome: policy.Succeeded,
		LoadReport: policy.LoadReport{"inflight": n, "queue": max(0, n-slots), "util": min(1, n/slots)}}
}

func (b *Backends) finish(id policy.EndpointID) {
	if m := b.of(id); m != nil {
		m.inFlight.Add(-1)
	}
}

// poisson draws a count with the mean.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > manyEvents { // as good as normal
		return max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	n, p := 0.0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// fallBudget is the number of attempts within the fall span that a backend surely bears when it has just started.
func (b *Backends) fallBudget(mean time.Duration) float64 {
	return fallMultiple * coldShare * b.slots / mean.Seconds() * fallSpan.Seconds()
}

// mostWithin is the largest number of times within one span.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, from := 0, 0
	for i, t := range times {
		for times[from] <= t-span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
