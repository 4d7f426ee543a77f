package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/standin"
	"lemontack/policy"
)

const (
	rejectionLatency = time.Millisecond // of an attempt at a full backend
	queuedPerSlot    = 4                // requests that a backend queues for each that it works on
	minNormalMean    = 30               // from which a Poisson distribution is drawn as a normal one
	cellSize         = 16               // consecutive backends that share a cell

	endpointIDPrefix = "s-"
)

// States of an endpoint as they stand on discovery's wire.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

// backendModel is the backends of a fleet without sockets. What one answers follows from how many requests it has in
// flight and how warm it is, so that the choice among them matters as it does for real ones. All hollow ingresses of
// the process share the model; it is safe for concurrent use.
type backendModel struct {
	slots          float64                        // requests that a warm backend works on at once
	remoteInFlight float64                        // mean number, at each, of requests of ingresses outside this process
	serviceTime    func(*rand.Rand) time.Duration // of one request where none is queued
	warmUp         standin.WarmUp
	backends       []modelledBackend
}

type modelledBackend struct {
	inFlight  atomic.Int32
	attempts  atomic.Uint64
	removed   atomic.Bool
	startedAt atomic.Int64 // in ns, on the clock of the ingresses; 0: long ago

	mu           sync.Mutex      // guards coldAttempts
	coldAttempts []time.Duration // times of the attempts that came during warm-up
}

// newBackendModel returns n backends with as many slots as keep half of them busy under a load, in requests a second,
// of a mean service time. remote says that ingresses outside this process send the load: their requests count as in
// flight too.
func newBackendModel(n int, load float64, meanServiceTime time.Duration, remote bool) *backendModel {
	m := &backendModel{
		serviceTime: func(rng *rand.Rand) time.Duration {
			return time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(meanServiceTime))
		},
		warmUp:   standin.WarmUp{MinSpeed: slowStartMinWeight, Duration: slowStartWindow},
		backends: make([]modelledBackend, n),
	}
	busySlots := load * meanServiceTime.Seconds() / float64(n)
	m.slots = max(2, 2*busySlots)
	if remote {
		m.remoteInFlight = busySlots
	}
	return m
}

// endpointID is the identity of backend i in the endpoint list.
func endpointID(i int) string { return fmt.Sprintf("%s%06d", endpointIDPrefix, i) }

// targets returns the endpoint list as discovery has it. The addresses are loopback ones, which nothing dials.
func (m *backendModel) targets() []standin.Target {
	list := make([]standin.Target, len(m.backends))
	for i := range list {
		list[i] = m.target(i, stateServing)
	}
	return list
}

func (m *backendModel) target(i int, state string) standin.Target {
	addr := fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255)
	target := newTarget(i, addr, state)
	target.BootMS = m.backends[i].startedAt.Load() / int64(time.Millisecond)
	return target
}

// newTarget is the entry of backend i in the endpoint list, started long ago.
func newTarget(i int, addr, state string) standin.Target {
	return standin.Target{UID: endpointID(i), Endpoint: addr, Zone: zoneName(i), Model: "m1", Group: i / cellSize,
		State: state, Capacity: 1}
}

// toggleDraining returns the change with an index: with an even one a backend begins to drain, another one each time,
// and with the next index it serves again.
func (m *backendModel) toggleDraining(change int) standin.Target {
	state := stateDraining
	if change%2 == 1 {
		state = stateServing
	}
	return m.target(change/2*7%len(m.backends), state)
}

// removeLastZone takes the backends of the last zone away, and returns the change.
func (m *backendModel) removeLastZone() []standin.Target {
	return m.changeLastZone(stateDeleted, func(b *modelledBackend) { b.removed.Store(true) })
}

// restoreLastZone brings the backends of the last zone back, cold, and returns the change.
func (m *backendModel) restoreLastZone() []standin.Target {
	return m.changeLastZone(stateServing, func(b *modelledBackend) {
		b.startedAt.Store(time.Now().Truncate(time.Millisecond).UnixNano())
		b.removed.Store(false)
	})
}

