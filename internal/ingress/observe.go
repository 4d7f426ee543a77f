package ingress

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lemontack/internal/telemetry"
	"lemontack/policy"
)

const (
	countersInterval = 10 * time.Second // between two records of the counters: a trend shows, and the log stays short

	// maxAnomaliesPerPeriod bounds the records of single requests in anomalyPeriod: a fault that hits all requests must not
	// fill the log.
	maxAnomaliesPerPeriod = 20
	anomalyPeriod         = time.Second
)

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

// observer is the log and the counters of one ingress. The counters are written to the log every countersInterval and at the end;
// single steps of requests and connections are records of level debug.
type observer struct {
	log        *slog.Logger
	tracing    bool // records of level debug are written
	requests   *telemetry.Counters[requestCount]
	faults     *telemetry.Counters[faultKind]
	closes     *telemetry.Counters[closeReason]
	outcomes   *telemetry.Counters[policy.Outcome]
	stalls     atomic.Int64 // of the process
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
		anomalies:  telemetry.NewLimiter(maxAnomaliesPerPeriod, anomalyPeriod)}
}

// run writes the counters from time to time until ctx ends.
func (o *observer) run(ctx context.Context) {
	tick := time.NewTicker(countersInterval)
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
		"stalls", o.stalls.Load(), "violations", o.violations)
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

// processStalled counts and logs that the process did not run for a while.
func (o *observer) processStalled(duration time.Duration) {
	o.stalls.Add(1)
	if ok, _ := o.anomalies.Allow(time.Now()); ok {
		o.log.Warn("process stalled", "duration", duration)
	}
}
