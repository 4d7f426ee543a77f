package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"lemontack/internal/listener"
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
	requestsRead      requestCount = iota // whole and well formed
	requestsExpired                       // had no time left when they were read
	requestsRejected                      // refused by the network code: no place, shutdown, a connection that is closing
	requestsDuplicate                     // their id was taken
	requestsRefused                       // by the decision module
	requestsFailed                        // by the decision module
	requestsServed
	requestsCutOff    // left unanswered by the module until their time was up
	requestsAbandoned // their client left before the answer
	requestsLate      // answered after the client's time
)

func newRequestCounters() *telemetry.Counters[requestCount] {
	return telemetry.NewCounters[requestCount]("read", "expired", "rejected", "duplicate_id", "refused", "failed", "served",
		"cut_off", "abandoned", "late")
}

// observer is the log and the counters of one ingress. The counters are written to the log every countersEvery and at the end;
// single steps of requests and connections are records of level debug.
type observer struct {
	log        *slog.Logger
	tracing    bool // records of level debug are written
	requests   *telemetry.Counters[requestCount]
	clients    *listener.Counters
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
		requests: newRequestCounters(), clients: listener.NewCounters(),
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
		if now := o.requests.Total() + o.clients.Faults.Total() + o.clients.Closes.Total(); now != before {
			before = now
			o.writeCounters("counters")
		}
	}
}

func (o *observer) writeCounters(text string) {
	o.log.Info(text, "requests", o.requests, "attempts", o.outcomes, "faults", o.clients.Faults, "closes", o.clients.Closes,
		"stalls", o.stalls.Load(), "violations", o.violations)
}

// processStalled counts and logs that the process did not run for a while.
func (o *observer) processStalled(gap time.Duration) {
	o.stalls.Add(1)
	if ok, _ := o.anomalies.Allow(time.Now()); ok {
		o.log.Warn("process stalled", "duration", gap)
	}
}

// requestRejected counts and traces a request that the network code rejects.
func (o *observer) requestRejected(r *listener.Request, reason string) {
	o.requests.Add(requestsRejected)
	if o.tracing {
		o.log.Debug("request rejected", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "reason", reason)
	}
}

// requestEnded counts and traces the end of a request.
func (o *observer) requestEnded(r *request, how requestCount) {
	o.requests.Add(how)
	if o.tracing {
		o.log.Debug("request ends", "request_id", r.ExternalIDString(), "client", r.RemoteAddr(), "how", o.requests.Name(how), "attempts", r.attempts)
	}
}

// attemptBegins traces the beginning of an attempt.
func (o *observer) attemptBegins(a *attempt) {
	if o.tracing {
		o.log.Debug("attempt begins", "request_id", a.req.ExternalIDString(), "number", a.n, "server", a.be.ID, "left", a.stop-a.began)
	}
}

// attemptEnded counts and traces the end of an attempt.
func (o *observer) attemptEnded(a *attempt, took time.Duration) {
	o.outcomes.Add(a.outcome)
	if o.tracing {
		o.log.Debug("attempt ends", "request_id", a.req.ExternalIDString(), "number", a.n, "server", a.be.ID, "outcome", a.outcome, "took", took)
	}
}

// anomaly writes what is known of a request with which something went wrong.
func (o *observer) anomaly(r *request, text string, now time.Duration) {
	ok, suppressed := o.anomalies.Allow(time.Now())
	if !ok {
		return
	}
	attrs := []any{"request", describe(r.Request, now), "attempts", r.attempts}
	if suppressed > 0 {
		attrs = append(attrs, "suppressed before", suppressed)
	}
	o.log.Warn(text, attrs...)
}

// String tells of an attempt for the log.
func (a *attempt) String() string {
	state := "out"
	switch {
	case a.ended:
		state = a.outcome.String()
	case a.conn == nil:
		state = "waits for a connection"
	}
	return fmt.Sprintf("%s +%v %s", a.be.ID, (a.began - a.req.ReadAt).Round(time.Millisecond), state)
}
