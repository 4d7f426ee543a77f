package telemetry

import (
	"log/slog"
	"strings"
	"testing"
)

func TestCountersLogNonZeroValues(t *testing.T) {
	c := NewCounters[int]("one", "two", "three")
	c.Add(0)
	c.Add(2)
	c.Add(2)
	var text strings.Builder
	slog.New(slog.NewTextHandler(&text, nil)).Info("counters", "all", c)
	if got := text.String(); !strings.Contains(got, "all.one=1 all.three=2") || strings.Contains(got, "two") {
		t.Fatalf("got log record %q, want the nonzero counters only", got)
	}
	if c.Total() != 3 || c.Value(1) != 0 || c.Name(1) != "two" {
		t.Fatalf("got total %d, second counter %d named %q; want 3, 0, \"two\"", c.Total(), c.Value(1), c.Name(1))
	}
}
