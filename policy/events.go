package policy

import (
	"time"
)

// Request is one try of a client. A client that is rejected and tries again sends a new Request.
type Request struct {
	ID RequestID
	// Class names the request's class. One that the settings do not have counts as non-idempotent.
	Class string
	// Plan names the customer's plan. One that the settings do not have has no quotas.
	Plan string
	// Customer identifies the customer whose quotas the request is charged to.
	Customer string
	// Deadline is the time on the gateway's clock after which the client no longer waits.
	Deadline time.Duration
	// Units is what the request costs of the quotas of its customer; 0 or less stands for 1.
	Units float64
	// GatewaySpan is the number of gateways that the customer's requests come through.
	GatewaySpan int
	// FirstGateway is the index of the first of these; the others follow it.
	FirstGateway int
	// IsRetry tells that the client was rejected before and tries again, where clients say so.
	IsRetry bool
}

// Event is something that a gateway is told. The event types below are all that there are.
type Event interface{ isEvent() }

// Arrival comes with each request. The gateway owes it exactly one final answer: a Reject, a Fail, or the
// answer of an attempt, which AttemptEnded tells of.
type Arrival struct{ Request }

// AttemptEnded comes exactly once for each Send, also after the request's final answer.
type AttemptEnded struct {
	ID RequestID
	// Attempt is the number of the attempt, in the order of the request's Sends from 0.
	Attempt  int
	Endpoint EndpointID
	Outcome  Outcome
	// Latency is the time from the Send to the end.
	Latency time.Duration
	// RequestFinished tells that the request has had its final answer, from this attempt or before.
	RequestFinished bool
	// SettledUnits is what the request cost, known from the answer; 0 if unknown.
	SettledUnits float64
	// LoadReport is what the endpoint said of itself with the answer.
	LoadReport LoadReport
}

// StreamStarted comes when an attempt's answer begins to reach the client. From then on no other attempt can
// answer.
type StreamStarted struct {
	ID RequestID
	// Attempt is the number of the attempt.
	Attempt int
}

// ClientDisconnected comes when the client no longer waits for the answer. The request needs none then.
type ClientDisconnected struct{ ID RequestID }

// EndpointsChanged comes with the endpoint list at the start, and after a WatchEndpoints or FetchEndpoints
// with what has changed or the list.
type EndpointsChanged struct {
	// IsSnapshot tells that Endpoints is the entire list; else it holds only the endpoints that have changed.
	IsSnapshot bool
	// Failed tells that no list could be had; the gateway keeps the last one.
	Failed    bool
	Endpoints []Endpoint
	// GatewaysPerEndpoint is the mean number of gateways that share one of the endpoints, where the gateway
	// is given a subset; 0 stands for all gateways.
	GatewaysPerEndpoint float64
}

// TimerFired comes once for each SetTimer, when its time is over.
type TimerFired struct{}

// HealthCheckEnded comes once for each CheckHealth.
type HealthCheckEnded struct {
	Endpoint EndpointID
	Outcome  Outcome
	// Latency is the time from the CheckHealth to the end.
	Latency time.Duration
	// LoadReport is what the endpoint said of itself.
	LoadReport LoadReport
}

// GossipReceived comes when another gateway's Gossip has arrived.
type GossipReceived struct {
	// From is the index of the gateway that sent it.
	From int
	Body []byte
}

// CounterReply comes once for each IncrementCounter. For one name, replies come in the order of the calls.
type CounterReply struct {
	Name    string
	Outcome Outcome
	// Total is the sum of all additions to the name, this call's too, if the outcome is Succeeded.
	Total float64
}

func (Arrival) isEvent()            {}
func (AttemptEnded) isEvent()       {}
func (StreamStarted) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (EndpointsChanged) isEvent()   {}
func (TimerFired) isEvent()         {}
func (HealthCheckEnded) isEvent()   {}
func (GossipReceived) isEvent()     {}
func (CounterReply) isEvent()       {}
