package standin

import (
	"testing"
	"time"
)

func TestCounterTableExpiresNamesByTheGivenTime(t *testing.T) {
	table, start := NewCounterTable(), time.Unix(0, 0)
	for _, c := range []struct {
		elapsed   time.Duration
		increment float64
		lifetime  time.Duration
		want      float64
	}{
		{0, 2, time.Second, 2},
		{999 * time.Millisecond, 1, time.Hour, 3},
		{time.Second, 5, time.Minute, 5},
	} {
		if got := table.Add(start.Add(c.elapsed), "a", c.increment, c.lifetime); got != c.want {
			t.Fatalf("after %v: got total %v, want %v", c.elapsed, got, c.want)
		}
	}
	if got := table.Total(start.Add(2*time.Second), "a"); got != 5 {
		t.Errorf("before the lifetime ends: got total %v, want 5", got)
	}
	after := start.Add(61 * time.Second)
	if total, names := table.Total(after, "a"), table.Len(after); total != 0 || names != 0 {
		t.Errorf("after the lifetime: got total %v, %d names, want 0, 0", total, names)
	}
}
