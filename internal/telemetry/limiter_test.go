package telemetry

import (
	"testing"
	"time"
)

func TestLogLimiterReportsSuppressedRecords(t *testing.T) {
	l, now := NewLogLimiter(2, time.Second), time.Unix(100, 0)
	for i, want := range []bool{true, true, false, false, false} {
		if ok, _ := l.Allow(now); ok != want {
			t.Fatalf("record %d: got allowed %v, want %v", i, ok, want)
		}
	}
	if ok, suppressed := l.Allow(now.Add(time.Second)); !ok || suppressed != 3 {
		t.Fatalf("next period: got allowed %v, %d suppressed; want true, 3", ok, suppressed)
	}
}
