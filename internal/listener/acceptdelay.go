package listener

import (
	"time"

	"lemontack/internal/stall"
)

const (
	// minSlotWait is the shortest wait for a slot that counts as a delay; a free slot is acquired in less.
	minSlotWait = time.Millisecond
	// queueMarkInterval is the minimum time between two marks of the accept queue: the precision of a connection's arrival.
	queueMarkInterval = 5 * time.Millisecond
)

// acceptDelay records when no connection could be accepted. Connections that arrived in the meantime waited in the kernel's
// accept queue, and the timeouts of their first requests count from their arrival. It is used only by the goroutine that runs
// Serve.
//
// While clients keep all slots in use, the queue may hold hundreds of connections for as long, and each wait for a slot is
// short. Marks of the length of the queue tell then when a connection arrived: it is served in the order of arrival.
type acceptDelay struct {
	start, end time.Time   // bounds of the last delay
	isFailing  bool        // every accept call since start has failed
	accepted   int         // number of accepted connections
	marks      []queueMark // in the order of time and of lastArrived; the first one is of the oldest connection in the queue
}

// queueMark tells which connections had arrived at a time. Connections are numbered from 1 in the order in which they are
// accepted.
type queueMark struct {
	at          time.Time
	lastArrived int // number of the last connection that had arrived
}

// recordFailure records a failed accept call.
func (delay *acceptDelay) recordFailure(acceptStart, now time.Time) {
	if !delay.isFailing {
		delay.start, delay.marks = acceptStart, nil
	}
	delay.end, delay.isFailing = now, true
}

// recordSlotWait records that no slot was free between two times.
func (delay *acceptDelay) recordSlotWait(start, end time.Time) {
	if end.Sub(start) > minSlotWait && !delay.isFailing {
		delay.start, delay.end = start, end
	}
}

// needsQueueMark reports whether the length of the accept queue is worth a mark: the last one is queueMarkInterval old.
func (delay *acceptDelay) needsQueueMark(now time.Time) bool {
	count := len(delay.marks)
	return count == 0 || now.Sub(delay.marks[count-1].at) >= queueMarkInterval
}

// recordQueue records the length of the accept queue while no slot is free.
func (delay *acceptDelay) recordQueue(now time.Time, length int) {
	mark := queueMark{at: now, lastArrived: delay.accepted + length}
	count := len(delay.marks)
	isFirstNeeded := count == 1 && delay.marks[0].lastArrived > delay.accepted // by connections that arrived before it
	if count > 0 && !isFirstNeeded && delay.marks[count-1].lastArrived >= mark.lastArrived {
		delay.marks[count-1].at = now // nothing has arrived since
		return
	}
	delay.marks = append(delay.marks, mark)
}

// recordAccept records a successful accept call. It returns the earliest time at which the connection may have arrived, and
// whether that is before now.
func (delay *acceptDelay) recordAccept(now time.Time) (earliest time.Time, mayHaveWaited bool) {
	delay.isFailing = false
	delay.accepted++
	if delay.end.IsZero() || now.Sub(delay.end) >= stall.SettleTime {
		delay.marks = nil
		return now, false
	}
	for len(delay.marks) > 1 && delay.marks[1].lastArrived < delay.accepted {
		delay.marks = delay.marks[1:]
	}
	if len(delay.marks) > 0 {
		return delay.marks[0].at, true
	}
	return delay.start, true
}
