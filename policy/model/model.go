// Package model defines the data types shared by package policy and the packages under it: request classes,
// plans, endpoints and outcomes. It has no state and makes no decisions. Package policy re-exports all of
// it.
package model

import "time"

// RequestID identifies one request (one try of a client) at one gateway; it is never reused.
type RequestID uint32

// Idempotency states whether a request of a class may be executed more than once.
type Idempotency uint8

// Kinds of idempotency. An unknown value is treated as NonIdempotent.
const (
	NonIdempotent  Idempotency = iota // may never be executed twice
	Idempotent                        // may be executed any number of times
	IdempotencyKey                    // endpoints of one deduplication scope drop repeats of a key
)

// DeduplicationScope states which endpoints share the idempotency keys that they have received.
type DeduplicationScope uint8

// Deduplication scopes. An unknown scope in the settings is read as ScopeCell.
const (
	ScopeCell DeduplicationScope = iota // endpoints of one cell
	ScopeZone                           // endpoints of one zone
	ScopeAll                            // all endpoints
)

// Shares reports whether two endpoints share the idempotency keys that they have received.
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

// Class is a kind of request, with the weight and the time limits of its answers.
type Class struct {
	Name                string
	PriorityWeight      float64       // weight of an answer, before the plan's price
	LatencyObjective    time.Duration // an answer within this time earns the full weight
	Deadline            time.Duration // an answer after this time earns nothing
	LateWeight          float64       // share of the weight that an answer after the objective earns, 0 to 1
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // endpoints that drop repeats of an idempotency key
	DeduplicationWindow time.Duration      // time for which they drop repeats
}

// Plan sets the quotas of each of its customers, over all gateways together.
type Plan struct {
	Name             string
	Price            float64 // factor on the weight of its customers' requests
	Rate             float64 // quota in units per second; zero means no rate quota
	Burst            float64 // capacity of the token bucket of the rate, in units
	MaxConcurrency   int     // attempts in flight at the same time; zero means no concurrency quota
	OverQuotaWeight  float64 // share of the weight that a request over the quota earns
	OverQuotaCost    float64 // share of the weight that each request admitted over the quota costs
	CeilingRate      float64 // units per second that may not be exceeded; zero means no ceiling
	CeilingBurst     float64 // capacity of the token bucket of the ceiling, in units
	CeilingTolerance float64 // tolerance of the ceiling in the settings; no decision uses it
	SettledByAnswer  bool    // the actual units of a request are known only from its answer
}

// EndpointID identifies an endpoint. It is opaque.
type EndpointID string

// Endpoint is one backend of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Kind      string
	Cell      int // endpoints of one cell share their idempotency keys
	State     EndpointState
	Capacity  float64
	StartedAt time.Duration // time of its last start on the gateways' clock; zero means long ago
}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// Endpoint states. An unknown value is treated as Draining.
const (
	Draining EndpointState = iota // accepts no new requests
	Serving
	Removed
)

// LoadReport is the last load report of an endpoint: its metrics by name. A metric that the endpoint did
// not report is absent.
type LoadReport map[string]float64

// queueMetric is the name of the number of requests waiting at the endpoint.
const queueMetric = "queue"

// QueueLength returns the number of requests waiting at the endpoint, if reported.
func (report LoadReport) QueueLength() (length float64, ok bool) {
	length, ok = report[queueMetric]
	return length, ok
}
