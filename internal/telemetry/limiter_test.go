package telemetry

import (
	"testing"
	"time"
)

func TestLimiterReportsWhatItSuppressed(t *testing.T) {
	l, now := NewLogLimiter(2, time.Second), time.Unix(100, 0)
	for i, want := range []bool{true, true, false, false, false} {
		if ok, _ := l.Allow(now); ok != want {
			t.Fatalf("record %d allowed: %v", i, ok)
		}
	}
	if ok, suppressed := l.Allow(now.Add(time.Second)); !ok || suppressed != 3 {
		t.Fatalf("in the next period: %v, %d suppressed, want 3", ok, suppressed)
	}
}
