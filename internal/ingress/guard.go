package ingress

import (
	"errors"
	"log/slog"
	"time"

	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// rule numbers the rules that the program checks while it runs. A count other than 0 is a fault of the program.
type rule int

const (
	ruleFinalAnswer rule = iota // a request that was read gets its final answer
	ruleOneAnswer               // and only one
	ruleInTime                  // at the latest lateMost after its client's time
	ruleBegin                   // attempts begin only for a request that is open, within the number and copies allowed
	ruleRepeat                  // what may have run is repeated only where its class allows it
	ruleClientLeft              // no attempt begins leftMost after its client left
	ruleDrain                   // none begins drainMost after its backend was told to drain
	ruleDeadline                // none tells its backend more time than its client has left
)

const (
	lateMost  = 500 * time.Millisecond
	leftMost  = 100 * time.Millisecond
	drainMost = time.Second
)

func newViolations() *telemetry.Counters[rule] {
	return telemetry.NewCounters[rule]("final_answer", "one_answer", "in_time", "begin", "repeat", "client_left", "drain",
		"deadline")
}

// violated counts a broken rule and writes what is known of the request.
func (o *observer) violated(which rule, r *clientRequest, now time.Duration, cause string) {
	o.violations.Add(which)
	if ok, _ := o.anomalies.Allow(time.Now()); !ok {
		return
	}
	o.log.Error("rule broken", "rule", o.violations.Name(which), "cause", cause, "request", r.describe(now))
}

// describe is what is known of a request, for the log.
func (r *clientRequest) describe(now time.Duration) slog.Value {
	return slog.GroupValue(slog.String("id", r.id()), slog.String("client", r.remote()), slog.String("class", r.Class),
		slog.String("customer", r.Customer), slog.Duration("age", now-r.readAt), slog.Duration("time", r.until-r.readAt))
}

// Reasons for which an attempt may not begin now. Those of the first group come up in good order, where an event crosses the
// module's decision; those of the second would be faults of the module.
var (
	errOver       = errors.New("the request is over")
	errLeft       = errors.New("the client has left")
	errNoTime     = errors.New("no time is left")
	errNotRunning = errors.New("the backend drains or is gone")
	errWindow     = errors.New("the window for repeats is over")

	errTooMany  = errors.New("the request has had all its attempts")
	errParallel = errors.New("another attempt is out, and copies are not allowed")
	errRepeat   = errors.New("an earlier attempt may have run")
)

// checkStart returns nil, or one of the reasons above. It is asked when the policy sends an attempt, and again when the attempt
// is given to a connection.
func (a *attempt) checkStart() error {
	g, r := a.gateway, a.request
	switch {
	case r.final:
		return errOver
	case r.left():
		return errLeft
	case a.deadline <= g.now:
		return errNoTime
	case a.number >= g.mostTries:
		return errTooMany
	case a.endpoint.State != policy.Serving:
		return errNotRunning
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
			return errParallel
		case class.Idempotency == policy.Idempotent:
		case class.Idempotency == policy.NonIdempotent:
			return errRepeat
		case !class.DeduplicationScope.Shares(a.endpoint.Endpoint, earlier.endpoint.Endpoint):
			return errRepeat
		case g.now+heldUpMost >= earlier.startedAt+class.DeduplicationWindow:
			return errWindow
		}
	}
	return nil
}

// isFault says whether a reason is a fault of the module, and which rule it would break.
func isFault(reason error) (rule, bool) {
	switch {
	case errors.Is(reason, errTooMany), errors.Is(reason, errParallel):
		return ruleBegin, true
	case errors.Is(reason, errRepeat):
		return ruleRepeat, true
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
	if which, fault := isFault(reason); fault {
		g.observe.violated(which, a.request.clientRequest, g.now, reason.Error())
	}
	if errors.Is(reason, errLeft) {
		g.abandon(a.request)
	}
	return false
}

// BeforeFirstByte implements upstream.Command: it checks the attempt against the rules on the goroutine of its connection.
func (a *attempt) BeforeFirstByte(timeLimit time.Duration) {
	g, r := a.gateway, a.request
	if r.slot == nil {
		return
	}
	now := g.clock(time.Now())
	if left := r.leftAt(); left != 0 && now-left > leftMost {
		g.observe.violated(ruleClientLeft, r.clientRequest, now, "it left "+(now-left).String()+" before")
	}
	if stopped := a.endpoint.StoppedAt(); stopped != 0 && now-stopped > drainMost {
		g.observe.violated(ruleDrain, r.clientRequest, now, "it was told "+(now-stopped).String()+" before")
	}
	if timeLimit > max(r.until-now, 0)+heldUpMost {
		g.observe.violated(ruleDeadline, r.clientRequest, now, "told "+timeLimit.String())
	}
}
