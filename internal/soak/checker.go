package soak

import "time"

// Limits that the protocol sets for an ingress, and tolerances of the checks.
const (
	maxReplyDelay          = 500 * time.Millisecond // time from the client's deadline to the reply
	maxSendAfterDisconnect = 100 * time.Millisecond // time from the client's disconnect to the start of an attempt
	maxSendAfterDrain      = time.Second            // time from the notification of a drain to the start of an attempt
	maxDeadlineExtension   = 150 * time.Millisecond // excess of the time left in a command over that of the client
	maxStall               = 150 * time.Millisecond // longest pause of an ingress that the protocol tolerates
	measurementError       = 50 * time.Millisecond  // error of times that are measured on sockets
	closeRaceWindow        = 250 * time.Millisecond // maximum age of a request that may get no reply if its connection is closed
)

// checker checks the observations against the rules of the protocol. It is safe for concurrent use.
type checker struct {
	checkTiming bool // whether to check the rules that depend on time
	history     *history
	violations  *violationLog
	stalls      *stallDetector
	disruptions *disruptions
}

func newChecker(checkTiming bool) *checker {
	return &checker{checkTiming: checkTiming, history: newHistory(), violations: &violationLog{startedAt: time.Now()},
		stalls: newStallDetector(), disruptions: &disruptions{}}
}

// recordReply records the final reply to a request and checks its content.
func (c *checker) recordReply(r *request, prevReplyAt time.Time, kind ReplyKind, text string) {
	at := c.history.recordReply(r, prevReplyAt, kind)
	switch {
	case kind == ReplyInvalid:
		c.violations.recordForRequest(WrongReply, r.ingress, r.id, at, "%q", text)
	case kind == ReplyValue && text != valueOf(r.id):
		c.violations.recordForRequest(WrongReply, r.ingress, r.id, at, "got the value %q, want that of the request", text)
	}
}

// recordAttempt records an attempt at a backend and checks whether the ingress was allowed to start it at that time.
// drainingSince is the time at which the backend began to drain; zero means that it does not drain.
func (c *checker) recordAttempt(id uint64, a attempt, drainingSince time.Time, backend int) {
	r, ok := c.history.recordAttempt(id, a)
	if !ok {
		c.violations.recordForRequest(WrongReply, noIngress, id, a.startedAt,
			"backend %d received a request that no client sent", backend)
		return
	}
	if !c.checkTiming || !a.undelayed {
		return
	}
	tolerance := maxStall + measurementError + c.stalls.pausedTime(r.ingress, a.startedAt.Add(-delaySettleTime), time.Now())
	if !r.disconnectedAt.IsZero() && a.startedAt.Sub(r.disconnectedAt) > maxSendAfterDisconnect+tolerance {
		c.violations.recordForRequest(SentAfterDisconnect, r.ingress, id, a.startedAt,
			"%v after the client disconnected", a.startedAt.Sub(r.disconnectedAt))
	}
	timeLeft := r.timeout - a.startedAt.Sub(r.sentAt)
	if excess := a.timeLeft - timeLeft; excess > maxDeadlineExtension+tolerance {
		c.violations.recordForRequest(DeadlineExtended, r.ingress, id, a.startedAt,
			"the command allows %v, %v more than the client has left", a.timeLeft, excess)
	}
	if drainingSince.IsZero() {
		return
	}
	if delay := a.startedAt.Sub(c.disruptions.notificationDeadline(r.ingress, drainingSince)); delay > maxSendAfterDrain+tolerance {
		c.violations.recordForRequest(SentToDraining, r.ingress, id, a.startedAt,
			"%v after the notification that backend %d drains", delay, backend)
	}
}

// checkHistory checks every request after the run.
func (c *checker) checkHistory() {
	for _, r := range c.history.snapshot() {
		c.checkReply(&r)
		c.checkAttempts(&r)
	}
}

// checkReply checks that a request got its reply in time or needs no reply.
func (c *checker) checkReply(r *request) {
	switch {
	case !r.repliedAt.IsZero():
		c.checkReplyTime(r)
	case !r.disconnectedAt.IsZero(), r.exemption != "":
	case !r.closedAt.IsZero() && len(r.attempts) > 0:
		c.violations.recordForRequest(NoReply, r.ingress, r.id, r.closedAt,
			"the ingress forwarded the request and closed the connection without a reply")
	case !r.closedAt.IsZero():
		age := r.closedAt.Sub(r.sentAt)
		if c.checkTiming && age > closeRaceWindow+c.stalls.pausedTime(r.ingress, r.sentAt, r.closedAt) {
			c.violations.recordForRequest(NoReply, r.ingress, r.id, r.closedAt,
				"the ingress closed the connection without a reply %v after the request was sent", age)
		}
	default:
		c.violations.recordForRequest(NoReply, r.ingress, r.id, r.sentAt, "no reply to a request with a timeout of %v", r.timeout)
	}
}

func (c *checker) checkReplyTime(r *request) {
	due := r.sentAt.Add(r.timeout)
	if r.prevReplyAt.After(due) { // replies are sent in the order of the commands
		due = r.prevReplyAt
	}
	delay := r.repliedAt.Sub(due)
	if c.checkTiming && delay > maxReplyDelay+measurementError+c.stalls.pausedTime(r.ingress, r.sentAt, r.repliedAt) {
		c.violations.recordForRequest(LateReply, r.ingress, r.id, r.repliedAt, "%v late, with a timeout of %v", delay, r.timeout)
	}
}

// checkAttempts checks that a request was repeated only as the idempotency of its class allows.
func (c *checker) checkAttempts(r *request) {
	n := len(r.attempts)
	if n == 0 {
		return
	}
	first, last := r.attempts[0], r.attempts[n-1]
	switch r.class.idempotency {
	case nonIdempotent:
		if n > 1 {
			c.violations.recordForRequest(ExecutedTwice, r.ingress, r.id, last.startedAt, "%d attempts reached backends", n)
		}
		if r.replyKind == ReplyBusy {
			c.violations.recordForRequest(RejectedAfterExecution, r.ingress, r.id, r.repliedAt,
				"rejected after %d attempts reached backends", n)
		}
	case idempotencyKey:
		span := last.startedAt.Sub(first.startedAt)
		tolerance := maxStall + c.stalls.pausedTime(r.ingress, first.startedAt, last.startedAt)
		if c.checkTiming && last.undelayed && n > 1 && span > deduplicationWindow+tolerance {
			c.violations.recordForRequest(ExecutedTwice, r.ingress, r.id, last.startedAt,
				"the last attempt began %v after the first, which exceeds the deduplication window", span)
		}
	}
}
