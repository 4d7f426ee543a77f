package rig

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	lagInterval = 10 * time.Millisecond
	// maxLag is the longest time for which the stand-ins may not have run. A run with a longer one does not count: its clients
	// and backends were not sound.
	maxLag = 200 * time.Millisecond
)

var longestLag atomic.Int64

// watchLag records the longest time for which this process did not run.
func watchLag() {
	for last := time.Now(); ; {
		time.Sleep(lagInterval)
		now := time.Now()
		longestLag.Store(max(longestLag.Load(), int64(now.Sub(last)-lagInterval)))
		last = now
	}
}

// Sound returns an error if a run does not count: an ingress has ended by itself, the stand-ins did not run for too long, or there
// were fewer requests than wanted. It is called at the end of the run.
func (c *Cluster) Sound(record *Record, requests, wanted int) error {
	lag := time.Duration(longestLag.Load())
	record.Printf("the stand-ins did not run for %v at most", lag)
	for i, in := range c.Ingresses {
		select {
		case <-in.Exited():
			return fmt.Errorf("ingress %d ended by itself: %v", i, in.Err)
		default:
		}
	}
	switch {
	case lag > maxLag:
		return fmt.Errorf("the stand-ins did not run for %v", lag)
	case requests < wanted:
		return fmt.Errorf("%d requests, want %d at least", requests, wanted)
	}
	return nil
}
