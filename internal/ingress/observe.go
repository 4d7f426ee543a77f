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
	// countersInterval is the time between two log records of the counters: short enough to show a trend, and long enough to keep
	// the log short.
	countersInterval = 10 * time.Second

	// maxLogRecordsPerPeriod is the maximum number of log records on single requests, stalls and accept errors in each
	// logLimitPeriod, because a fault may affect all requests.
	maxLogRecordsPerPeriod = 20
	logLimitPeriod         = time.Second
)

// observer holds the log and the counters of one ingress. The counters are logged every countersInterval if they have
// changed, and at shutdown. Events of single requests and attempts are logged at level debug.
type observer struct {
	log             *slog.Logger
	debugEnabled    bool // whether the log writes records of level debug
	requests        *telemetry.Counters[requestCounter]
	clients         *listener.Counters // faults and closes of client connections
	attemptOutcomes *telemetry.Counters[policy.Outcome]
	stalls          atomic.Int64 // number of stalls of the process
	unsolicited     atomic.Int64 // number of connections closed because their endpoint sent input that belongs to no command
	violations      *telemetry.Counters[invariant]
	logLimiter      *telemetry.LogLimiter // limits warnings and errors on single requests, stalls and accept errors
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
		logLimiter:      telemetry.NewLogLimiter(maxLogRecordsPerPeriod, logLimitPeriod)}
}

// logCountersPeriodically logs the counters every countersInterval until ctx is cancelled. It skips intervals without a change.
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
		"stalls", o.stalls.Load(), "unsolicited", o.unsolicited.Load(), "violations", o.violations)
}

// unsolicitedInput counts and logs a connection that was closed because its endpoint sent input that belongs to no command.
func (o *observer) unsolicitedInput(endpoint policy.EndpointID) {
	o.unsolicited.Add(1)
	if o.debugEnabled {
		o.log.Debug("endpoint sent unsolicited input", "endpoint", endpoint)
	}
}

// processStalled counts and logs a stall of the process.
func (o *observer) processStalled(duration time.Duration) {
	o.stalls.Add(1)
	if ok, _ := o.logLimiter.Allow(time.Now()); ok {
		o.log.Warn("process stalled", "duration", duration)
	}
}
