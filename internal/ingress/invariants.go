package ingress

import (
	"errors"
	"log/slog"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/stall"
	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// invariant identifies an invariant that is checked at run time. Every counted violation is a fault of the program.
type invariant int

const (
	invariantFinalAnswer     invariant = iota // every request that was read receives a final answer
	invariantSingleAnswer                     // every request receives at most one answer
	invariantAnswerInTime                     // every answer is at most maxAnswerDelay after the client's deadline or a later stall
	invariantStart                            // no request exceeds its maximum of attempts, or has parallel attempts without hedging
	invariantRetry                            // a command that may have been executed is retried only if its class allows it
	invariantClientConnected                  // no write later than maxSendDelayAfterDisconnect after the client disconnected
	invariantEndpointServing                  // no write later than maxSendDelayAfterDrain after the endpoint stopped serving
	invariantTimeLimit                        // no endpoint is granted more time than the client has left plus stall.MaxStall
)

// Delays that the invariants allow, because the event that forbids an action may arrive while the action is under way.
const (
	maxAnswerDelay              = 500 * time.Millisecond
	maxSendDelayAfterDisconnect = 100 * time.Millisecond
	maxSendDelayAfterDrain      = time.Second
)

// newViolations returns the counters of violated invariants. Their names appear in the log, and tools match them.
func newViolations() *telemetry.Counters[invariant] {
	return telemetry.NewCounters[invariant]("final_answer", "one_answer", "in_time", "start", "retry", "client_left", "drain",
		"deadline")
}

// reportViolation counts a violated invariant and logs it with the details of the request. It is safe for concurrent use.
func (o *observer) reportViolation(violated invariant, r *listener.Request, now time.Duration, reason string) {
	o.violations.Add(violated)
	if ok, _ := o.logLimiter.Allow(time.Now()); !ok {
		return
	}
	o.log.Error("invariant violated", "invariant", o.violations.Name(violated), "reason", reason, "request", describe(r, now))
}

func describe(r *listener.Request, now time.Duration) slog.Value {
	return slog.GroupValue(slog.String("request_id", r.ExternalIDString()), slog.String("client", r.RemoteAddr()),
		slog.String("class", r.Class), slog.String("customer", r.Customer), slog.Duration("age", now-r.ReadAt),
		slog.Duration("timeout", r.GiveUpAt-r.ReadAt))
}

// checkAnswerTime counts and logs a final answer that is given after the client's deadline. It reports a violation if the answer
// is more than maxAnswerDelay late.
func (g *Gateway) checkAnswerTime(r *request) {
	dueAt := max(r.GiveUpAt, g.startOnSharedClock+g.stalls.LastStallEnd()) // a stalled process cannot answer
	if g.now > dueAt+maxAnswerDelay {
		g.observer.reportViolation(invariantAnswerInTime, r.Request, g.now,
			"answered "+(g.now-dueAt).String()+" after the deadline")
	}
	if g.now > r.GiveUpAt && r.GiveUpAt > r.ReadAt { // a request with a timeout of zero is not counted
		g.observer.requests.Add(requestsLate)
		g.observer.logRequestWarning(r, "answered after the client's deadline", g.now)
	}
}

// Reasons for which an attempt may not start. Those of the first group are expected when an event arrives after the policy's
// decision; those of the second group are faults of the policy.
var (
	errRequestFinished     = errors.New("the request has finished")
	errClientDisconnected  = errors.New("the client has disconnected")
	errNoTimeLeft          = errors.New("the attempt's deadline has passed")
	errEndpointNotServing  = errors.New("the endpoint is draining or removed")
	errDeduplicationWindow = errors.New("the deduplication window has ended while the attempt waited")

	errRetriedTooLate  = errors.New("the deduplication window had ended when the attempt was decided")
	errTooManyAttempts = errors.New("the request has reached its maximum of attempts")
	errParallelAttempt = errors.New("another attempt is open, and hedging is off")
	errMayBeExecuted   = errors.New("an earlier attempt may have been executed")
)

// checkStart returns nil if the attempt may start, or one of the errors above. It is called when the policy sends an attempt, and
// again when an attempt that had to wait is assigned to a connection.
func (a *attempt) checkStart() error {
	g, r := a.gateway, a.request
	switch {
	case r.finished:
		return errRequestFinished
	case r.ClientDisconnected():
		return errClientDisconnected
	case a.deadline <= g.now:
		return errNoTimeLeft
	case a.number >= g.maxAttempts:
		return errTooManyAttempts
	case a.endpoint.State != policy.Serving:
		return errEndpointNotServing
	}
	return a.checkRetry()
}

// checkRetry checks an attempt against other attempts of its request that are open or may have been executed.
func (a *attempt) checkRetry() error {
	g := a.gateway
	class := g.classes[a.request.Class]
	for _, earlier := range a.request.attempts {
		if earlier == a || earlier.ended && earlier.outcome.NotExecuted() {
			continue
		}
		switch {
		case !earlier.ended && !g.cfg.Settings.HedgingEnabled:
			return errParallelAttempt
		case class.Idempotency == policy.Idempotent:
		case class.Idempotency == policy.NonIdempotent:
			return errMayBeExecuted
		case !class.DeduplicationScope.Shares(a.endpoint.Endpoint, earlier.endpoint.Endpoint):
			return errMayBeExecuted
		case a.startedAt >= earlier.startedAt+class.DeduplicationWindow:
			return errRetriedTooLate
		case g.now+stall.MaxStall >= earlier.startedAt+class.DeduplicationWindow:
			return errDeduplicationWindow
		}
	}
	return nil
}

// violatedInvariant returns the invariant that starting an attempt would violate, given the error of checkStart. It returns false
// if the error is not a fault of the policy.
func violatedInvariant(reason error) (invariant, bool) {
	switch {
	case errors.Is(reason, errTooManyAttempts), errors.Is(reason, errParallelAttempt):
		return invariantStart, true
	case errors.Is(reason, errMayBeExecuted), errors.Is(reason, errRetriedTooLate):
		return invariantRetry, true
	}
	return 0, false
}

// MayStart implements upstream.Command. It reports violated invariants, and ends the request if its client has disconnected.
func (a *attempt) MayStart() bool {
	reason := a.checkStart()
	if reason == nil {
		return true
	}
	g := a.gateway
	if violated, isViolation := violatedInvariant(reason); isViolation {
		g.observer.reportViolation(violated, a.request.Request, g.now, reason.Error())
	}
	if errors.Is(reason, errClientDisconnected) {
		g.clientDisconnected(a.request)
	}
	return false
}

// BeforeWrite implements upstream.Command. It checks, on the writing goroutine of the connection, the invariants that
// depend on the time of the write.
func (a *attempt) BeforeWrite(timeLimit time.Duration) {
	g, r := a.gateway, a.request
	if r.Released() {
		return
	}
	now := g.sharedTime(time.Now())
	if disconnectedAt := r.ClientDisconnectedAt(); disconnectedAt != 0 && now-disconnectedAt > maxSendDelayAfterDisconnect {
		g.observer.reportViolation(invariantClientConnected, r.Request, now,
			"the client disconnected "+(now-disconnectedAt).String()+" earlier")
	}
	if stoppedAt := a.endpoint.StoppedServingAt(); stoppedAt != 0 && now-stoppedAt > maxSendDelayAfterDrain {
		g.observer.reportViolation(invariantEndpointServing, r.Request, now,
			"the endpoint stopped serving "+(now-stoppedAt).String()+" earlier")
	}
	if timeLimit > max(r.GiveUpAt-now, 0)+stall.MaxStall {
		g.observer.reportViolation(invariantTimeLimit, r.Request, now,
			"time limit longer than the client's remaining time: "+timeLimit.String())
	}
}
