package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings are what a gateway is told once, at its start.
type Settings struct {
	// Index is the number of this gateway, from 0.
	Index int
	// GatewayCount is the number of gateways, this one too.
	GatewayCount int
	// Zone is the zone of this gateway.
	Zone string
	// Classes are the classes of requests.
	Classes []Class
	// Plans are the plans of customers.
	Plans []Plan
	// MaxUnits is the number of units of the largest request.
	MaxUnits float64
	// MaxAttempts is the number of attempts that a request may have; less than 1 stands for 1.
	MaxAttempts int
	// MaxRetryAfter is the longest time that a rejection may tell the client to wait.
	MaxRetryAfter time.Duration
	// MayCancel allows Cancel actions.
	MayCancel bool
	// MayCheckHealth allows CheckHealth actions.
	MayCheckHealth bool
	// HedgingEnabled allows two attempts of a request to be in flight at once.
	HedgingEnabled bool
	// HasSharedCounter allows IncrementCounter actions.
	HasSharedCounter bool
	// CounterTimeout is the time after which a call of the shared counter ends without a reply; less than 1
	// ms stands for 1 ms.
	CounterTimeout time.Duration
	// PollEndpoints says that the endpoint list comes only if the gateway subscribes to it.
	PollEndpoints bool
	// CrossZonePrice is the price of an attempt at an endpoint of another zone; above 0 the own zone is
	// preferred.
	CrossZonePrice float64
	// HandshakePrice is the price of a new connection to an endpoint, in requests of mean price.
	HandshakePrice float64
	// ConnectionIdleTimeout is the time after which an idle connection to an endpoint closes.
	ConnectionIdleTimeout time.Duration
	// SlowStartMinWeight is the share of its capacity that an endpoint has at its start.
	SlowStartMinWeight float64
	// SlowStartWindow is the time after its start in which an endpoint reaches its whole capacity; 0 turns
	// slow start off.
	SlowStartWindow time.Duration
	// SlowStartBudgetMultiple is the multiple of its capacity that an endpoint in slow start may get from all
	// gateways within SlowStartBudgetSpan; 0 sets no limit.
	SlowStartBudgetMultiple float64
	// SlowStartBudgetSpan is the time over which SlowStartBudgetMultiple is counted.
	SlowStartBudgetSpan time.Duration
	// DrainGracePeriod is the time after the gateway was told that an endpoint is draining or removed within
	// which the last attempt at it may start.
	DrainGracePeriod time.Duration
}

// validate returns an error for settings that a gateway cannot decide with.
func (s *Settings) validate() error {
	if s.GatewayCount < 1 || s.Index < 0 || s.Index >= s.GatewayCount {
		return fmt.Errorf("policy: gateway %d of %d", s.Index, s.GatewayCount)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: no classes")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf("policy: class %q: latency objective %v, deadline %v",
				c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		figures := []float64{
			p.Price, p.Rate, p.Burst, float64(p.MaxConcurrency), p.CeilingRate, p.CeilingBurst,
		}
		if !(slices.Min(figures) >= 0) || math.IsInf(slices.Max(figures), 1) {
			return fmt.Errorf("policy: plan %q: figures %v, want finite ones of 0 or more", p.Name, figures)
		}
	}
	return nil
}

// setMinimums raises settings that are too small to work with.
func (s *Settings) setMinimums() {
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.CounterTimeout = max(s.CounterTimeout, minCounterTimeout)
}

// tickInterval is the time between two ticks: a part of the shortest latency objective, within bounds.
func (s *Settings) tickInterval() time.Duration {
	interval := maxTickInterval
	for _, c := range s.Classes {
		interval = min(interval, max(c.LatencyObjective/ticksPerObjective, minTickInterval))
	}
	return interval
}
