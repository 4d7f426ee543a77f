// Package stall detects that the process did not run for a while: it was stopped, or its machine was. What is read just after
// such a stall may have come at any time since the process last ran, so its age cannot be told from when it was read.
package stall

import (
	"sync/atomic"
	"time"
)

const (
	// HeartbeatInterval is the longest time between two heartbeats of a process that runs.
	HeartbeatInterval = 20 * time.Millisecond
	// SettleTime is how long after a stall everything that came during it has been read.
	SettleTime = 30 * time.Millisecond
	// MaxStall is the longest stall that deadlines and windows allow for between reading the clock and writing.
	MaxStall = 150 * time.Millisecond
	// minStall is the shortest gap between two heartbeats that counts as a stall: twice the interval, so that a late timer
	// is none.
	minStall = 40 * time.Millisecond
)

// Detector notices stalls of the process from the gaps between heartbeats. One goroutine calls Heartbeat at least every
// HeartbeatInterval; any may call the other methods. A nil Detector knows of no stall.
type Detector struct {
	start time.Time
	// heartbeat is the last one, from and until are the bounds of the last stall, all as durations since start.
	heartbeat, from, until atomic.Int64
}

// NewDetector returns a detector that measures from start.
func NewDetector(start time.Time) *Detector {
	detector := &Detector{start: start}
	detector.until.Store(int64(-SettleTime))
	return detector
}

// Heartbeat notes that the process runs, and returns how long it was stalled before, or 0.
func (detector *Detector) Heartbeat(now time.Time) time.Duration {
	at := int64(now.Sub(detector.start))
	before := detector.heartbeat.Swap(at)
	gap := time.Duration(at - before)
	if before == 0 || gap < minStall {
		return 0
	}
	detector.from.Store(before)
	detector.until.Store(at)
	return gap
}

// LastStallEnd returns when the last stall ended, as a duration since the start; it is negative if there was none.
func (detector *Detector) LastStallEnd() time.Duration { return time.Duration(detector.until.Load()) }

// EarliestArrival returns the earliest time at which something that is read now may have come: now, or the beginning of a
// stall that has only just ended or that no heartbeat has ended yet.
func (detector *Detector) EarliestArrival(now time.Time) time.Time {
	if detector == nil {
		return now
	}
	at := now.Sub(detector.start)
	heartbeat := time.Duration(detector.heartbeat.Load())
	if heartbeat > 0 && at-heartbeat >= minStall {
		return detector.start.Add(heartbeat)
	}
	if at-time.Duration(detector.until.Load()) < SettleTime {
		return detector.start.Add(time.Duration(detector.from.Load()))
	}
	return now
}
