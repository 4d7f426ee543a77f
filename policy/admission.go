package policy

import (
	"time"

	"lemontack/policy/quota"
)

// This file connects the gateway to package quota, which decides whether requests are within their quotas.

// quotaConfig returns the settings that the quota manager needs.
func (g *Gateway) quotaConfig() quota.Config {
	return quota.Config{
		GatewayIndex:        g.settings.GatewayIndex,
		GatewayCount:        g.settings.GatewayCount,
		MaxUnits:            g.settings.MaxUnits,
		HasSharedCounter:    g.settings.HasSharedCounter,
		CounterTimeout:      g.settings.CounterTimeout,
		MaxRetryAfter:       g.settings.MaxRetryAfter,
		TickInterval:        g.tickInterval,
		MinLatencyObjective: g.tickInterval * ticksPerObjective,
		MaxLatencyObjective: g.maxLatencyObjective,
		MaxDeadline:         g.maxDeadline,
		CustomerMemory:      g.settings.CustomerMemory,
	}
}

// quotaHost implements quota.Host for a gateway.
type quotaHost struct{ gateway *Gateway }

func (host quotaHost) Now() time.Duration { return host.gateway.now }

func (host quotaHost) CallCounter(call quota.Call) {
	host.gateway.emit(IncrementCounter{Name: call.Name, Delta: call.Delta, TTL: call.TTL})
}

func (host quotaHost) Saturated() bool { return host.gateway.saturated() }

func (host quotaHost) MeanLatency() time.Duration { return host.gateway.meanLatency() }

// newCharge creates the charge of a new request, which records its use of quotas, and looks up its plan.
func (g *Gateway) newCharge(r *request) {
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

// handleCounterReply passes a reply of the shared counter to the quota manager, and queues or rejects the
// request that waited for it, if any.
func (g *Gateway) handleCounterReply(ev CounterReply) {
	id, decision := g.quota.HandleReply(quota.Reply(ev))
	if r := g.requestsByID[id]; r != nil {
		g.applyQuotaDecision(r, decision)
	}
}

// applyQuotaDecision queues or rejects a request according to the decision of the quota manager.
func (g *Gateway) applyQuotaDecision(r *request, decision quota.Decision) {
	switch decision.Verdict {
	case quota.Admitted:
		r.overQuota = decision.OverQuota
		g.enqueue(r)
		g.dispatch()
	case quota.Rejected:
		g.reject(r, decision.RetryAfter)
	case quota.Pending: // handleCounterReply applies the decision
	}
}
