package ingress

import (
	"time"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/internal/listener"
	"lemontack/internal/upstream"
)

// event is a message of another goroutine to the event loop.
type event interface {
	// apply is called on the loop's goroutine and must not wait for a peer.
	apply(g *Gateway)
}

// requestReceived reports a client's request.
type requestReceived struct{ request *listener.Request }

func (ev requestReceived) apply(g *Gateway) { g.admit(ev.request) }

// clientDisconnected reports the unanswered requests of a client that has disconnected.
type clientDisconnected struct{ unanswered []*listener.Request }

func (ev clientDisconnected) apply(g *Gateway) {
	for _, received := range ev.unanswered {
		if r := g.requests.open[received.ID]; r != nil { // otherwise it has finished or was never admitted
			g.clientDisconnected(r)
		}
	}
}

// endpointsUpdated reports a snapshot of the endpoint list, or changes to it.
type endpointsUpdated struct{ list discovery.EndpointList }

func (ev endpointsUpdated) apply(g *Gateway) { g.updateEndpoints(ev.list) }

// counterCallEnded reports the end of a call to the shared counter.
type counterCallEnded struct{ result counterclient.Result }

func (ev counterCallEnded) apply(g *Gateway) { g.endCounterCall(ev.result) }

// upstreamEvent wraps an event for the connection pool.
type upstreamEvent struct{ event upstream.Event }

func (ev upstreamEvent) apply(g *Gateway) { g.pool.HandleEvent(ev.event) }

// shutdownEvent begins a shutdown.
type shutdownEvent struct {
	deadline time.Duration // deadline of the final answers to all requests, on the shared clock
}

func (ev shutdownEvent) apply(g *Gateway) {
	g.shutdownDeadline = ev.deadline
	g.scheduleAt(ev.deadline, func() {
		for _, r := range g.requests.open {
			g.failOverdue(r)
		}
	})
}
