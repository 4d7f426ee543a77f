package standin

import "time"

// minSweepSize is the number of names that a CounterTable may hold before it looks for expired ones.
const minSweepSize = 1024

// CounterTable holds the totals of the shared counter, each under its name until it expires. The caller gives the time,
// which may be that of a simulation and must not go back. It is not safe for concurrent use.
type CounterTable struct {
	entries map[string]*counterEntry
	sweepAt int // number of entries at which the expired ones are removed
}

type counterEntry struct {
	total     float64
	expiresAt time.Time
}

// NewCounterTable returns a table without names.
func NewCounterTable() *CounterTable {
	return &CounterTable{entries: map[string]*counterEntry{}, sweepAt: minSweepSize}
}

// Add adds to a name and returns its total. A name that is new or has expired starts from 0 and lives for lifetime; the
// lifetime of later calls does not count.
func (t *CounterTable) Add(now time.Time, name string, delta float64, lifetime time.Duration) float64 {
	entry := t.entries[name]
	if entry == nil || !now.Before(entry.expiresAt) {
		if len(t.entries) >= t.sweepAt {
			t.removeExpired(now)
		}
		entry = &counterEntry{expiresAt: now.Add(lifetime)}
		t.entries[name] = entry
	}
	entry.total += delta
	return entry.total
}

// Total returns what a name holds; 0 where there is no such name.
func (t *CounterTable) Total(now time.Time, name string) float64 {
	entry := t.entries[name]
	if entry == nil || !now.Before(entry.expiresAt) {
		return 0
	}
	return entry.total
}

// Len returns the number of names that have not expired.
func (t *CounterTable) Len(now time.Time) int {
	t.removeExpired(now)
	return len(t.entries)
}

func (t *CounterTable) removeExpired(now time.Time) {
	for name, entry := range t.entries {
		if !now.Before(entry.expiresAt) {
			delete(t.entries, name)
		}
	}
	t.sweepAt = max(minSweepSize, 2*len(t.entries))
}
