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
	policy        *policy.Gateway
	pendingEvents []policy.Event  // not handled yet
	actions       []policy.Action // of the event that is being handled; kept for its memory
}

// enqueue queues an event for the policy; flush hands it over.
func (d *policyDriver) enqueue(ev policy.Event) { d.pendingEvents = append(d.pendingEvents, ev) }

// run lets the policy handle what is queued; act carries out its actions, which may queue more.
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

// handlePendingEvents lets the policy handle what is queued.
func (g *Gateway) handlePendingEvents() { g.policyDriver.run(g.now, g.executeAction) }

// executeAction carries out an action of the policy.
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
		g.scheduleAfter(action.After, func() { g.enqueue(policy.TimerFired{}) })
	case policy.IncrementCounter:
		g.incrementCounter(action)
	case policy.CheckHealth:
		g.checkHealth(action.Endpoint)
	case policy.CloseIdleConnections:
		g.pool.CloseIdle(action.Endpoint)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list as it stands is the answer
		g.enqueue(g.endpointList())
	case policy.Log:
		g.log.Info(action.Text)
	default:
		g.log.Warn("unsupported action", "action", fmt.Sprintf("%T", action))
	}
}
