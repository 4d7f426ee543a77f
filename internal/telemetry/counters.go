// Package telemetry provides the counters of a process and a limiter of its log records.
package telemetry

import (
	"log/slog"
	"sync/atomic"
)

// Counters is a fixed set of named counters that only increase. K numbers them from 0 in the order of their names; each set has
// its own type K, so that the numbers of different sets cannot be confused. It is safe for concurrent use.
type Counters[K ~int | ~uint8] struct {
	names  []string
	values []atomic.Int64
}

// NewCounters returns counters with the given names, all 0.
func NewCounters[K ~int | ~uint8](names ...string) *Counters[K] {
	return &Counters[K]{names: names, values: make([]atomic.Int64, len(names))}
}

// Add increments a counter by 1.
func (c *Counters[K]) Add(k K) { c.values[k].Add(1) }

// Value returns the value of a counter.
func (c *Counters[K]) Value(k K) int64 { return c.values[k].Load() }

// Name returns the name of a counter.
func (c *Counters[K]) Name(k K) string { return c.names[k] }

// Total returns the sum of all counters.
func (c *Counters[K]) Total() (sum int64) {
	for i := range c.values {
		sum += c.values[i].Load()
	}
	return sum
}

// LogValue returns the nonzero counters as a group. It implements slog.LogValuer.
func (c *Counters[K]) LogValue() slog.Value {
	var attrs []slog.Attr
	for i, name := range c.names {
		if v := c.values[i].Load(); v != 0 {
			attrs = append(attrs, slog.Int64(name, v))
		}
	}
	return slog.GroupValue(attrs...)
}
