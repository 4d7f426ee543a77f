package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/standin"
	"lemontack/policy"
)

const (
	rejectionLatency = time.Millisecond
	minNormalMean    = 30
	queuedPerSlot    = 4 // requests that may wait at a backend, for each that it works on
)

// BackendModel are modelled: what one answers follows from how many requests it holds and how warm it is, so that the
// choice among them matters as it does for real ones. All hollow ingresses of the process share them.
type BackendModel struct {
	slots          float64                        // requests that a warm one works on at once
	remoteInFlight float64                        // requests at each from ingresses that are not in this process, in the mean
	serviceTime    func(*rand.Rand) time.Duration // of one request where none waits
	backends       []modelledBackend
}

type modelledBackend struct {
	inFlight  atomic.Int32
	attempts  atomic.Uint64
	removed   atomic.Bool
	startedAt atomic.Int64 // clock time in ns; 0: long ago

	mu           sync.Mutex
	coldAttempts []time.Duration // times of the attempts while it was cold
}

// NewBackendModel returns n of them, sized so that the load keeps half of their slots busy.
func NewBackendModel(n int, load float64, mean time.Duration, others bool) *BackendModel {
	b := &BackendModel{backends: make([]modelledBackend, n), serviceTime: func(rng *rand.Rand) time.Duration {
		return time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(mean))
	}}
	busy := load * mean.Seconds() / float64(n)
	b.slots = max(2, 2*busy)
	if others {
		b.remoteInFlight = busy
	}
	return b
}

// targets is the list as discovery has it. The addresses are loopback ones, and a hollow ingress dials none.
func (b *BackendModel) targets() []standin.Target {
	list := make([]standin.Target, len(b.backends))
	for i := range list {
		list[i] = b.target(i, "SERVING")
	}
	return list
}

func (b *BackendModel) target(i int, state string) standin.Target {
	addr := fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255)
	return standin.Target{UID: fmt.Sprintf("s-%06d", i), Endpoint: addr, Zone: zoneName(i), Model: "m1",
		Group: i / 16, State: state, Capacity: 1,
		BootMS: b.backends[i].startedAt.Load() / int64(time.Millisecond)}
}

// toggleDraining is one change: a backend, another one each time, begins to drain, and the next change takes that back.
func (b *BackendModel) toggleDraining(n int) standin.Target {
	state := "DRAINING"
	if n%2 == 1 {
		state = "SERVING"
	}
	return b.target(n/2*7%len(b.backends), state)
}

func (b *BackendModel) find(id policy.EndpointID) *modelledBackend {
	i, err := strconv.Atoi(string(id[2:]))
	if err != nil || i >= len(b.backends) {
		return nil
	}
	return &b.backends[i]
}

func (b *BackendModel) speed(m *modelledBackend, now time.Duration) float64 {
	started := time.Duration(m.startedAt.Load())
	if age := now - started; started > 0 && age < slowStartWindow {
		return slowStartMinWeight + (1-slowStartMinWeight)*max(0, age.Seconds())/slowStartWindow.Seconds()
	}
	return 1
}

// startAttempt says how an attempt will end, and after how long. One that works holds its place until finish.
func (b *BackendModel) startAttempt(id policy.EndpointID, now time.Duration, rng *rand.Rand) (time.Duration, policy.AttemptEnded) {
	m := b.find(id)
	if m == nil || m.removed.Load() {
		return connectTimeout, policy.AttemptEnded{Outcome: policy.ConnectFailed}
	}
	m.attempts.Add(1)
	w := b.speed(m, now)
	if w < 1 {
		m.mu.Lock()
		m.coldAttempts = append(m.coldAttempts, now)
		m.mu.Unlock()
	}
	n := float64(m.inFlight.Add(1)) + poisson(rng, b.remoteInFlight)
	slots := max(1, b.slots*w)
	if n > slots*(1+queuedPerSlot) {
		m.inFlight.Add(-1)
		return rejectionLatency, policy.AttemptEnded{Outcome: policy.Rejected}
	}
	took := time.Duration(float64(b.serviceTime(rng)) * max(1, n/slots))
	return took, policy.AttemptEnded{Outcome: policy.Succeeded,
		LoadReport: policy.LoadReport{"inflight": n, "queue": max(0, n-slots), "util": min(1, n/slots)}}
}

func (b *BackendModel) finishAttempt(id policy.EndpointID) {
	if m := b.find(id); m != nil {
		m.inFlight.Add(-1)
	}
}

// poisson draws a count with the mean.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > minNormalMean { // as good as normal
		return max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	n, p := 0.0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// coldAttemptLimit is the number of attempts within the fall span that a backend surely bears when it has just started.
func (b *BackendModel) coldAttemptLimit(mean time.Duration) float64 {
	return slowStartMultiple * slowStartMinWeight * b.slots / mean.Seconds() * slowStartSpan.Seconds()
}

// maxWithinWindow is the largest number of times within one span.
func maxWithinWindow(times []time.Duration, span time.Duration) int {
	most, from := 0, 0
	for i, t := range times {
		for times[from] <= t-span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
