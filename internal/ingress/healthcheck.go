package ingress

import (
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/upstream"
	"lemontack/policy"
)

// healthCheckTimeout limits a health check, which has no request whose deadline could end it.
const healthCheckTimeout = 250 * time.Millisecond

// healthCheck is the upstream.Command that requests an endpoint's load report.
type healthCheck struct {
	gateway   *Gateway
	endpoint  policy.EndpointID
	startedAt time.Duration
}

// checkHealth executes the policy's CheckHealth action.
func (g *Gateway) checkHealth(id policy.EndpointID) {
	endpoint := g.pool.Endpoint(id)
	if endpoint == nil {
		return
	}
	check := upstream.NewAttempt(endpoint, &healthCheck{gateway: g, endpoint: id, startedAt: g.now})
	g.scheduleAfter(healthCheckTimeout, func() { g.pool.Abort(check, policy.TimedOut) })
	g.pool.Start(check)
}

// MayStart implements upstream.Command.
func (*healthCheck) MayStart() bool { return true }

// Encode implements upstream.Command.
func (*healthCheck) Encode() upstream.EncodedCommand {
	frame := redcon.AppendArray(nil, 2)
	frame = redcon.AppendBulkString(frame, "INFO")
	frame = redcon.AppendBulkString(frame, "load")
	return upstream.EncodedCommand{Frame: frame}
}

// Abandoned implements upstream.Command. A health check has no client that could disconnect.
func (*healthCheck) Abandoned() bool { return false }

// BeforeWrite implements upstream.Command.
func (*healthCheck) BeforeWrite(time.Duration) {}

// Ended implements upstream.Command.
func (check *healthCheck) Ended(result upstream.Result) {
	g := check.gateway
	g.enqueue(policy.HealthCheckEnded{Endpoint: check.endpoint, Outcome: result.Outcome, Latency: g.now - check.startedAt,
		LoadReport: result.LoadReport})
}
