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

	// maxLogRecordsPerPeriod bounds the records of single requests in anomalyPeriod: a fault that hits all requests must not
	// fill the log.
	maxLogRecordsPerPeriod = 20
	logLimitPeriod         = time.Second
)

// observer is the log and the counters of one ingress. The counters are written to the log every countersInterval and at the end;
// single steps of requests and connections are records of level debug.
type observer struct {
	log             *slog.Logger
	debugEnabled    bool // records of level debug are written
	requests        *telemetry.Counters[requestCounter]
	clients         *listener.Counters
	attemptOutcomes *telemetry.Counters[policy.Outcome]
	stalls          atomic.Int64 // of the process
	violations      *telemetry.Counters[invariant]
	logLimiter      *telemetry.Limiter
}

func newObserver(log *slog.Logger) *observer {
	var outcomes []string
	for o := range policy.OutcomeCount {
		outcomes = append(outcomes, o.String())
	}
	return &observer{log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug),
		requests: newRequestCounters(), clients: listener.NewCounters(),
		violations:      newViolations(),
		attemptOutcomes: telemetry.NewCounters[policy.Outcome](outcomes...),
		logLimiter:      telemetry.NewLimiter(maxLogRecordsPerPeriod, logLimitPeriod)}
}

// logCountersPeriodically writes the counters from time to time until ctx ends.
func (o *observer) logCountersPeriodically(ctx context.Context) {
	ticker := time.NewTicker(countersInterval)
	defer ticker.Stop()
	for lastTotal := int64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if total := o.requests.Total() + o.clients.Faults.Total() + o.clients.Closes.Total(); total != lastTotal {
			lastTotal = total
			o.logCounters("counters")
		}
	}
}

func (o *observer) logCounters(message string) {
	o.log.Info(message, "requests", o.requests, "attempts", o.attemptOutcomes, "faults", o.clients.Faults, "closes", o.clients.Closes,
		"stalls", o.stalls.Load(), "violations", o.violations)
}

// processStalled counts and logs that the process did not run for a while.
func (o *observer) processStalled(duration time.Duration) {
	o.stalls.Add(1)
	if ok, _ := o.logLimiter.Allow(time.Now()); ok {
		o.log.Warn("process stalled", "duration", duration)
	}
}