func (m *backendModel) changeLastZone(state string, apply func(*modelledBackend)) []standin.Target {
	var changes []standin.Target
	for i := zones - 1; i < len(m.backends); i += zones {
		apply(&m.backends[i])
		changes = append(changes, m.target(i, state))
	}
	return changes
}

// find returns the backend of an endpoint, or nil if there is none.
func (m *backendModel) find(id policy.EndpointID) *modelledBackend {
	i, err := strconv.Atoi(strings.TrimPrefix(string(id), endpointIDPrefix))
	if err != nil || i >= len(m.backends) {
		return nil
	}
	return &m.backends[i]
}

// speed returns the share of its full speed that a backend has.
func (m *backendModel) speed(b *modelledBackend, now time.Duration) float64 {
	startedAt := time.Duration(b.startedAt.Load())
	if startedAt == 0 {
		return 1
	}
	return m.warmUp.Speed(now - startedAt)
}

// startAttempt returns how long an attempt will take and how it will end. One that will succeed holds a slot until
// finishAttempt.
func (m *backendModel) startAttempt(id policy.EndpointID, now time.Duration,
	rng *rand.Rand) (time.Duration, policy.AttemptEnded) {
	b := m.find(id)
	if b == nil || b.removed.Load() {
		return connectTimeout, policy.AttemptEnded{Outcome: policy.ConnectFailed}
	}
	b.attempts.Add(1)
	speed := m.speed(b, now)
	if speed < 1 {
		b.addColdAttempt(now)
	}
	inFlight := float64(b.inFlight.Add(1)) + poisson(rng, m.remoteInFlight)
	slots := max(1, m.slots*speed)
	if inFlight > slots*(1+queuedPerSlot) {
		b.inFlight.Add(-1)
		return rejectionLatency, policy.AttemptEnded{Outcome: policy.Rejected}
	}
	latency := time.Duration(float64(m.serviceTime(rng)) * max(1, inFlight/slots))
	report := policy.LoadReport{"inflight": inFlight, "queue": max(0, inFlight-slots), "util": min(1, inFlight/slots)}
	return latency, policy.AttemptEnded{Outcome: policy.Succeeded, LoadReport: report}
}

// finishAttempt gives back the slot of an attempt.
func (m *backendModel) finishAttempt(id policy.EndpointID) {
	if b := m.find(id); b != nil {
		b.inFlight.Add(-1)
	}
}

// attemptCounts returns the number of attempts at each backend so far.
func (m *backendModel) attemptCounts() []uint64 {
	counts := make([]uint64, len(m.backends))
	for i := range m.backends {
		counts[i] = m.backends[i].attempts.Load()
	}
	return counts
}

// maxColdAttempts returns the largest number of attempts that a backend got within slowStartSpan while it was cold.
func (m *backendModel) maxColdAttempts() int {
	result := 0
	for i := range m.backends {
		result = max(result, m.backends[i].maxColdAttempts())
	}
	return result
}

// coldAttemptLimit returns the number of attempts within slowStartSpan that do not overload a backend which has just
// started.
func (m *backendModel) coldAttemptLimit(meanServiceTime time.Duration) float64 {
	return slowStartMultiple * slowStartMinWeight * m.slots / meanServiceTime.Seconds() * slowStartSpan.Seconds()
}

func (b *modelledBackend) addColdAttempt(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldAttempts = append(b.coldAttempts, at)
}

func (b *modelledBackend) maxColdAttempts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maxWithinWindow(b.coldAttempts, slowStartSpan)
}

// poisson draws from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > minNormalMean {
		return max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	count, product := 0.0, rng.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= rng.Float64()
	}
	return count
}

// maxWithinWindow returns the largest number of times that lie within one window. The times are in the order in which
// the attempts came.
func maxWithinWindow(times []time.Duration, window time.Duration) int {
	result, oldest := 0, 0
	for i, t := range times {
		for times[oldest] <= t-window {
			oldest++
		}
		result = max(result, i-oldest+1)
	}
	return result
}
