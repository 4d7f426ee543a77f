package ingress

import (
	"fmt"
	"strconv"
	"time"

	"lemontack/policy"
)

// failedResponse answers a request that has failed. Responses must not be changed once they are given out.
const failedResponse = "-ERR failed\r\n"

// busyResponse answers a request that is rejected, with the advice to retry after a while; 0: no advice.
func busyResponse(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, retryAfter.Milliseconds()), 10), '\r', '\n')
}

// policyDriver feeds the policy with events, one after another.
type policyDriver struct {
	policy  *policy.Gateway
	queue   []policy.Event  // not handled yet
	actions []policy.Action // of the event that is being handled; kept for its memory
}

// tell queues an event for the policy; flush hands it over.
func (d *policyDriver) tell(ev policy.Event) { d.queue = append(d.queue, ev) }

// run lets the policy handle what is queued; act carries out its actions, which may queue more.
func (d *policyDriver) run(now time.Duration, act func(policy.Action)) {
	for i := 0; i < len(d.queue); i++ {
		d.actions = d.policy.Handle(now, d.queue[i], d.actions[:0])
		for _, action := range d.actions {
			act(action)
		}
	}
	clear(d.queue)
	d.queue = d.queue[:0]
}

// flush lets the policy handle what is queued.
func (g *Gateway) flush() { g.policyDriver.run(g.now, g.act) }

// act carries out an action of the policy.
func (g *Gateway) act(action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		g.send(action)
	case policy.Cancel:
		g.cancelAttempt(action)
	case policy.Reject:
		g.reject(action)
	case policy.Fail:
		g.fail(action)
	case policy.SetTimer:
		g.after(action.Delay, func() { g.tell(policy.TimerFired{}) })
	case policy.IncrementCounter:
		g.incrementCounter(action)
	case policy.CheckHealth:
		g.checkHealth(action.Endpoint)
	case policy.CloseIdleConnections:
		g.pool.CloseIdle(action.Endpoint)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list as it stands is the answer
		g.tell(g.endpointList())
	case policy.Log:
		g.log.Info(action.Message)
	default:
		g.log.Warn("unsupported action", "action", fmt.Sprintf("%T", action))
	}
}
