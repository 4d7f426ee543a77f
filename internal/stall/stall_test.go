package stall

import (
	"testing"
	"time"
)

// What is read after a stall may have come at any time since the process last ran.
func TestEarliestArrivalAfterAStallIsTheLastHeartbeat(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	detector := NewDetector(start)
	for _, c := range []struct {
		heartbeat      int // ms; 0: none
		stalled        int
		read, earliest int
	}{
		{0, 0, 5, 5}, {10, 0, 12, 12}, {30, 0, 45, 45}, // in good order
		{0, 0, 130, 30},                                          // read before the gateway's goroutine ran again
		{140, 110, 141, 30},                                      // and just after
		{150, 0, 155, 30}, {160, 0, 169, 30}, {165, 0, 171, 171}, // until what had come is read
	} {
		if c.heartbeat > 0 {
			if got := detector.Heartbeat(at(c.heartbeat)); got != time.Duration(c.stalled)*time.Millisecond {
				t.Fatalf("heartbeat at %d ms: stalled for %v", c.heartbeat, got)
			}
		}
		if got := detector.EarliestArrival(at(c.read)); !got.Equal(at(c.earliest)) {
			t.Fatalf("read at %d ms: earliest arrival %v, want %d ms", c.read, got.Sub(start), c.earliest)
		}
	}
}
