package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// RequestID names one try of a client; it is never reused.
type RequestID uint32

// EndpointID names a server of the back end; it tells nothing but identity.
type EndpointID string

// Idempotency says whether a class of requests may be repeated.
type Idempotency uint8

// Effects; anything unknown is Unsafe.
const (
	NonIdempotent  Idempotency = iota // may never run twice
	Idempotent                        // may run any number of times
	IdempotencyKey                    // servers of one group drop repeats for a while
)

// DeduplicationScope says which servers share the keys that they have seen.
type DeduplicationScope uint8

// Groups; anything unknown is one cell.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Shares says whether two servers share the keys that they have seen.
func (scope DeduplicationScope) Shares(a, b Endpoint) bool {
	return scope == ScopeAll || scope == ScopeZone && a.Zone == b.Zone || scope == ScopeCell && a.Cell == b.Cell
}

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome uint8

// Outcomes; anything unknown is Failed, which may have run.
const (
	Failed        Outcome = iota // the server answered with an error
	Succeeded                    // served
	Rejected                     // turned away unseen: never ran
	TimedOut                     // no answer in time
	ConnectFailed                // no connection: never ran
	Reset                        // the connection dropped
	Cancelled                    // called off
	NotSent                      // never sent: never ran
)

// NotExecuted reports whether the outcome proves that the attempt did not run.
func (o Outcome) NotExecuted() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// OutcomeCount is the number of outcomes.
const OutcomeCount = NotSent + 1

// String is the outcome's name in logs.
func (o Outcome) String() string {
	names := [OutcomeCount]string{"failed", "done", "full", "timed out", "no connection", "reset", "cancelled", "moot"}
	if o >= OutcomeCount {
		return "unknown"
	}
	return names[o]
}

// Class is a kind of request.
type Class struct {
	Name                string
	PriorityWeight      float64
	LatencyObjective    time.Duration // an answer within it earns the full worth
	Deadline            time.Duration
	LateWeight          float64 // share of the worth earned after the aim
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // keyed classes: who drops repeats
	DeduplicationWindow time.Duration      // keyed classes: for how long
}

// Plan sets the quotas of each of its customers, over all gateways together.
type Plan struct {
	Name             string
	Price            float64
	Rate             float64 // units a second; 0: no such quota
	Burst            float64 // units the store holds
	MaxConcurrency   int     // attempts out at once; 0: no such quota
	OverQuotaWeight  float64 // share of the worth earned beyond the quota
	OverQuotaCost    float64 // share of the worth paid for each try beyond it
	CeilingRate      float64 // units a second; 0: no ceiling
	CeilingBurst     float64
	CeilingTolerance float64
	SettledByReply   bool // the true units come with the answer
}

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

// Request is one try of a client.
type Request struct {
	ID           RequestID
	Class        string
	Plan         string
	Customer     string
	Deadline     time.Duration
	Units        float64
	GatewaySpan  int  // gateways this customer comes through
	FirstGateway int  // number of the first of them
	IsRetry      bool // a client's repeat, where clients mark these
}

// LoadReport is what a server last said of itself; absent values are not in it.
type LoadReport map[string]float64

// Endpoint is an entry of the fleet list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Kind      string
	Cell      int
	State     EndpointState
	Capacity  float64
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// EndpointState is what the fleet list knows of a server.
type EndpointState uint8

// States; an unknown one counts as draining.
const (
	Draining EndpointState = iota
	Serving
	Removed
)

// Event is something a gateway is told.
type Event interface{ isEvent() }

// The events.
type (
	// Arrival brings a request; the gateway owes it one final answer.
	Arrival struct{ Request }
	// AttemptEnded comes once for each Send.
	AttemptEnded struct {
		ID              RequestID
		Attempt         int
		Endpoint        EndpointID
		Outcome         Outcome
		Latency         time.Duration
		RequestFinished bool // the request has had its final answer
		SettledUnits    float64
		LoadReport      LoadReport
	}
	// StreamStarted hands an attempt over to the client.
	StreamStarted struct {
		ID      RequestID
		Attempt int
	}
	// ClientDisconnected tells that the client has left.
	ClientDisconnected struct{ ID RequestID }
	// EndpointsChanged brings the fleet list or changes to it.
	EndpointsChanged struct {
		Snapshot            bool // the entire list, else changes
		Failed              bool // asking failed; the old list holds
		Endpoints           []Endpoint
		GatewaysPerEndpoint float64 // gateways that share each server, about; 0: all, as the list is whole
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{}
	// HealthCheckEnded answers a Probe.
	HealthCheckEnded struct {
		Endpoint   EndpointID
		Outcome    Outcome
		Latency    time.Duration
		LoadReport LoadReport
	}
	// GossipReceived comes from another gateway.
	GossipReceived struct {
		From int
		Body []byte
	}
	// CounterReply answers a Count; for one name replies come in order.
	CounterReply struct {
		Name    string
		Outcome Outcome
		Total   float64
	}
)

func (Arrival) isEvent()            {}
func (AttemptEnded) isEvent()       {}
func (StreamStarted) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (EndpointsChanged) isEvent()   {}
func (TimerFired) isEvent()         {}
func (HealthCheckEnded) isEvent()   {}
func (GossipReceived) isEvent()     {}
func (CounterReply) isEvent()       {}

// Action is something a gateway wants done.
type Action interface{ isAction() }

// The actions.
type (
	// Send starts an attempt; attempts of a request are numbered from 0 in this order.
	Send struct {
		ID              RequestID
		Endpoint        EndpointID
		AttemptDeadline time.Duration // 0: when the client gives up
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Reject is a final answer: trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }
	// SetTimer asks for a TimerFired after a while.
	SetTimer struct{ After time.Duration }
	// CheckHealth asks a server how it is.
	CheckHealth struct{ Endpoint EndpointID }
	// Gossip sends a message to one gateway, or to all.
	Gossip struct {
		To   int // below 0: all
		Body []byte
	}
	// IncrementCounter adds to a named number of the shared counter, kept from its first call on.
	IncrementCounter struct {
		Name string
		Add  float64
		Keep time.Duration
	}
	// WatchEndpoints subscribes to changes of the fleet list.
	WatchEndpoints struct{}
	// FetchEndpoints asks for the whole fleet list once.
	FetchEndpoints struct{}
	// CloseIdleConnections shuts idle connections to a server.
	CloseIdleConnections struct{ Endpoint EndpointID }
	// Log adds a line for people.
	Log struct{ Text string }
)

func (Send) isAction()                 {}
func (Cancel) isAction()               {}
func (Reject) isAction()               {}
func (Fail) isAction()                 {}
func (SetTimer) isAction()             {}
func (CheckHealth) isAction()          {}
func (Gossip) isAction()               {}
func (IncrementCounter) isAction()     {}
func (WatchEndpoints) isAction()       {}
func (FetchEndpoints) isAction()       {}
func (CloseIdleConnections) isAction() {}
func (Log) isAction()                  {}
