package policy

import (
	"time"
)

// Action is an operation that the caller of Gateway.Handle has to perform. The types below are the only
// actions.
type Action interface{ isAction() }

// Send starts an attempt of a request at an endpoint. Attempts of a request are numbered from 0 in the order
// of their Sends. An AttemptEnded event follows each Send.
type Send struct {
	ID       RequestID
	Endpoint EndpointID
	// AttemptDeadline is the time on the gateway's clock at which the attempt ends as TimedOut; 0 means the
	// request's deadline.
	AttemptDeadline time.Duration
}

// Cancel ends an attempt that is no longer needed. The attempt's AttemptEnded event still follows. A gateway
// returns it only if Settings.MayCancel is set.
type Cancel struct {
	ID RequestID
	// Attempt is the number of the attempt, from 0.
	Attempt int
}

// Reject is the final answer to a request that has not been executed, or that is safe to retry: the client
// may retry it.
type Reject struct {
	ID RequestID
	// RetryAfter is the time that the client should wait before it retries; 0 means that none is sent.
	RetryAfter time.Duration
}

// Fail is the final answer to a request that may have been executed: the client must not assume that it is
// safe to retry.
type Fail struct{ ID RequestID }

// SetTimer requests one TimerFired event after a delay.
type SetTimer struct{ Delay time.Duration }

// CheckHealth starts a health check of an endpoint. A HealthCheckEnded event follows.
type CheckHealth struct{ Endpoint EndpointID }

// Gossip sends a message to other gateways. It may be lost.
type Gossip struct {
	// To is the index of the receiving gateway; a negative value means all other gateways.
	To   int
	Body []byte
}

// IncrementCounter adds to a named number of the shared counter. A CounterReply event with the new total
// follows.
type IncrementCounter struct {
	Name string
	// Delta is the amount to add; it may be 0 or negative.
	Delta float64
	// TTL is the time for which the counter keeps the name, counted from its first increment.
	TTL time.Duration
}

// WatchEndpoints subscribes to changes of the endpoint list. EndpointsChanged events follow, until one with
// Failed set ends the subscription.
type WatchEndpoints struct{}

// FetchEndpoints requests the entire endpoint list once. An EndpointsChanged event follows.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint EndpointID }

// Log writes a message to the log.
type Log struct{ Message string }

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
