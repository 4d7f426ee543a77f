package policy

import (
	"time"
)

// Request is one request of a client. A client that retries after a rejection sends a new Request.
type Request struct {
	ID RequestID
	// Class is the name of the request's class. A request of an unknown class is treated as non-idempotent.
	Class string
	// Plan is the name of the customer's plan. An unknown plan has no quotas.
	Plan string
	// Customer identifies the customer whose quotas the request is charged to.
	Customer string
	// Deadline is the time on the gateway's clock after which the client no longer waits.
	Deadline time.Duration
	// Units is the number of quota units that the request uses; 0 or less means 1.
	Units float64
	// GatewaySpan is the number of consecutive gateways that receive the customer's requests.
	GatewaySpan int
	// FirstGateway is the index of the first of these gateways.
	FirstGateway int
	// IsRetry reports that the client has marked the request as a retry after a rejection.
	IsRetry bool
}

// Event is an input of Gateway.Handle. The types below are the only events.
type Event interface{ isEvent() }

// Arrival reports a new request. The request receives exactly one final answer: a Reject, a Fail, or the
// answer of an attempt, which AttemptEnded reports.
type Arrival struct{ Request }

// AttemptEnded reports the end of an attempt. It follows each Send exactly once, even after the request's
// final answer.
type AttemptEnded struct {
	ID RequestID
	// Attempt is the number of the attempt, from 0 in the order of the request's Sends.
	Attempt  int
	Endpoint EndpointID
	Outcome  Outcome
	// Latency is the time from the Send to the end of the attempt.
	Latency time.Duration
	// RequestFinished reports that the request has received its final answer, from this attempt or earlier.
	RequestFinished bool
	// SettledUnits is the actual number of units of the request, as reported with the answer; 0 means
	// unknown.
	SettledUnits float64
	// LoadReport holds the load metrics that the endpoint sent with the answer.
	LoadReport LoadReport
}

// StreamStarted reports that the answer of an attempt has begun to reach the client. From then on no other
// attempt can answer the request.
type StreamStarted struct {
	ID RequestID
	// Attempt is the number of the attempt, from 0.
	Attempt int
}

// ClientDisconnected reports that the client no longer waits for the answer. The request then needs no final
// answer.
type ClientDisconnected struct{ ID RequestID }

// EndpointsChanged carries the endpoint list at the start of the gateway, and the entire list or its changes
// after a WatchEndpoints or FetchEndpoints.
type EndpointsChanged struct {
	// IsSnapshot reports whether Endpoints is the entire list, rather than only the changed endpoints.
	IsSnapshot bool
	// Failed reports that the list could not be fetched; the gateway keeps its previous list.
	Failed    bool
	Endpoints []Endpoint
	// GatewaysPerEndpoint is the mean number of gateways that use the same endpoint, if each gateway uses a
	// subset of the list; 0 means that all gateways use all endpoints.
	GatewaysPerEndpoint float64
}

// TimerFired reports that the delay of a SetTimer has passed. It follows each SetTimer exactly once.
type TimerFired struct{}

// HealthCheckEnded reports the result of a health check. It follows each CheckHealth exactly once.
type HealthCheckEnded struct {
	Endpoint EndpointID
	Outcome  Outcome
	// Latency is the time from the CheckHealth to the end of the health check.
	Latency time.Duration
	// LoadReport holds the load metrics that the endpoint sent with its reply.
	LoadReport LoadReport
}

// GossipReceived carries the Gossip message of another gateway.
type GossipReceived struct {
	// From is the index of the sending gateway.
	From int
	Body []byte
}

// CounterReply reports the result of a call of the shared counter. It follows each IncrementCounter exactly
// once. Replies for one name arrive in the order of the calls.
type CounterReply struct {
	Name    string
	Outcome Outcome
	// Total is the sum of all additions to the name, including that of this call. It is valid if Outcome is
	// Succeeded.
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
