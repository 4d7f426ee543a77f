package ingress

import (
	"fmt"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/telemetry"
)

// requestCounter identifies a counter of requests: those read, and their results.
type requestCounter int

const (
	requestsRead      requestCounter = iota // complete and well formed
	requestsExpired                         // deadline passed before admission
	requestsRejected                        // rejected by the network code; see listener.Observer and Gateway.admit
	requestsDuplicate                       // external ID already in use
	requestsRejectedByPolicy
	requestsFailed // failed by the policy
	requestsServed
	requestsOverdue   // not answered by the policy before the deadline
	requestsAbandoned // client disconnected before the answer
	requestsLate      // answered after the client's deadline
)

func newRequestCounters() *telemetry.Counters[requestCounter] {
	return telemetry.NewCounters[requestCounter]("read", "expired", "rejected", "duplicate_id", "rejected_by_policy", "failed",
		"served", "overdue", "abandoned", "late")
}

// requestRejected counts and logs a request that the network code rejects.
func (o *observer) requestRejected(r *listener.Request, reason string) {
	o.requests.Add(requestsRejected)
	if o.debugEnabled {
		o.log.Debug("request rejected", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "reason", reason)
	}
}

// requestEnded counts and logs the end of a request.
func (o *observer) requestEnded(r *request, result requestCounter) {
	o.requests.Add(result)
	if o.debugEnabled {
		o.log.Debug("request ended", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "result",
			o.requests.Name(result), "attempts", r.attempts)
	}
}

func (o *observer) attemptStarted(a *attempt) {
	if o.debugEnabled {
		o.log.Debug("attempt started", "request_id", a.request.ExternalIDString(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"time_left", a.deadline-a.startedAt)
	}
}

// attemptEnded counts and logs the end of an attempt.
func (o *observer) attemptEnded(a *attempt, latency time.Duration) {
	o.attemptOutcomes.Add(a.outcome)
	if o.debugEnabled {
		o.log.Debug("attempt ended", "request_id", a.request.ExternalIDString(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"outcome", a.outcome, "latency", latency)
	}
}

// logRequestWarning logs a warning with the details of a request. logLimiter limits the rate.
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

// String returns the endpoint, the start relative to the time the request was read, and the state of an attempt, for the log.
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
