package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings are what a gateway is told once, at its start.
type Settings struct {
	Index, GatewayCount     int // this gateway's number, and how many there are
	Zone                    string
	Classes                 []Class
	Plans                   []Plan
	MaxUnits                float64 // most units of one request
	MaxAttempts             int
	MaxRetryAfter           time.Duration
	MayCancel               bool
	MayCheckHealth          bool
	Hedging                 bool // two attempts of a request may be out at once
	SharedCounter           bool // the shared counter may be called
	CounterTimeout          time.Duration
	PollEndpoints           bool // the fleet list comes only when asked for
	CrossZonePrice          float64
	HandshakePrice          float64       // of a new connection, in mean requests
	ConnectionIdleTimeout   time.Duration // a connection that is idle for so long closes
	SlowStartMinWeight      float64       // a server starts with this share of its capacity or more
	SlowStartWindow         time.Duration
	SlowStartBudgetMultiple float64
	SlowStartBudgetSpan     time.Duration
	DrainGracePeriod        time.Duration
}

// validate says what a gateway cannot decide with.
func (s *Settings) validate() error {
	if s.GatewayCount < 1 || s.Index < 0 || s.Index >= s.GatewayCount {
		return fmt.Errorf("policy: gateway %d of %d", s.Index, s.GatewayCount)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: no classes")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf("policy: class %q: aim %v, deadline %v", c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		figures := []float64{p.Price, p.Rate, p.Burst, float64(p.MaxConcurrency), p.CeilingRate, p.CeilingBurst}
		if !(slices.Min(figures) >= 0) || math.IsInf(slices.Max(figures), 1) {
			return fmt.Errorf("policy: plan %q: unusable figures %v", p.Name, figures)
		}
	}
	return nil
}
