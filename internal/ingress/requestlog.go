package ingress

import (
	"fmt"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/telemetry"
)

// requestCounter numbers the counters of what became of clients' requests.
type requestCounter int

const (
	requestsRead      requestCounter = iota // whole and well formed
	requestsExpired                         // had no time left when they were read
	requestsRejected                        // by the network code: no capacity, shutdown, a connection that is closing
	requestsDuplicate                       // their id was taken
	requestsRejectedByPolicy
	requestsFailed // by the policy
	requestsServed
	requestsOverdue   // left unanswered by the policy until their deadline
	requestsAbandoned // their client left before the answer
	requestsLate      // answered after the client's deadline
)

func newRequestCounters() *telemetry.Counters[requestCounter] {
	return telemetry.NewCounters[requestCounter]("read", "expired", "rejected", "duplicate_id", "rejected_by_policy", "failed",
		"served", "overdue", "abandoned", "late")
}

// requestRejected counts and traces a request that the network code rejects.
func (o *observer) requestRejected(r *listener.Request, reason string) {
	o.requests.Add(requestsRejected)
	if o.debugEnabled {
		o.log.Debug("request rejected", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "reason", reason)
	}
}

// requestEnded counts and traces the end of a request.
func (o *observer) requestEnded(r *request, result requestCounter) {
	o.requests.Add(result)
	if o.debugEnabled {
		o.log.Debug("request ends", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "result", o.requests.Name(result),
			"attempts", r.attempts)
	}
}

// attemptStarted traces the start of an attempt.
func (o *observer) attemptStarted(a *attempt) {
	if o.debugEnabled {
		o.log.Debug("attempt starts", "request_id", a.request.ExternalIDString(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"time_left", a.deadline-a.startedAt)
	}
}

// attemptEnded counts and traces the end of an attempt.
func (o *observer) attemptEnded(a *attempt, latency time.Duration) {
	o.attemptOutcomes.Add(a.outcome)
	if o.debugEnabled {
		o.log.Debug("attempt ends", "request_id", a.request.ExternalIDString(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"outcome", a.outcome, "latency", latency)
	}
}

// logRequestWarning logs what is known of a request with which something went wrong.
func (o *observer) logRequestWarning(r *request, message string, now time.Duration) {
	ok, suppressed := o.logLimiter.Allow(time.Now())
	if !ok {
		return
	}
	attrs := []any{"request", describe(r.Request, now), "attempts", r.attempts}
	if suppressed > 0 {
		attrs = append(attrs, "suppressed", suppressed)
	}
	o.log.Warn(message, attrs...)
}

// String describes an attempt for the log.
func (a *attempt) String() string {
	state := "open"
	switch {
	case a.ended:
		state = a.outcome.String()
	case a.WaitsForConnection():
		state = "waiting for a connection"
	}
	return fmt.Sprintf("%s +%v %s", a.endpoint.ID, (a.startedAt - a.request.ReadAt).Round(time.Millisecond), state)
}
