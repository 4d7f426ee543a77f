package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings configure a gateway. They are set once, when it is created.
type Settings struct {
	// GatewayIndex is the index of this gateway among all gateways, from 0.
	GatewayIndex int
	// GatewayCount is the number of gateways, including this one.
	GatewayCount int
	// Zone is the zone of this gateway.
	Zone string
	// Classes are the classes of requests.
	Classes []Class
	// Plans are the plans of customers.
	Plans []Plan
	// MaxUnits is the number of units of the largest request.
	MaxUnits float64
	// MaxAttempts is the largest number of attempts of a request; less than 1 means 1.
	MaxAttempts int
	// MaxRetryAfter is the upper limit of Reject.RetryAfter.
	MaxRetryAfter time.Duration
	// MayCancel allows Cancel actions.
	MayCancel bool
	// MayCheckHealth allows CheckHealth actions. No decision uses it.
	MayCheckHealth bool
	// HedgingEnabled allows two attempts of a request to be in flight at once.
	HedgingEnabled bool
	// HasSharedCounter allows IncrementCounter actions.
	HasSharedCounter bool
	// CounterTimeout is the time after which a call of the shared counter without a reply times out; less
	// than 1 ms means 1 ms.
	CounterTimeout time.Duration
	// PollEndpoints makes the gateway subscribe to the endpoint list with WatchEndpoints. Otherwise the
	// list is pushed to it.
	PollEndpoints bool
	// CrossZonePrice is the price of an attempt at an endpoint in another zone. If it is above 0, endpoints
	// in the gateway's zone are preferred.
	CrossZonePrice float64
	// HandshakePrice is the price of a new connection to an endpoint, in requests of mean price.
	HandshakePrice float64
	// ConnectionIdleTimeout is the time after which an idle connection to an endpoint closes.
	ConnectionIdleTimeout time.Duration
	// SlowStartMinWeight is the share of its full capacity that an endpoint has at its start, 0 to 1.
	SlowStartMinWeight float64
	// SlowStartWindow is the time from its start in which an endpoint reaches its full capacity; 0 disables
	// slow start.
	SlowStartWindow time.Duration
	// SlowStartBudgetMultiple limits the attempts that all gateways together send to an endpoint in slow
	// start within SlowStartBudgetPeriod, as a multiple of the endpoint's capacity; 0 means no limit.
	SlowStartBudgetMultiple float64
	// SlowStartBudgetPeriod is the length of the period in which these attempts are counted.
	SlowStartBudgetPeriod time.Duration
	// DrainGracePeriod is the time after the gateway receives the notification that an endpoint is draining
	// or removed, within which the last attempt at the endpoint may start. No decision uses it.
	DrainGracePeriod time.Duration
	// CustomerMemory is the memory for the state of customers, in bytes; 0 means no limit. Beyond it
	// customers that are idle are forgotten before their quotas have refilled.
	CustomerMemory int
}

// validate returns an error if a gateway cannot work with the settings.
func (s *Settings) validate() error {
	if s.GatewayCount < 1 || s.GatewayIndex < 0 || s.GatewayIndex >= s.GatewayCount {
		return fmt.Errorf("policy: gateway %d of %d, want an index of at least 0 and less than the count",
			s.GatewayIndex, s.GatewayCount)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: no classes, want at least one")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf(
				"policy: class %q: latency objective %v, deadline %v, want 0 < objective <= deadline",
				c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		values := []float64{
			p.Price, p.Rate, p.Burst, float64(p.MaxConcurrency), p.CeilingRate, p.CeilingBurst,
		}
		if !(slices.Min(values) >= 0) || math.IsInf(slices.Max(values), 1) {
			return fmt.Errorf("policy: plan %q: price and limits %v, want finite numbers >= 0",
				p.Name, values)
		}
	}
	return nil
}

// setMinimums raises MaxAttempts and CounterTimeout to their lower limits.
func (s *Settings) setMinimums() {
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.CounterTimeout = max(s.CounterTimeout, minCounterTimeout)
}

// tickInterval returns the time between two ticks: the shortest latency objective divided by
// ticksPerObjective, from minTickInterval to maxTickInterval.
func (s *Settings) tickInterval() time.Duration {
	interval := maxTickInterval
	for _, c := range s.Classes {
		interval = min(interval, max(c.LatencyObjective/ticksPerObjective, minTickInterval))
	}
	return interval
}
