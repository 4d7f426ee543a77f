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
	rejectionLatency    = time.Millisecond // latency of an attempt at a full backend
	queueLengthPerSlot  = 4                // requests that a backend queues for each slot
	minNormalDrawMean   = 30               // Poisson distributions with a larger mean are drawn as normal ones
	backendsPerPodGroup = 16               // consecutive backends that share a pod group

	drainingStride = 7 // distance in the list between backends that drain one after another

	endpointIDPrefix = "s-"
)

// States of an endpoint in discovery's protocol.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

// backendModel models the backends of a fleet without sockets. The outcome of an attempt depends on the requests that
// its backend has in flight and on the backend's warm-up, so that the choice of a backend matters as it does with real
// ones. All hollow ingresses of the process share the model; it is safe for concurrent use.
type backendModel struct {
	slots          float64                        // requests that a warm backend processes concurrently
	remoteInFlight float64                        // mean number of requests at each backend from ingresses outside this process
	serviceTime    func(*rand.Rand) time.Duration // draws the time that a request takes if none is queued
	warmUp         standin.WarmUp
	backends       []modelledBackend
}

type modelledBackend struct {
	inFlight  atomic.Int32
	attempts  atomic.Uint64
	removed   atomic.Bool
	startedAt atomic.Int64 // start time in ns on the clock of the ingresses; zero means long ago

	mu           sync.Mutex      // guards coldAttempts
	coldAttempts []time.Duration // times of the attempts during warm-up, in order of arrival
}

// newBackendModel returns a model of count backends. Each has at least two slots, and so many that requestRate requests a
// second to all backends keep at most half of the slots busy. loadIsRemote means that ingresses outside this process send
// these requests, which then count as in flight too.
func newBackendModel(count int, requestRate float64, meanServiceTime time.Duration, loadIsRemote bool) *backendModel {
	m := &backendModel{
		serviceTime: func(rng *rand.Rand) time.Duration {
			return time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(meanServiceTime))
		},
		warmUp:   standin.WarmUp{MinSpeed: slowStartMinWeight, Duration: slowStartWindow},
		backends: make([]modelledBackend, count),
	}
	busySlots := requestRate * meanServiceTime.Seconds() / float64(count)
	m.slots = max(2, 2*busySlots)
	if loadIsRemote {
		m.remoteInFlight = busySlots
	}
	return m
}

// endpointID returns the id of backend i in the endpoint list.
func endpointID(i int) string { return fmt.Sprintf("%s%06d", endpointIDPrefix, i) }

// targets returns the endpoint list in discovery's form. Its loopback addresses are never dialled.
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

// newTarget returns the entry of backend i in the endpoint list, without a start time: it is warm.
func newTarget(i int, addr, state string) standin.Target {
	return standin.Target{UID: endpointID(i), Address: addr, Zone: zoneName(i), Model: "m1", Group: i / backendsPerPodGroup,
		State: state, Capacity: 1}
}

// drainingChange returns the change of the given index. At an even index a backend begins to drain, another one each time,
// and at the next index the same backend serves again.
func (m *backendModel) drainingChange(change int) standin.Target {
	state := stateDraining
	if change%2 == 1 {
		state = stateServing
	}
	return m.target(change/2*drainingStride%len(m.backends), state)
}

// removeLastZone removes the backends of the last zone, and returns the change of the endpoint list.
func (m *backendModel) removeLastZone() []standin.Target {
	return m.changeLastZone(stateDeleted, func(b *modelledBackend) { b.removed.Store(true) })
}

// restoreLastZone starts the backends of the last zone again, cold, and returns the change of the endpoint list.
func (m *backendModel) restoreLastZone() []standin.Target {
	return m.changeLastZone(stateServing, func(b *modelledBackend) {
		b.startedAt.Store(time.Now().Truncate(time.Millisecond).UnixNano())
		b.removed.Store(false)
	})
}

func (m *backendModel) changeLastZone(state string, apply func(*modelledBackend)) []standin.Target {
	var changes []standin.Target
	for i := zoneCount - 1; i < len(m.backends); i += zoneCount {
		apply(&m.backends[i])
		changes = append(changes, m.target(i, state))
	}
	return changes
}

// findBackend returns the backend of an endpoint, or nil if there is none.
func (m *backendModel) findBackend(id policy.EndpointID) *modelledBackend {
	i, err := strconv.Atoi(strings.TrimPrefix(string(id), endpointIDPrefix))
	if err != nil || i >= len(m.backends) {
		return nil
	}
	return &m.backends[i]
}

// speed returns the speed of a backend as a share of its full speed.
func (m *backendModel) speed(b *modelledBackend, now time.Duration) float64 {
	startedAt := time.Duration(b.startedAt.Load())
	if startedAt == 0 {
		return 1
	}
	return m.warmUp.Speed(now - startedAt)
}

// startAttempt returns the latency and the outcome that an attempt will have. An attempt that will succeed holds a slot
// until finishAttempt.
func (m *backendModel) startAttempt(id policy.EndpointID, now time.Duration,
	rng *rand.Rand) (time.Duration, policy.AttemptEnded) {
	b := m.findBackend(id)
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
	if inFlight > slots*(1+queueLengthPerSlot) {
		b.inFlight.Add(-1)
		return rejectionLatency, policy.AttemptEnded{Outcome: policy.Rejected}
	}
	latency := time.Duration(float64(m.serviceTime(rng)) * max(1, inFlight/slots))
	report := policy.LoadReport{"inflight": inFlight, "queue": max(0, inFlight-slots), "util": min(1, inFlight/slots)}
	return latency, policy.AttemptEnded{Outcome: policy.Succeeded, LoadReport: report}
}

// finishAttempt releases the slot of an attempt.
func (m *backendModel) finishAttempt(id policy.EndpointID) {
	if b := m.findBackend(id); b != nil {
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

// maxColdAttempts returns the largest number of attempts that a cold backend received within slowStartBudgetPeriod.
func (m *backendModel) maxColdAttempts() int {
	result := 0
	for i := range m.backends {
		result = max(result, m.backends[i].maxColdAttempts())
	}
	return result
}

// coldAttemptLimit returns the number of attempts within slowStartBudgetPeriod that do not overload a backend which has just
// started.
func (m *backendModel) coldAttemptLimit(meanServiceTime time.Duration) float64 {
	return slowStartBudgetMultiple * slowStartMinWeight * m.slots / meanServiceTime.Seconds() * slowStartBudgetPeriod.Seconds()
}

func (b *modelledBackend) addColdAttempt(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldAttempts = append(b.coldAttempts, at)
}

func (b *modelledBackend) maxColdAttempts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maxWithinWindow(b.coldAttempts, slowStartBudgetPeriod)
}

// poisson draws from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > minNormalDrawMean {
		return max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	count, product := 0.0, rng.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= rng.Float64()
	}
	return count
}

// maxWithinWindow returns the largest number of times that lie within one window. The times are in the order in which
// the attempts arrived.
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
