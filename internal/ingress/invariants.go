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

// invariant numbers the invariants that the program checks while it runs. A count other than 0 is a fault of the program.
type invariant int

const (
	invariantFinalAnswer     invariant = iota // a request that was read gets its final answer
	invariantSingleAnswer                     // and only one
	invariantAnswerInTime                     // at the latest maxAnswerDelay after its client's deadline
	invariantStart                            // attempts start only for an open request, within their number, and in parallel only with hedging
	invariantRetry                            // what may have been executed is retried only where its class allows it
	invariantClientConnected                  // no attempt starts maxStartAfterDisconnect after its client left
	invariantEndpointServing                  // none starts maxStartAfterDrain after its endpoint was told to drain
	invariantTimeLimit                        // none tells its endpoint more time than its client has left
)

// Delays that an invariant allows, for events that cross.
const (
	maxAnswerDelay              = 500 * time.Millisecond
	maxSendDelayAfterDisconnect = 100 * time.Millisecond
	maxSendDelayAfterDrain      = time.Second
)

// newViolations returns the counters of violated invariants; their names are those in the log.
func newViolations() *telemetry.Counters[invariant] {
	return telemetry.NewCounters[invariant]("final_answer", "one_answer", "in_time", "start", "retry", "client_left", "drain",
		"deadline")
}

// reportViolation counts a violated invariant and logs what is known of the request.
func (o *observer) reportViolation(violated invariant, r *listener.Request, now time.Duration, reason string) {
	o.violations.Add(violated)
	if ok, _ := o.logLimiter.Allow(time.Now()); !ok {
		return
	}
	o.log.Error("invariant violated", "invariant", o.violations.Name(violated), "reason", reason, "request", describe(r, now))
}

// describe is what is known of a request, for the log.
func describe(r *listener.Request, now time.Duration) slog.Value {
	return slog.GroupValue(slog.String("request_id", r.ExternalIDString()), slog.String("client", r.RemoteAddr()), slog.String("class", r.Class),
		slog.String("customer", r.Customer), slog.Duration("age", now-r.ReadAt), slog.Duration("timeout", r.GiveUpAt-r.ReadAt))
}

// checkAnswerTime reports a final answer that is given after the client's deadline.
func (g *Gateway) checkAnswerTime(r *request) {
	dueAt := max(r.GiveUpAt, g.startTime+g.stalls.LastEnd()) // nothing is answered while the process is stalled
	if g.now > dueAt+maxAnswerDelay {
		g.observe.reportViolation(invariantAnswerInTime, r.Request, g.now, "answered "+(g.now-dueAt).String()+" late")
	}
	if g.now > r.GiveUpAt && r.GiveUpAt > r.ReadAt { // else it was late when it came
		g.observe.requests.Add(requestsLate)
		g.observe.logRequestWarning(r, "answered after the client's deadline", g.now)
	}
}

// Reasons for which an attempt may not start now. Those of the first group come up in good order, where an event crosses the
// policy's decision; those of the second would be faults of the policy.
var (
	errRequestFinished     = errors.New("the request is over")
	errClientDisconnected  = errors.New("the client has disconnected")
	errNoTimeLeft          = errors.New("no time is left")
	errEndpointNotServing  = errors.New("the endpoint is draining or removed")
	errDeduplicationWindow = errors.New("the deduplication window is over")

	errTooManyAttempts = errors.New("the request has had all its attempts")
	errParallelAttempt = errors.New("another attempt is open, and hedging is off")
	errMayBeExecuted   = errors.New("an earlier attempt may have been executed")
)

// checkStart returns nil, or one of the reasons above. It is asked when the policy sends an attempt, and again when the attempt
// is given to a connection.
func (a *attempt) checkStart() error {
	g, r := a.gateway, a.request
	switch {
	case r.finished:
		return errRequestFinished
	case r.ClientGone():
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

// checkRetry checks an attempt against those before it that are open or may have been executed.
func (a *attempt) checkRetry() error {
	g := a.gateway
	class := g.classes[a.request.Class]
	for _, earlier := range a.request.attempts {
		if earlier == a || earlier.ended && earlier.outcome.NotExecuted() {
			continue
		}
		switch {
		case !earlier.ended && !g.cfg.Settings.Hedging:
			return errParallelAttempt
		case class.Idempotency == policy.Idempotent:
		case class.Idempotency == policy.NonIdempotent:
			return errMayBeExecuted
		case !class.DeduplicationScope.Shares(a.endpoint.Endpoint, earlier.endpoint.Endpoint):
			return errMayBeExecuted
		case g.now+stall.MaxStall >= earlier.startedAt+class.DeduplicationWindow:
			return errDeduplicationWindow
		}
	}
	return nil
}

// violatedInvariant returns the invariant that a reason for not starting would violate, and false where the reason is no fault of the policy.
func violatedInvariant(reason error) (invariant, bool) {
	switch {
	case errors.Is(reason, errTooManyAttempts), errors.Is(reason, errParallelAttempt):
		return invariantStart, true
	case errors.Is(reason, errMayBeExecuted):
		return invariantRetry, true
	}
	return 0, false
}

// MayStart implements upstream.Command. It reports what would be a fault of the policy, and ends the request of a client that
// has left.
func (a *attempt) MayStart() bool {
	reason := a.checkStart()
	if reason == nil {
		return true
	}
	g := a.gateway
	if violated, isViolation := violatedInvariant(reason); isViolation {
		g.observe.reportViolation(violated, a.request.Request, g.now, reason.Error())
	}
	if errors.Is(reason, errClientDisconnected) {
		g.clientDisconnected(a.request)
	}
	return false
}

// BeforeWrite implements upstream.Command: it checks the invariants on the goroutine of its connection.
func (a *attempt) BeforeWrite(timeLimit time.Duration) {
	g, r := a.gateway, a.request
	if r.Released() {
		return
	}
	now := g.sharedTime(time.Now())
	if disconnectedAt := r.ClientGoneAt(); disconnectedAt != 0 && now-disconnectedAt > maxSendDelayAfterDisconnect {
		g.observe.reportViolation(invariantClientConnected, r.Request, now, "the client left "+(now-disconnectedAt).String()+" before")
	}
	if stoppedAt := a.endpoint.StoppedServingAt(); stoppedAt != 0 && now-stoppedAt > maxSendDelayAfterDrain {
		g.observe.reportViolation(invariantEndpointServing, r.Request, now, "the endpoint stopped serving "+(now-stoppedAt).String()+" before")
	}
	if timeLimit > max(r.GiveUpAt-now, 0)+stall.MaxStall {
		g.observe.reportViolation(invariantTimeLimit, r.Request, now, "time limit "+timeLimit.String())
	}
}
