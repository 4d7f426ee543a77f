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
