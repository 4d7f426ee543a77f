package stall

import (
	"testing"
	"time"
)

// Input that is read until SettleTime after a stall may have arrived at any time since the heartbeat before the stall.
func TestEarliestArrivalAfterAStallIsTheLastHeartbeat(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	detector := NewDetector(start)
	for _, step := range []struct {
		heartbeat            int // time of a heartbeat in ms; 0 for none
		wantStall            int
		readAt, wantEarliest int
	}{
		{0, 0, 5, 5}, {10, 0, 12, 12}, {30, 0, 45, 45}, // no stall
		{0, 0, 130, 30},                                          // read before the heartbeat that ends the stall
		{140, 110, 141, 30},                                      // read just after that heartbeat
		{150, 0, 155, 30}, {160, 0, 169, 30}, {165, 0, 171, 171}, // until SettleTime has passed
	} {
		if step.heartbeat > 0 {
			if got := detector.Heartbeat(at(step.heartbeat)); got != time.Duration(step.wantStall)*time.Millisecond {
				t.Fatalf("heartbeat at %d ms: got stall %v, want %d ms", step.heartbeat, got, step.wantStall)
			}
		}
		if got := detector.EarliestArrival(at(step.readAt)); !got.Equal(at(step.wantEarliest)) {
			t.Fatalf("read at %d ms: got earliest arrival %v, want %d ms", step.readAt, got.Sub(start), step.wantEarliest)
		}
	}
}
