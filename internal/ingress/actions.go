package ingress

import (
	"fmt"
	"strconv"
	"time"

	"lemontack/policy"
)

// failedResponse is the reply to a request that has failed.
const failedResponse = "-ERR failed\r\n"

// busyResponse returns the reply to a rejected request. It contains retryAfter in ms, rounded down and at least 1, if retryAfter
// is positive. The slice must not be modified after it has been passed to Respond.
func busyResponse(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, retryAfter.Milliseconds()), 10), '\r', '\n')
}

// policyDriver passes queued events to the policy, one at a time.
type policyDriver struct {
	policy        *policy.Gateway
	pendingEvents []policy.Event  // queued and not yet handled
	actions       []policy.Action // actions of the event that is being handled; reused to save allocations
}

// enqueue queues an event for the policy; run handles it.
func (d *policyDriver) enqueue(ev policy.Event) { d.pendingEvents = append(d.pendingEvents, ev) }

// run passes the queued events to the policy and calls execute for each action that it returns. execute may queue further events.
func (d *policyDriver) run(now time.Duration, execute func(policy.Action)) {
	for i := 0; i < len(d.pendingEvents); i++ {
		d.actions = d.policy.Handle(now, d.pendingEvents[i], d.actions[:0])
		for _, action := range d.actions {
			execute(action)
		}
	}
	clear(d.pendingEvents)
	d.pendingEvents = d.pendingEvents[:0]
}

// handlePendingEvents passes the queued events to the policy and executes its actions.
func (g *Gateway) handlePendingEvents() { g.policyDriver.run(g.now, g.executeAction) }

func (g *Gateway) executeAction(action policy.Action) {
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
		g.scheduleAfter(action.Delay, func() { g.enqueue(policy.TimerFired{}) })
	case policy.IncrementCounter:
		g.incrementCounter(action)
	case policy.CheckHealth:
		g.checkHealth(action.Endpoint)
	case policy.CloseIdleConnections:
		g.pool.CloseIdle(action.Endpoint)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the gateway watches at all times and replies with its current list
		g.enqueue(g.endpointList())
	case policy.Log:
		g.log.Info(action.Message)
	default:
		g.log.Warn("unsupported policy action", "action", fmt.Sprintf("%T", action))
	}
}
