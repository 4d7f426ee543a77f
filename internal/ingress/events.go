package ingress

import (
	"time"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/internal/listener"
	"lemontack/internal/upstream"
)

// event is what another goroutine tells the loop's.
type event interface {
	// apply is called on the loop's goroutine; it never waits for a peer.
	apply(g *Gateway)
}

// requestReceived brings a client's request.
type requestReceived struct{ request *listener.Request }

func (ev requestReceived) apply(g *Gateway) { g.admit(ev.request) }

// clientDisconnected ends the requests of a client that has gone.
type clientDisconnected struct{ unanswered []*listener.Request }

func (ev clientDisconnected) apply(g *Gateway) {
	for _, request := range ev.unanswered {
		if r := g.requests.open[request.ID]; r != nil { // else it is over, or was never admitted
			g.clientDisconnected(r)
		}
	}
}

// endpointsUpdated brings a list of endpoints, or changes of it.
type endpointsUpdated struct{ list discovery.EndpointList }

func (ev endpointsUpdated) apply(g *Gateway) { g.updateEndpoints(ev.list) }

// counterCallEnded brings the end of a call of the shared counter.
type counterCallEnded struct{ result counterclient.Result }

func (ev counterCallEnded) apply(g *Gateway) { g.endCounterCall(ev.result) }

// upstreamEvent is for the pool.
type upstreamEvent struct{ event upstream.Event }

func (ev upstreamEvent) apply(g *Gateway) { g.pool.HandleEvent(ev.event) }

// shutdownEvent begins a shutdown.
type shutdownEvent struct {
	deadline time.Duration // by which everything has its final answer, on the gateway's clock
}

func (ev shutdownEvent) apply(g *Gateway) {
	g.shutdownDeadline = ev.deadline
	g.scheduleAt(ev.deadline, func() {
		for _, r := range g.requests.open {
			g.failOverdue(r)
		}
	})
}
