package ingress

import (
	"net"
	"time"

	"lemontack/internal/listener"
)

// newListener returns a server for the client connections that ln accepts.
func (g *Gateway) newListener(ln net.Listener) *listener.Server {
	return listener.New(ln, g.listenerConfig())
}

func (g *Gateway) listenerConfig() listener.Config {
	return listener.Config{
		Classes:        g.classes,
		Plans:          g.plans,
		GatewayCount:   g.cfg.Settings.GatewayCount,
		MaxUnits:       g.maxUnits,
		MaxConnections: g.cfg.maxClientConnections(),
		Memory:         g.cfg.memoryShare(),
		RejectionReply: g.rejectionReply,
		Clock:          g.sharedTime,
		Stalls:         g.stalls,
		Log:            g.log,
		LogLimiter:     g.observer.logLimiter,
		Counters:       g.observer.clients,
		Handler:        clientEvents{g},
		Observer:       clientEvents{g},
	}
}

// clientEvents implements listener.Handler and listener.Observer. It posts requests and disconnects to the event loop, and
// passes the calls of the Observer on to the gateway's counters and log.
type clientEvents struct{ gateway *Gateway }

// RequestReceived implements listener.Handler.
func (e clientEvents) RequestReceived(r *listener.Request) { e.gateway.post(requestReceived{r}) }

// ClientDisconnected implements listener.Handler.
func (e clientEvents) ClientDisconnected(unanswered []*listener.Request) {
	e.gateway.post(clientDisconnected{unanswered})
}

// RequestRead implements listener.Observer.
func (e clientEvents) RequestRead() { e.gateway.observer.requests.Add(requestsRead) }

// RequestRejected implements listener.Observer.
func (e clientEvents) RequestRejected(r *listener.Request, reason string) {
	e.gateway.observer.requestRejected(r, reason)
}

// RequestUnanswered implements listener.Observer.
func (e clientEvents) RequestUnanswered(r *listener.Request, cause string) {
	e.gateway.observer.reportViolation(invariantFinalAnswer, r, e.gateway.sharedTime(time.Now()), cause)
}

// RequestAnsweredTwice implements listener.Observer.
func (e clientEvents) RequestAnsweredTwice() {
	e.gateway.observer.violations.Add(invariantSingleAnswer)
}
