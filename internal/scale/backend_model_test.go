package scale

import (
	"math/rand/v2"
	"testing"
	"time"

	"lemontack/policy"
)

func TestModelledBackendRejectsAttemptsBeyondItsQueue(t *testing.T) {
	m := newBackendModel(2, 1, meanServiceTime, false)
	m.slots, m.serviceTime = 4, func(*rand.Rand) time.Duration { return meanServiceTime }
	rng := rand.New(rand.NewPCG(1, 1))
	fill := func(i int) (accepted int, slowest time.Duration) {
		for ; accepted < 1000; accepted++ {
			latency, end := m.startAttempt(policy.EndpointID(endpointID(i)), simulatedStart, rng)
			if end.Outcome == policy.Rejected {
				break
			}
			slowest = latency
		}
		return accepted, slowest
	}
	warm, slowest := fill(0)
	if want := 4 * (1 + queueLengthPerSlot); warm != want || slowest != meanServiceTime*(1+queueLengthPerSlot) {
		t.Errorf("warm backend: got %d accepted, the last with latency %v; want %d and %v", warm, slowest, want,
			meanServiceTime*(1+queueLengthPerSlot))
	}
	m.backends[1].startedAt.Store(int64(simulatedStart))
	if cold, _ := fill(1); cold >= warm || cold == 0 {
		t.Errorf("cold backend: got %d accepted, want fewer than the %d of a warm one, but some", cold, warm)
	}
}

func TestAttemptAtARemovedBackendFailsToConnect(t *testing.T) {
	m := newBackendModel(2, 1, meanServiceTime, false)
	m.backends[0].removed.Store(true)
	rng := rand.New(rand.NewPCG(1, 1))
	if _, end := m.startAttempt("s-000000", simulatedStart, rng); end.Outcome != policy.ConnectFailed {
		t.Errorf("got outcome %v, want ConnectFailed", end.Outcome)
	}
}

func TestMaxWithinWindowCountsTheFullestWindow(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		times []time.Duration
		want  int
	}{
		{nil, 0},
		{[]time.Duration{second}, 1},
		{[]time.Duration{0, second / 2, second, 3 * second / 2}, 2},
		{[]time.Duration{0, 1, 2, 9 * second}, 3},
	} {
		if got := maxWithinWindow(c.times, second); got != c.want {
			t.Errorf("%v: got %d within a second, want %d", c.times, got, c.want)
		}
	}
}
