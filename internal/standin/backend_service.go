package standin

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// warmUpUpdateInterval is the time for which the speed of a cold backend is assumed to be constant.
	warmUpUpdateInterval = 20 * time.Millisecond
	// workEpsilonSeconds is a tolerance for rounding errors: an attempt with less work left is complete.
	workEpsilonSeconds = 1e-9
)

// backendAttempt is one attempt that a backend has received.
type backendAttempt struct {
	value             string  // value of the reply
	workSeconds       float64 // time that the attempt takes on a core of its own
	finishVirtualTime float64 // Backend.virtualTime at completion, in seconds; set when the service starts
	reply             pendingReply
	replyWriter       *replyWriter // writer of the connection that the attempt arrived on
}

func finishesBefore(attempt, other *backendAttempt) bool {
	return attempt.finishVirtualTime < other.finishVirtualTime
}

// admit starts, queues or rejects an attempt and returns its pending reply. The result is nil if the backend has stopped
// or crashes because of this attempt.
func (b *Backend) admit(command []string, arrivedAt time.Time, replies *replyWriter) pendingReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.advanceTo(now)
	if b.stopped {
		return nil
	}
	b.stats.Attempts++
	arrivedAfterDrain := !b.drainedAt.IsZero() && arrivedAt.After(b.drainedAt)
	if arrivedAfterDrain {
		b.stats.ArrivedAfterDrain++
	}
	if b.arrivalExceedsLimit(now) {
		b.crash()
		return nil
	}
	attempt := b.newAttempt(command, replies)
	slotsFull := b.config.Slots > 0 && b.inService.Len() >= b.config.Slots
	switch {
	case arrivedAfterDrain, slotsFull && len(b.queued) >= b.config.MaxQueued:
		b.stats.Rejected++
		attempt.reply <- []byte(replyRejected)
	case slotsFull:
		b.queued = append(b.queued, attempt)
	default:
		b.startService(attempt)
	}
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.inService.Len()+len(b.queued))
	b.advanceTo(now)
	return attempt.reply
}

// newAttempt returns an attempt with a service time drawn from ServiceTime. The caller holds the lock.
func (b *Backend) newAttempt(command []string, replies *replyWriter) *backendAttempt {
	attempt := &backendAttempt{value: command[2], reply: make(pendingReply, 1), replyWriter: replies}
	if b.config.ReplyValue != nil {
		attempt.value = b.config.ReplyValue(command)
	}
	if b.config.ServiceTime != nil {
		attempt.workSeconds = b.config.ServiceTime(b.rng).Seconds()
	}
	return attempt
}

func (b *Backend) startService(attempt *backendAttempt) {
	attempt.finishVirtualTime = b.virtualTime + attempt.workSeconds
	b.inService.Push(attempt)
}

// advanceTo advances the virtual time to now, answers the attempts that are complete and sets the timer for the next
// completion. Attempts in service share the cores evenly (processor sharing), so that one virtual time applies to all of
// them. The caller holds the lock.
func (b *Backend) advanceTo(now time.Time) {
	for {
		workLeft := math.Inf(1)
		if b.inService.Len() > 0 {
			workLeft = b.inService.Min().finishVirtualTime - b.virtualTime
		}
		elapsed := now.Sub(b.updatedAt).Seconds()
		if workLeft > workEpsilonSeconds && workLeft > elapsed*b.speed+workEpsilonSeconds {
			b.virtualTime += elapsed * b.speed
			break
		}
		if workLeft > workEpsilonSeconds {
			b.virtualTime = b.inService.Min().finishVirtualTime
			b.updatedAt = b.updatedAt.Add(min(now.Sub(b.updatedAt), secondsToDuration(workLeft/b.speed)))
		}
		b.completeAttempt(b.inService.Pop())
		if len(b.queued) > 0 {
			b.startService(b.queued[0])
			b.queued = b.queued[1:]
		}
		b.speed = b.speedAt(b.updatedAt)
	}
	b.updatedAt = now
	b.speed = b.speedAt(now)
	b.resetTimer(now)
}

// resetTimer sets the timer for the next completion or the next warm-up step, whichever comes first. The timer is not set
// again once no attempt is in service; discardAttempts stops it. The caller holds the lock.
func (b *Backend) resetTimer(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if b.inService.Len() == 0 {
		return
	}
	wait := warmUpUpdateInterval
	secondsLeft := (b.inService.Min().finishVirtualTime - b.virtualTime) / b.speed
	if b.warmUpSpeed(now) >= 1 || secondsLeft < warmUpUpdateInterval.Seconds() {
		wait = secondsToDuration(secondsLeft) + 1
	}
	b.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.advanceTo(time.Now())
	})
}

// speedAt returns the speed of each attempt in service, in seconds of work per second. The caller holds the lock.
func (b *Backend) speedAt(now time.Time) float64 {
	speed := b.warmUpSpeed(now)
	if attempts := b.inService.Len(); b.config.Cores > 0 && attempts > b.config.Cores {
		speed *= float64(b.config.Cores) / float64(attempts)
	}
	return speed
}

// warmUpSpeed returns the current speed of the backend as a fraction of its full speed.
func (b *Backend) warmUpSpeed(now time.Time) float64 {
	if b.config.StartedAt.IsZero() {
		return 1
	}
	return b.config.WarmUp.Speed(now.Sub(b.config.StartedAt))
}

// arrivalExceedsLimit records the arrival of an attempt and reports whether it exceeds the overload limit of a cold
// backend. The caller holds the lock.
func (b *Backend) arrivalExceedsLimit(now time.Time) bool {
	limit := b.config.Overload
	speed := b.warmUpSpeed(now)
	if limit.CapacityMultiple == 0 || speed >= 1 || b.config.Cores == 0 || b.meanServiceSeconds == 0 {
		return false
	}
	b.recentArrivals = append(b.recentArrivals, now)
	for now.Sub(b.recentArrivals[0]) >= limit.Window {
		b.recentArrivals = b.recentArrivals[1:]
	}
	return float64(len(b.recentArrivals)) > limit.MaxArrivals(speed, b.config.Cores, b.meanServiceSeconds)
}

// completeAttempt answers an attempt whose work is done. The caller holds the lock.
func (b *Backend) completeAttempt(attempt *backendAttempt) {
	b.stats.Served++
	report := ""
	if b.config.LoadReports {
		report = fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", b.inService.Len(), len(b.queued), b.utilization())
	}
	attempt.reply <- []byte(ServedReply(attempt.value, report))
}

// utilization returns the fraction of the cores in use, or 0 if the number of cores is not limited. The caller holds the
// lock.
func (b *Backend) utilization() float64 {
	if b.config.Cores == 0 {
		return 0
	}
	return min(1, float64(b.inService.Len())/float64(b.config.Cores))
}

// cancelQueued removes the queued attempts of a connection that has closed.
func (b *Backend) cancelQueued(replies *replyWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = slices.DeleteFunc(b.queued, func(attempt *backendAttempt) bool { return attempt.replyWriter == replies })
}

// crash stops the backend because of overload. The caller holds the lock.
func (b *Backend) crash() {
	b.stats.Crashed = true
	b.discardAttempts()
	b.connections.close()
}

// discardAttempts stops the backend, discards all attempts and closes their pending replies. The caller holds the lock.
func (b *Backend) discardAttempts() {
	for _, attempt := range slices.Concat(b.inService.TakeAll(), b.queued) {
		close(attempt.reply)
	}
	b.queued = nil
	b.stopped = true
	if b.timer != nil {
		b.timer.Stop()
	}
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
