package ingress

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lemontack/internal/listener"
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

// observer is the log and the counters of one ingress. The counters are written to the log every countersInterval and at the end;
// single steps of requests and connections are records of level debug.
type observer struct {
	log        *slog.Logger
	tracing    bool // records of level debug are written
	requests   *telemetry.Counters[requestCount]
	clients    *listener.Counters
	outcomes   *telemetry.Counters[policy.Outcome]
	stalls     atomic.Int64 // of the process
	violations *telemetry.Counters[invariant]
	anomalies  *telemetry.LogLimiter
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
		anomalies:  telemetry.NewLogLimiter(maxAnomaliesPerPeriod, anomalyPeriod)}
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
func (o *observer) processStalled(duration time.Duration) {
	o.stalls.Add(1)
	if ok, _ := o.anomalies.Allow(time.Now()); ok {
		o.log.Warn("process stalled", "duration", duration)
	}
}
