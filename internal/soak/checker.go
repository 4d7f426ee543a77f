package soak

import "time"

// What the protocol allows an ingress, and what a measurement from the outside may be off.
const (
	maxReplyDelay          = 500 * time.Millisecond // of a reply after the client's deadline
	maxSendAfterDisconnect = 100 * time.Millisecond // of an attempt's beginning after the client closed its connection
	maxSendAfterDrain      = time.Second            // of an attempt's beginning after the backend was reported as draining
	maxDeadlineExtension   = 150 * time.Millisecond // of the time left that a backend is told, over what the client has
	maxStall               = 150 * time.Millisecond // for which the protocol lets a machine not run an ingress
	measurementError       = 50 * time.Millisecond  // that the protocol grants to what is measured on sockets
	closeRaceWindow        = 250 * time.Millisecond // for which a request may be under way when its connection is closed
)

// checker checks what is observed against the rules of the protocol. It is safe for concurrent use.
type checker struct {
	checkTiming bool // also check the rules that depend on times
	history     *history
	violations  *violationLog
	stalls      *stallDetector
	disruptions *disruptions
}

func newChecker(checkTiming bool) *checker {
	return &checker{checkTiming: checkTiming, history: newHistory(), violations: &violationLog{startedAt: time.Now()},
		stalls: newStallDetector(), disruptions: &disruptions{}}
}

// recordReply records a request's final reply and checks what it says.
func (c *checker) recordReply(r *request, prevReplyAt time.Time, kind ReplyKind, text string) {
	at := c.history.recordReply(r, prevReplyAt, kind)
	switch {
	case kind == ReplyInvalid:
		c.violations.recordForRequest(WrongReply, r.ingress, r.id, at, "%q", text)
	case kind == ReplyValue && text != valueOf(r.id):
		c.violations.recordForRequest(WrongReply, r.ingress, r.id, at, "the value is %q", text)
	}
}

// recordAttempt records an attempt at a backend and checks whether it was allowed to begin then. drainingSince is when the
// backend began to drain; zero: it does not.
func (c *checker) recordAttempt(id uint64, a attempt, drainingSince time.Time, backend int) {
	r, ok := c.history.recordAttempt(id, a)
	if !ok {
		c.violations.recordForRequest(WrongReply, noIngress, id, a.startedAt, "a request that no client sent is at backend %d", backend)
		return
	}
	if !c.checkTiming || !a.undelayed {
		return
	}
	tolerance := maxStall + measurementError + c.stalls.pausedTime(r.ingress, a.startedAt.Add(-delaySettleTime), time.Now())
	if !r.disconnectedAt.IsZero() && a.startedAt.Sub(r.disconnectedAt) > maxSendAfterDisconnect+tolerance {
		c.violations.recordForRequest(SentAfterDisconnect, r.ingress, id, a.startedAt, "%v after", a.startedAt.Sub(r.disconnectedAt))
	}
	timeLeft := r.timeout - a.startedAt.Sub(r.sentAt)
	if excess := a.timeLeft - timeLeft; excess > maxDeadlineExtension+tolerance {
		c.violations.recordForRequest(DeadlineExtended, r.ingress, id, a.startedAt, "told %v, which is %v too much", a.timeLeft, excess)
	}
	if drainingSince.IsZero() {
		return
	}
	if delay := a.startedAt.Sub(c.disruptions.notificationDeadline(r.ingress, drainingSince)); delay > maxSendAfterDrain+tolerance {
		c.violations.recordForRequest(SentToDraining, r.ingress, id, a.startedAt, "%v after the notification, backend %d", delay, backend)
	}
}

// checkHistory checks every request once the run is over.
func (c *checker) checkHistory() {
	for _, r := range c.history.snapshot() {
		c.checkReply(&r)
		c.checkAttempts(&r)
	}
}

// checkReply checks that a request got its reply in time, or needs none.
func (c *checker) checkReply(r *request) {
	switch {
	case !r.repliedAt.IsZero():
		c.checkReplyTime(r)
	case !r.disconnectedAt.IsZero(), r.exemption != "":
	case !r.closedAt.IsZero() && len(r.attempts) > 0:
		c.violations.recordForRequest(NoReply, r.ingress, r.id, r.closedAt, "forwarded, and its connection was closed without a reply")
	case !r.closedAt.IsZero():
		age := r.closedAt.Sub(r.sentAt)
		if c.checkTiming && age > closeRaceWindow+c.stalls.pausedTime(r.ingress, r.sentAt, r.closedAt) {
			c.violations.recordForRequest(NoReply, r.ingress, r.id, r.closedAt, "its connection was closed without a reply %v after it was sent", age)
		}
	default:
		c.violations.recordForRequest(NoReply, r.ingress, r.id, r.sentAt, "sent with a timeout of %v, never answered", r.timeout)
	}
}

func (c *checker) checkReplyTime(r *request) {
	due := r.sentAt.Add(r.timeout)
	if r.prevReplyAt.After(due) { // replies come in the order of the commands
		due = r.prevReplyAt
	}
	delay := r.repliedAt.Sub(due)
	if c.checkTiming && delay > maxReplyDelay+measurementError+c.stalls.pausedTime(r.ingress, r.sentAt, r.repliedAt) {
		c.violations.recordForRequest(LateReply, r.ingress, r.id, r.repliedAt, "%v after its timeout of %v", delay, r.timeout)
	}
}

// checkAttempts checks that a request was repeated only as its class allows.
func (c *checker) checkAttempts(r *request) {
	n := len(r.attempts)
	if n == 0 {
		return
	}
	first, last := r.attempts[0], r.attempts[n-1]
	switch r.class.idempotency {
	case nonIdempotent:
		if n > 1 {
			c.violations.recordForRequest(ExecutedTwice, r.ingress, r.id, last.startedAt, "%d times", n)
		}
		if r.reply == ReplyBusy {
			c.violations.recordForRequest(RejectedAfterExecution, r.ingress, r.id, r.repliedAt, "after %d attempts", n)
		}
	case idempotencyKey:
		span := last.startedAt.Sub(first.startedAt)
		tolerance := maxStall + c.stalls.pausedTime(r.ingress, first.startedAt, last.startedAt)
		if c.checkTiming && last.undelayed && n > 1 && span > deduplicationWindow+tolerance {
			c.violations.recordForRequest(ExecutedTwice, r.ingress, r.id, last.startedAt, "%v after the first, beyond the window", span)
		}
	}
}
