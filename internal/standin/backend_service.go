package standin

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// warmUpStep is the time for which the speed of a cold backend is taken as constant.
	warmUpStep = 20 * time.Millisecond
	// workEpsilon, in seconds of work, allows for rounding: an attempt with less work left is done.
	workEpsilon = 1e-9
)

// backendAttempt is one attempt at a backend.
type backendAttempt struct {
	value       string  // what it is served with
	serviceTime float64 // seconds of work
	finishAt    float64 // in the backend's virtual time; set when its service starts
	reply       pendingReply
	replies     *replyWriter // of its connection
}

func finishesBefore(a, b *backendAttempt) bool { return a.finishAt < b.finishAt }

// admit starts an attempt, queues it or rejects it, and returns the place of its answer. That is nil if the backend has
// stopped, or crashes with this attempt.
func (b *Backend) admit(command []string, arrivedAt time.Time, replies *replyWriter) pendingReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.update(now)
	if b.stopped {
		return nil
	}
	b.stats.Attempts++
	draining := !b.drainedAt.IsZero() && arrivedAt.After(b.drainedAt)
	if draining {
		b.stats.ArrivedAfterDrain++
	}
	if b.isOverloaded(now) {
		b.crash()
		return nil
	}
	attempt := b.newAttempt(command, replies)
	full := b.config.Slots > 0 && b.inService.Len() >= b.config.Slots
	switch {
	case draining, full && len(b.queued) >= b.config.MaxQueued:
		b.stats.Rejected++
		attempt.reply <- []byte(replyRejected)
	case full:
		b.queued = append(b.queued, attempt)
	default:
		b.startService(attempt)
	}
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.inService.Len()+len(b.queued))
	b.update(now)
	return attempt.reply
}

// newAttempt draws the service time of an attempt. The lock is held.
func (b *Backend) newAttempt(command []string, replies *replyWriter) *backendAttempt {
	attempt := &backendAttempt{value: command[2], reply: make(pendingReply, 1), replies: replies}
	if b.config.ReplyValue != nil {
		attempt.value = b.config.ReplyValue(command)
	}
	if b.config.ServiceTime != nil {
		attempt.serviceTime = b.config.ServiceTime(b.rng).Seconds()
	}
	return attempt
}

func (b *Backend) startService(attempt *backendAttempt) {
	attempt.finishAt = b.virtualTime + attempt.serviceTime
	b.inService.Push(attempt)
}

// update brings the work up to now, answers what is done and sets the timer for the next. Attempts in service share the
// cores evenly (processor sharing), so that one virtual time serves for all. The lock is held.
func (b *Backend) update(now time.Time) {
	for {
		workLeft := math.Inf(1)
		if b.inService.Len() > 0 {
			workLeft = b.inService.Min().finishAt - b.virtualTime
		}
		elapsed := now.Sub(b.updatedAt).Seconds()
		if workLeft > workEpsilon && workLeft > elapsed*b.speed+workEpsilon {
			b.virtualTime += elapsed * b.speed
			break
		}
		if workLeft > workEpsilon {
			b.virtualTime = b.inService.Min().finishAt
			b.updatedAt = b.updatedAt.Add(min(now.Sub(b.updatedAt), seconds(workLeft/b.speed)))
		}
		b.complete(b.inService.Pop())
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

// resetTimer sets the timer for the next end of service, or for the next step of the warm-up. The lock is held. The
// timer ends by itself once nothing is in service; abandonAll stops it.
func (b *Backend) resetTimer(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if b.inService.Len() == 0 {
		return
	}
	wait := warmUpStep
	left := (b.inService.Min().finishAt - b.virtualTime) / b.speed
	if b.warmUpSpeed(now) >= 1 || left < warmUpStep.Seconds() {
		wait = seconds(left) + 1
	}
	b.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.update(time.Now())
	})
}

// speedAt returns the speed of each attempt in service, in seconds of work per second.
func (b *Backend) speedAt(now time.Time) float64 {
	speed := b.warmUpSpeed(now)
	if n := b.inService.Len(); b.config.Cores > 0 && n > b.config.Cores {
		speed *= float64(b.config.Cores) / float64(n)
	}
	return speed
}

// warmUpSpeed returns the share of its full speed that the backend has.
func (b *Backend) warmUpSpeed(now time.Time) float64 {
	if b.config.StartedAt.IsZero() {
		return 1
	}
	return b.config.WarmUp.Speed(now.Sub(b.config.StartedAt))
}

// isOverloaded counts an attempt that arrives now, and reports whether it was one too many for a cold backend. The lock
// is held.
func (b *Backend) isOverloaded(now time.Time) bool {
	overload := b.config.Overload
	speed := b.warmUpSpeed(now)
	if overload.CapacityMultiple == 0 || speed >= 1 || b.config.Cores == 0 || b.meanServiceTime == 0 {
		return false
	}
	b.recentArrivals = append(b.recentArrivals, now)
	for now.Sub(b.recentArrivals[0]) >= overload.Window {
		b.recentArrivals = b.recentArrivals[1:]
	}
	return float64(len(b.recentArrivals)) > overload.MaxArrivals(speed, b.config.Cores, b.meanServiceTime)
}

// complete answers an attempt whose work is done. The lock is held.
func (b *Backend) complete(attempt *backendAttempt) {
	b.stats.Served++
	report := ""
	if b.config.LoadReports {
		report = fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", b.inService.Len(), len(b.queued), b.utilization())
	}
	attempt.reply <- []byte(ServedReply(attempt.value, report))
}

// utilization returns the share of the cores that is in use; 0 where their number is not bounded.
func (b *Backend) utilization() float64 {
	if b.config.Cores == 0 {
		return 0
	}
	return min(1, float64(b.inService.Len())/float64(b.config.Cores))
}

// cancelQueued removes the queued attempts of a connection that has ended.
func (b *Backend) cancelQueued(replies *replyWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = slices.DeleteFunc(b.queued, func(a *backendAttempt) bool { return a.replies == replies })
}

// crash ends the backend under overload. The lock is held.
func (b *Backend) crash() {
	b.stats.Crashed = true
	b.abandonAll()
	b.connections.close()
}

// abandonAll drops all work, for good. The lock is held.
func (b *Backend) abandonAll() {
	for _, attempt := range slices.Concat(b.inService.TakeAll(), b.queued) {
		close(attempt.reply)
	}
	b.queued = nil
	b.stopped = true
	if b.timer != nil {
		b.timer.Stop()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
