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
func (o *observer) violated(which rule, r *listener.Request, now time.Duration, cause string) {
	o.violations.Add(which)
	if ok, _ := o.anomalies.Allow(time.Now()); !ok {
		return
	}
	o.log.Error("rule broken", "rule", o.violations.Name(which), "cause", cause, "request", describe(r, now))
}

// describe is what is known of a request, for the log.
func describe(r *listener.Request, now time.Duration) slog.Value {
	return slog.GroupValue(slog.String("id", r.ExternalIDString()), slog.String("client", r.RemoteAddr()),
		slog.String("class", r.Class), slog.String("customer", r.Customer), slog.Duration("age", now-r.ReadAt),
		slog.Duration("time", r.GiveUpAt-r.ReadAt))
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

// mayBegin is the guard before each attempt: when the module sends it, and again when it is handed to a connection. It
// returns nil, or one of the reasons above.
func (g *Gateway) mayBegin(a *attempt) error {
	r := a.req
	switch {
	case r == nil: // a probe
		return nil
	case r.final:
		return errOver
	case r.ClientGone():
		return errLeft
	case a.stop <= g.now:
		return errNoTime
	case a.n >= g.mostTries:
		return errTooMany
	case a.be.State != policy.Serving:
		return errNotRunning
	}
	return g.mayRepeat(a)
}

// mayRepeat checks an attempt against those before it that are out or may have run.
func (g *Gateway) mayRepeat(a *attempt) error {
	class := g.classes[a.req.Class]
	for _, b := range a.req.attempts {
		if b == a || b.ended && b.outcome.NotExecuted() {
			continue
		}
		switch {
		case !b.ended && !g.cfg.Settings.Hedging:
			return errParallel
		case class.Idempotency == policy.Idempotent:
		case class.Idempotency == policy.NonIdempotent || !class.DeduplicationScope.Shares(a.be.Endpoint, b.be.Endpoint):
			return errRepeat
		case g.now+stall.MaxStall >= b.began+class.DeduplicationWindow:
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

// begins asks the guard. Where it denies, the attempt ends as one that was never sent.
func (g *Gateway) begins(a *attempt) bool {
	reason := g.mayBegin(a)
	if reason == nil {
		return true
	}
	if which, fault := isFault(reason); fault {
		g.observe.violated(which, a.req.Request, g.now, reason.Error())
	}
	if errors.Is(reason, errLeft) {
		g.abandon(a.req)
	}
	g.end(a, policy.NotSent, reply{})
	return false
}

// checkBegun checks an attempt against the rules as its first byte is about to be written, on the goroutine of its connection.
// told is the time that the command tells the backend.
func (g *Gateway) checkBegun(a *attempt, told time.Duration) {
	r := a.req
	if r == nil || r.Released() {
		return
	}
	now := g.clock(time.Now())
	if left := r.ClientGoneAt(); left != 0 && now-left > leftMost {
		g.observe.violated(ruleClientLeft, r.Request, now, "it left "+(now-left).String()+" before")
	}
	if ended := time.Duration(a.be.endedAt.Load()); ended != 0 && now-ended > drainMost {
		g.observe.violated(ruleDrain, r.Request, now, "it was told "+(now-ended).String()+" before")
	}
	if told > max(r.GiveUpAt-now, 0)+stall.MaxStall {
		g.observe.violated(ruleDeadline, r.Request, now, "told "+told.String())
	}
}
