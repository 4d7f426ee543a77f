package listener

import (
	"testing"
	"time"
)

// A connection may have waited since the start of the last delay or of the last series of accept errors, but not since an
// earlier delay.
func TestConnectionMayHaveWaitedSinceTheLastDelay(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var delay acceptDelay
	wantAccepted := func(now, earliest int) {
		t.Helper()
		got, mayHaveWaited := delay.recordAccept(at(now))
		if !got.Equal(at(earliest)) || mayHaveWaited != (now != earliest) {
			t.Fatalf("accepted at %d ms: got earliest arrival %v, waited %v; want %d ms", now, got.Sub(start), mayHaveWaited, earliest)
		}
	}
	wantAccepted(1, 1)
	for ms := 10; ms < 1000; ms += 10 { // clients that keep all slots in use
		delay.recordSlotWait(at(ms), at(ms+6))
		wantAccepted(ms+6, ms)
	}
	wantAccepted(1100, 1100)
	for ms := 2000; ms < 2300; ms += 5 {
		delay.recordFailure(at(ms), at(ms+5))
		delay.recordSlotWait(at(ms+5), at(ms+7))
	}
	wantAccepted(2301, 2000)
	wantAccepted(2310, 2000) // connections that arrived in the delay are accepted shortly after
	wantAccepted(2400, 2400)
}

// While all slots are in use, the arrival of a connection is known from the length of the accept queue: hundreds may have waited
// for much longer than the last wait for a slot.
func TestArrivalIsKnownFromTheAcceptQueue(t *testing.T) {
	const (
		arrivals    = 400             // connections that arrive at once, at the start
		laterEvery  = 20              // milliseconds between two later ones
		acceptEvery = 2               // milliseconds between two accepted connections
		firstLater  = 200             // milliseconds until the first of them
		later       = 100             // number of later ones
		lastAccept  = 2 * arrivals    // milliseconds until all that arrived at the start are accepted
		precision   = 2 * acceptEvery // milliseconds, in addition to queueMarkInterval
	)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var delay acceptDelay
	arrivedAt := make([]int, arrivals, arrivals+later) // milliseconds, in the order of arrival
	for i := range later {
		arrivedAt = append(arrivedAt, firstLater+i*laterEvery)
	}
	accepted := 0
	for ms := 0; ms < lastAccept+later && accepted < len(arrivedAt); ms += acceptEvery {
		arrived := 0
		for arrived < len(arrivedAt) && arrivedAt[arrived] <= ms {
			arrived++
		}
		if arrived == accepted {
			break
		}
		if delay.needsQueueMark(at(ms)) {
			delay.recordQueue(at(ms), arrived-accepted)
		}
		delay.recordSlotWait(at(ms), at(ms+acceptEvery))
		earliest, mayHaveWaited := delay.recordAccept(at(ms + acceptEvery))
		early := at(arrivedAt[accepted]).Sub(earliest)
		if limit := queueMarkInterval + precision*time.Millisecond; early < 0 || early > limit || !mayHaveWaited {
			t.Fatalf("connection %d arrived at %d ms, accepted at %d ms: got earliest arrival %v before that, want 0 to %v", accepted,
				arrivedAt[accepted], ms+acceptEvery, early, limit)
		}
		accepted++
	}
	if accepted < arrivals+later/3 {
		t.Fatalf("got %d connections accepted, want more", accepted)
	}
}
