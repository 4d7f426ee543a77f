package policy

import (
	"time"
)

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
