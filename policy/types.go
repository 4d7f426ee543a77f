package policy

import "lemontack/policy/model"

// Data types of the interface, defined in package model and shared with the other packages.
type (
	// RequestID identifies one request at one gateway; it is never reused.
	RequestID = model.RequestID
	// Idempotency specifies whether a request of a class may be executed more than once.
	Idempotency = model.Idempotency
	// DeduplicationScope specifies which endpoints share the idempotency keys that they have seen.
	DeduplicationScope = model.DeduplicationScope
	// Class is a kind of request, with the weight and the time limits of its answers.
	Class = model.Class
	// Plan sets the quotas of each of its customers, over all gateways together.
	Plan = model.Plan
	// EndpointID identifies an endpoint.
	EndpointID = model.EndpointID
	// Endpoint is one backend of the endpoint list.
	Endpoint = model.Endpoint
	// EndpointState is the state of an endpoint in the endpoint list.
	EndpointState = model.EndpointState
	// LoadReport holds the load metrics that an endpoint last reported.
	LoadReport = model.LoadReport
	// Outcome is the result of an attempt, a health check or a call of the shared counter.
	Outcome = model.Outcome
)

// Kinds of idempotency.
const (
	NonIdempotent  = model.NonIdempotent
	Idempotent     = model.Idempotent
	IdempotencyKey = model.IdempotencyKey
)

// Deduplication scopes.
const (
	ScopeCell = model.ScopeCell
	ScopeZone = model.ScopeZone
	ScopeAll  = model.ScopeAll
)

// Endpoint states.
const (
	Draining = model.Draining
	Serving  = model.Serving
	Removed  = model.Removed
)

// Outcomes.
const (
	Failed        = model.Failed
	Succeeded     = model.Succeeded
	Rejected      = model.Rejected
	TimedOut      = model.TimedOut
	ConnectFailed = model.ConnectFailed
	Reset         = model.Reset
	Cancelled     = model.Cancelled
	NotSent       = model.NotSent
	OutcomeCount  = model.OutcomeCount
)
