package ingress

import (
	"time"

	"lemontack/internal/upstream"
)

// event is what another goroutine tells the loop's.
type event interface {
	// apply is called on the loop's goroutine; it never waits for a peer.
	apply(g *Gateway)
}

// apply admits a request, or rejects it.
func (ev arrived) apply(g *Gateway) { g.admit(ev.r) }

// apply ends the requests of a client that has left.
func (ev abandoned) apply(g *Gateway) {
	for _, unanswered := range ev.reqs {
		if r := g.requests.open[unanswered.ID]; r != nil { // else it is over, or was never admitted
			g.clientDisconnected(r)
		}
	}
}

// apply takes over a list of endpoints, or changes of it.
func (f Fleet) apply(g *Gateway) { g.updateEndpoints(f) }

// apply takes the end of a call of the shared counter.
func (ev counted) apply(g *Gateway) { g.counted(ev) }

// upstreamEvent is for the pool.
type upstreamEvent struct{ event upstream.Event }

func (ev upstreamEvent) apply(g *Gateway) { g.pool.HandleEvent(ev.event) }

// shutdownEvent begins a shutdown.
type shutdownEvent struct {
	deadline time.Duration // by which everything has its final answer, on the gateway's clock
}

func (ev shutdownEvent) apply(g *Gateway) {
	g.shutdownDeadline = ev.deadline
	g.at(ev.deadline, func() {
		for _, r := range g.requests.open {
			g.failOverdue(r)
		}
	})
}
