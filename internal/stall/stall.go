// Package stall detects periods in which the process did not run, because it or its machine was stopped. Input that is read just
// after such a stall may have arrived at any time since the process last ran, so the time of the read does not give its age.
package stall

import (
	"sync/atomic"
	"time"
)

const (
	// HeartbeatInterval is the maximum time between two heartbeats of a running process.
	HeartbeatInterval = 20 * time.Millisecond
	// SettleTime is the time after the end of a stall within which all input that arrived during the stall is read.
	SettleTime = 30 * time.Millisecond
	// MaxStall is the longest stall between reading the clock and writing that deadlines and windows allow for.
	MaxStall = 150 * time.Millisecond
	// minStall is the shortest gap between two heartbeats that counts as a stall. It is twice the interval, so that a late
	// timer does not count.
	minStall = 40 * time.Millisecond
)

// Detector detects stalls of the process from the gaps between heartbeats. One goroutine calls Heartbeat at least every
// HeartbeatInterval; the other methods are safe for concurrent use. EarliestArrival of a nil Detector assumes no stalls.
type Detector struct {
	start time.Time
	// Time of the last heartbeat, and start and end of the last stall, as durations since start.
	lastHeartbeat, stallStart, stallEnd atomic.Int64
}

// NewDetector returns a detector that measures from start.
func NewDetector(start time.Time) *Detector {
	detector := &Detector{start: start}
	detector.stallEnd.Store(int64(-SettleTime))
	return detector
}

// Heartbeat records that the process runs. It returns the duration of a stall that ends now, or 0.
func (detector *Detector) Heartbeat(now time.Time) time.Duration {
	at := int64(now.Sub(detector.start))
	previous := detector.lastHeartbeat.Swap(at)
	gap := time.Duration(at - previous)
	if previous == 0 || gap < minStall {
		return 0
	}
	detector.stallStart.Store(previous)
	detector.stallEnd.Store(at)
	return gap
}

// LastStallEnd returns when the last stall ended, as a duration since the start; it is negative if there was none.
func (detector *Detector) LastStallEnd() time.Duration {
	return time.Duration(detector.stallEnd.Load())
}

// EarliestArrival returns the earliest time at which input that is read now may have arrived. This is now, or the start of a
// stall that ended less than SettleTime ago or that no heartbeat has ended yet.
func (detector *Detector) EarliestArrival(now time.Time) time.Time {
	if detector == nil {
		return now
	}
	at := now.Sub(detector.start)
	heartbeat := time.Duration(detector.lastHeartbeat.Load())
	if heartbeat > 0 && at-heartbeat >= minStall {
		return detector.start.Add(heartbeat)
	}
	if at-time.Duration(detector.stallEnd.Load()) < SettleTime {
		return detector.start.Add(time.Duration(detector.stallStart.Load()))
	}
	return now
}
