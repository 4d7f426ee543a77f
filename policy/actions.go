package policy

import (
	"time"
)

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
