package standin

import "time"

// minSweepSize is the number of names below which a CounterTable does not remove expired names.
const minSweepSize = 1024

// CounterTable holds the totals of the shared counter by name until they expire. The caller passes the current time,
// which may be simulated and must not decrease. A CounterTable is not safe for concurrent use.
type CounterTable struct {
	entries        map[string]*counterEntry
	sweepThreshold int // number of entries at which Add removes the expired ones
}

type counterEntry struct {
	total     float64
	expiresAt time.Time
}

// NewCounterTable returns an empty table.
func NewCounterTable() *CounterTable {
	return &CounterTable{entries: map[string]*counterEntry{}, sweepThreshold: minSweepSize}
}

// Add adds an increment to a name and returns the new total. A name that is new or has expired starts from 0 and expires
// after lifetime. The lifetimes of later calls are ignored until then.
func (table *CounterTable) Add(now time.Time, name string, increment float64, lifetime time.Duration) float64 {
	entry := table.entries[name]
	if entry == nil || !now.Before(entry.expiresAt) {
		if len(table.entries) >= table.sweepThreshold {
			table.removeExpired(now)
		}
		entry = &counterEntry{expiresAt: now.Add(lifetime)}
		table.entries[name] = entry
	}
	entry.total += increment
	return entry.total
}

// Total returns the total of a name, or 0 if the name does not exist.
func (table *CounterTable) Total(now time.Time, name string) float64 {
	entry := table.entries[name]
	if entry == nil || !now.Before(entry.expiresAt) {
		return 0
	}
	return entry.total
}

// Len removes the expired names and returns the number of names left.
func (table *CounterTable) Len(now time.Time) int {
	table.removeExpired(now)
	return len(table.entries)
}

func (table *CounterTable) removeExpired(now time.Time) {
	for name, entry := range table.entries {
		if !now.Before(entry.expiresAt) {
			delete(table.entries, name)
		}
	}
	table.sweepThreshold = max(minSweepSize, 2*len(table.entries))
}
