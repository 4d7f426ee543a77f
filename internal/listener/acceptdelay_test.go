package listener

import (
	"testing"
	"time"
)

// A connection may have waited since the last delay began, or since calls began to fail, and no longer: where slots are always
// scarce, each one waits for its own.
func TestAcceptDelayCountsFromTheLastDelay(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var delay acceptDelay
	want := func(now, since int) {
		t.Helper()
		got, waited := delay.accepted(at(now))
		if !got.Equal(at(since)) || waited != (now != since) {
			t.Fatalf("accepted at %d ms: waited %v, since %v", now, waited, got.Sub(start))
		}
	}
	want(1, 1)
	for ms := 10; ms < 1000; ms += 10 { // clients that keep all slots in use
		delay.waitedForSlot(at(ms), at(ms+6))
		want(ms+6, ms)
	}
	want(1100, 1100)
	for ms := 2000; ms < 2300; ms += 5 {
		delay.failed(at(ms), at(ms+5))
		delay.waitedForSlot(at(ms+5), at(ms+7))
	}
	want(2301, 2000)
	want(2310, 2000) // connections that arrived in the delay are accepted shortly after
	want(2400, 2400)
}
