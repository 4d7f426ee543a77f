package policy

import (
	"time"

	"lemontack/policy/quota"
)

// This file connects the gateway with package quota, which decides whether requests are inside their quotas.

// quotaConfig returns what the quotas have to know of the settings.
func (g *Gateway) quotaConfig() quota.Config {
	return quota.Config{
		GatewayIndex:        g.settings.Index,
		GatewayCount:        g.settings.GatewayCount,
		MaxUnits:            g.settings.MaxUnits,
		HasSharedCounter:    g.settings.HasSharedCounter,
		CounterTimeout:      g.settings.CounterTimeout,
		MaxRetryAfter:       g.settings.MaxRetryAfter,
		TickInterval:        g.tickInterval,
		MinLatencyObjective: g.tickInterval * ticksPerObjective,
		MaxLatencyObjective: g.maxLatencyObjective,
		MaxDeadline:         g.maxDeadline,
	}
}

// quotaHost is the gateway as the quotas see it.
type quotaHost struct{ gateway *Gateway }

// Now implements quota.Host.
func (host quotaHost) Now() time.Duration { return host.gateway.now }

// CallCounter implements quota.Host.
func (host quotaHost) CallCounter(call quota.Call) {
	host.gateway.emit(IncrementCounter{Name: call.Name, Delta: call.Add, TTL: call.TTL})
}

// Saturated implements quota.Host.
func (host quotaHost) Saturated() bool { return host.gateway.saturated() }

// MeanLatency implements quota.Host.
func (host quotaHost) MeanLatency() time.Duration { return host.gateway.meanAnswerTime() }

// openCharge opens the account of a new request with the quotas.
func (g *Gateway) openCharge(r *request) {
	r.charge = g.quota.NewCharge(quota.Request{
		ID:             r.ID,
		Customer:       r.Customer,
		Plan:           r.Plan,
		PriorityWeight: r.class.PriorityWeight,
		Units:          r.Units,
		GatewaySpan:    r.GatewaySpan,
		FirstGateway:   r.FirstGateway,
		IsRetry:        r.IsRetry,
	})
	r.plan = r.charge.Plan()
}

// handleCounterReply takes a reply of the shared counter, and queues or rejects the request that waited for
// it.
func (g *Gateway) handleCounterReply(ev CounterReply) {
	id, decision := g.quota.HandleReply(quota.Reply(ev))
	if r := g.requests[id]; r != nil {
		g.resolveQuota(r, decision)
	}
}

// resolveQuota queues or rejects a request as the quotas have decided.
func (g *Gateway) resolveQuota(r *request, decision quota.Decision) {
	switch decision.Verdict {
	case quota.Admitted:
		r.overQuota = decision.OverQuota
		g.enqueue(r)
		g.dispatch()
	case quota.Rejected:
		g.reject(r, decision.RetryAfter)
	case quota.Pending: // the reply of the counter will decide
	}
}
