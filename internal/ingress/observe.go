package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"lemontack/internal/telemetry"
	"lemontack/policy"
)

const (
	countersEvery    = 10 * time.Second // between two records of the counters
	anomaliesPerSpan = 20               // records of single requests in anomalySpan
	anomalySpan      = time.Second
)

// requestCount numbers the counters of what became of clients' requests.
type requestCount int

const (
	requestsRead       requestCount = iota // whole and well formed
	requestsExpired                        // had no time left when they were read
	requestsTurnedAway                     // refused by the network code: no place, shutdown, a connection that is closing
	requestsDuplicate                      // their id was taken
	requestsRefused                        // by the decision module
	requestsFailed                         // by the decision module
	requestsServed
	requestsCutOff    // left unanswered by the module until their time was up
	requestsAbandoned // their client left before the answer
	requestsLate      // answered after the client's time
)

func newRequestCounters() *telemetry.Counters[requestCount] {
	return telemetry.NewCounters[requestCount]("read", "expired", "turned_away", "duplicate_id", "refused", "failed", "served",
		"cut_off", "abandoned", "late")
}

// faultKind numbers the kinds of input that no client should send.
type faultKind int

const (
	faultFraming    faultKind = iota // bytes that are no RESP
	faultTooLong                     // longer than the protocol allows
	faultMemory                      // no memory for it now
	faultUnfinished                  // a command that does not end in its time
	faultCommand                     // an unknown command, or none
	faultRequest                     // a request with malformed or impossible fields
	faultDuplicate                   // the id of an open request
	faultFlood                       // too many commands at once
)

func newFaultCounters() *telemetry.Counters[faultKind] {
	return telemetry.NewCounters[faultKind]("framing", "too_long", "memory", "unfinished", "command", "request", "duplicate_id",
		"flood")
}

// closeReason numbers the reasons for which the ingress, or the client, ended a client's connection.
type closeReason int

const (
	closeByClient  closeReason = iota // it left, or its connection broke
	closeIdle                         // nothing was asked for too long
	closeForRoom                      // a new connection needs its place
	closeForFaults                    // too much nonsense, or the framing is lost
	closeShutdown                     // the ingress ends
	closeStalled                      // it does not read its answers
)

func newCloseCounters() *telemetry.Counters[closeReason] {
	return telemetry.NewCounters[closeReason]("by_client", "idle", "for_room", "for_faults", "shutdown", "stalled")
}

// observer is the log and the counters of one ingress. The counters are written to the log every countersEvery and at the end;
// single steps of requests and connections are records of level debug.
type observer struct {
	log        *slog.Logger
	tracing    bool // records of level debug are written
	requests   *telemetry.Counters[requestCount]
	faults     *telemetry.Counters[faultKind]
	closes     *telemetry.Counters[closeReason]
	outcomes   *telemetry.Counters[policy.Outcome]
	heldUp     atomic.Int64 // hold-ups of the process
	violations *telemetry.Counters[rule]
	anomalies  *telemetry.Limiter
}

func newObserver(log *slog.Logger) *observer {
	var outcomes []string
	for o := range policy.OutcomeCount {
		outcomes = append(outcomes, o.String())
	}
	return &observer{log: log, tracing: log.Enabled(context.Background(), slog.LevelDebug),
		requests: newRequestCounters(), faults: newFaultCounters(), closes: newCloseCounters(),
		violations: newViolations(),
		outcomes:   telemetry.NewCounters[policy.Outcome](outcomes...),
		anomalies:  telemetry.NewLimiter(anomaliesPerSpan, anomalySpan)}
}

// run writes the counters from time to time until ctx ends.
func (o *observer) run(ctx context.Context) {
	tick := time.NewTicker(countersEvery)
	defer tick.Stop()
	for before := int64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now := o.requests.Total() + o.faults.Total() + o.closes.Total(); now != before {
			before = now
			o.writeCounters("counters")
		}
	}
}

func (o *observer) writeCounters(text string) {
	o.log.Info(text, "requests", o.requests, "attempts", o.outcomes, "faults", o.faults, "closes", o.closes,
		"held up", o.heldUp.Load(), "violations", o.violations)
}

// connectionClosed counts and traces the end of a client's connection. Requests without an answer were abandoned by their
// client, unless the ingress broke the connection off; for one that does not read its answers nothing more can be done.
func (o *observer) connectionClosed(c *client, unanswered []*clientRequest) {
	c.mu.Lock()
	why, cut := c.why, c.cut
	c.mu.Unlock()
	o.closes.Add(why)
	if o.tracing {
		o.log.Debug("client connection ends", "client", c.remote(), "reason", o.closes.Name(why), "unanswered", len(unanswered),
			"faults", c.faults.Load())
	}
	if !cut || why == closeStalled {
		return
	}
	for _, r := range unanswered {
		o.violated(ruleFinalAnswer, r, c.f.gw.clock(time.Now()), "the connection was broken off: "+o.closes.Name(why))
	}
}

// fault counts and traces input that no client should send.
func (o *observer) fault(c *client, kind faultKind, text string, number int32) {
	o.faults.Add(kind)
	if o.tracing {
		o.log.Debug("client fault", "client", c.remote(), "kind", o.faults.Name(kind), "cause", text, "number", number)
	}
}

// wasHeldUp counts and writes that the process did not run for a while.
func (o *observer) wasHeldUp(gap time.Duration) {
	o.heldUp.Add(1)
	if ok, _ := o.anomalies.Allow(time.Now()); ok {
		o.log.Warn("the process was held up", "for", gap)
	}
}

// turnedAway counts and traces a request that the network code refuses.
func (o *observer) turnedAway(r *clientRequest, why string) {
	o.requests.Add(requestsTurnedAway)
	if o.tracing {
		o.log.Debug("request turned away", "id", r.id(), "client", r.remote(), "reason", why)
	}
}

// requestEnded counts and traces the end of a request.
func (o *observer) requestEnded(r *request, how requestCount) {
	o.requests.Add(how)
	if o.tracing {
		o.log.Debug("request ends", "id", r.id(), "client", r.remote(), "how", o.requests.Name(how), "attempts", r.attempts)
	}
}

// attemptStarted traces the start of an attempt.
func (o *observer) attemptStarted(a *attempt) {
	if o.tracing {
		o.log.Debug("attempt starts", "request_id", a.request.id(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"time_left", a.deadline-a.startedAt)
	}
}

// attemptEnded counts and traces the end of an attempt.
func (o *observer) attemptEnded(a *attempt, latency time.Duration) {
	o.outcomes.Add(a.outcome)
	if o.tracing {
		o.log.Debug("attempt ends", "request_id", a.request.id(), "attempt", a.number, "endpoint", a.endpoint.ID,
			"outcome", a.outcome, "latency", latency)
	}
}

// anomaly writes what is known of a request with which something went wrong.
func (o *observer) anomaly(r *request, text string, now time.Duration) {
	ok, suppressed := o.anomalies.Allow(time.Now())
	if !ok {
		return
	}
	attrs := []any{"request", r.describe(now), "attempts", r.attempts}
	if suppressed > 0 {
		attrs = append(attrs, "suppressed before", suppressed)
	}
	o.log.Warn(text, attrs...)
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
	return fmt.Sprintf("%s +%v %s", a.endpoint.ID, (a.startedAt - a.request.readAt).Round(time.Millisecond), state)
}
