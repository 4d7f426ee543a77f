package telemetry

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestCountersLogWhatIsNotZero(t *testing.T) {
	c := NewCounters[int]("one", "two", "three")
	c.Add(0)
	c.Add(2)
	c.Add(2)
	var text strings.Builder
	slog.New(slog.NewTextHandler(&text, nil)).Info("counters", "all", c)
	if got := text.String(); !strings.Contains(got, "all.one=1 all.three=2") || strings.Contains(got, "two") {
		t.Fatalf("logged %q", got)
	}
	if c.Total() != 3 || c.Value(1) != 0 || c.Name(1) != "two" {
		t.Fatalf("total %d, second %d named %q", c.Total(), c.Value(1), c.Name(1))
	}
}

func TestLimiterTellsWhatItSuppressed(t *testing.T) {
	l, now := NewLimiter(2, time.Second), time.Unix(100, 0)
	for i, want := range []bool{true, true, false, false, false} {
		if ok, _ := l.Allow(now); ok != want {
			t.Fatalf("record %d allowed: %v", i, ok)
		}
	}
	if ok, suppressed := l.Allow(now.Add(time.Second)); !ok || suppressed != 3 {
		t.Fatalf("in the next period: %v, %d suppressed, want 3", ok, suppressed)
	}
}
