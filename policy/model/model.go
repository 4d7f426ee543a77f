// Package model holds the plain data that the parts of the decision module share: request classes, plans,
// endpoints and outcomes. It has no state and decides nothing. Package policy re-exports all of it.
package model

import "time"

// RequestID identifies one request (one try of a client) at one gateway; it is never reused.
type RequestID uint32

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency uint8

// Kinds of idempotency; a reader takes anything it does not know for NonIdempotent.
const (
	NonIdempotent  Idempotency = iota // may never be executed twice
	Idempotent                        // may be executed any number of times
	IdempotencyKey                    // endpoints of one scope drop repeats of a key for a while
)

// DeduplicationScope says which endpoints share the idempotency keys that they have seen.
type DeduplicationScope uint8

// Deduplication scopes; a reader takes anything it does not know for ScopeCell.
const (
	ScopeCell DeduplicationScope = iota // the endpoints of one cell
	ScopeZone                           // those of one zone
	ScopeAll                            // all of them
)

// Shares reports whether two endpoints share the idempotency keys that they have seen.
func (scope DeduplicationScope) Shares(a, b Endpoint) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return false
}

// Class is a kind of request.
type Class struct {
	Name                string
	PriorityWeight      float64       // what an answer earns, before the plan's price
	LatencyObjective    time.Duration // an answer within it earns the full weight
	Deadline            time.Duration // after it an answer earns nothing
	LateWeight          float64       // share of the weight that an answer earns after the objective, 0 to 1
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // of classes with an idempotency key: who drops repeats
	DeduplicationWindow time.Duration      // of classes with an idempotency key: for how long
}

// Plan sets the quotas of each of its customers, over all gateways together.
type Plan struct {
	Name             string
	Price            float64 // factor on the weight of its customers' requests
	Rate             float64 // quota in units a second; 0: no rate quota
	Burst            float64 // units that the token bucket of the rate holds
	MaxConcurrency   int     // attempts in flight at once; 0: no concurrency quota
	OverQuotaWeight  float64 // share of the weight that a request beyond the quota earns
	OverQuotaCost    float64 // share of the weight that each request admitted beyond the quota costs
	CeilingRate      float64 // units a second that may not be exceeded; 0: no ceiling
	CeilingBurst     float64 // units that the token bucket of the ceiling holds
	CeilingTolerance float64
	SettledByReply   bool // the true units of a request are known only from its answer
}

// EndpointID identifies an endpoint; nothing else can be read from it.
type EndpointID string

// Endpoint is one backend of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Kind      string
	Cell      int // endpoints of one cell share their idempotency keys
	State     EndpointState
	Capacity  float64
	StartedAt time.Duration // time of its last start on the gateways' clock; 0: long ago
}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// Endpoint states; a reader takes anything it does not know for Draining.
const (
	Draining EndpointState = iota // takes no new requests
	Serving
	Removed
)

// LoadReport is what an endpoint last said of itself, by the names of its figures. A figure that it did not
// give is absent.
type LoadReport map[string]float64

// queueMetric names the number of requests that wait at the endpoint.
const queueMetric = "queue"

// QueueLength returns the number of requests that wait at the endpoint, if it gave one.
func (report LoadReport) QueueLength() (length float64, ok bool) {
	length, ok = report[queueMetric]
	return length, ok
}
