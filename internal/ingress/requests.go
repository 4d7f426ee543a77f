package ingress

import (
	"time"

	"lemontack/internal/listener"
	"lemontack/policy"
)

// overdueDelay is the time after a request's deadline at which the gateway ends the request if the policy has not answered it.
// The listener sets the deadline earlier than the client's timeout by answerMargin, which is longer than overdueDelay, so that
// the answer can still reach the client in time. It comes too late if the timeout is at most four times overdueDelay, since the
// margin is limited to a quarter of the timeout.
const overdueDelay = 8 * time.Millisecond

// request is an admitted request of a client, with its attempts.
type request struct {
	*listener.Request
	attempts     []*attempt
	openAttempts int  // number of attempts that have not ended
	finished     bool // it has its final answer, or its client has disconnected
}

// requestTable holds the admitted requests that have not finished or that have open attempts.
type requestTable struct {
	open             map[policy.RequestID]*request
	externalIDsInUse map[uint64]bool // external IDs of admitted requests, until overdueDelay after their deadlines
	lastID           policy.RequestID
	commandBytes     int // total size of the commands of open requests
	maxOpen          int
	maxCommandBytes  int
}

func newRequestTable(maxOpen, maxCommandBytes int) requestTable {
	return requestTable{open: map[policy.RequestID]*request{}, externalIDsInUse: map[uint64]bool{}, maxOpen: maxOpen,
		maxCommandBytes: maxCommandBytes}
}

// hasCapacity reports whether a request whose command has size bytes can be added within the limits of requests and memory. The
// commands of many clients with large bodies would otherwise fill the memory.
func (t *requestTable) hasCapacity(size int) bool {
	return len(t.open) < t.maxOpen && t.commandBytes+size <= t.maxCommandBytes
}

// add assigns a new ID to a request and adds it.
func (t *requestTable) add(r *listener.Request) *request {
	t.lastID++
	r.ID = t.lastID
	added := &request{Request: r}
	t.open[r.ID] = added
	t.externalIDsInUse[r.ExternalID] = true
	t.commandBytes += r.Size
	return added
}

// removeIfDone removes a request that has finished and has no open attempts.
func (t *requestTable) removeIfDone(r *request) {
	if !r.finished || r.openAttempts > 0 || t.open[r.ID] != r {
		return
	}
	t.commandBytes -= r.Size
	delete(t.open, r.ID)
	r.Release() // release the command: the deadline timer may still hold the request for seconds
	r.attempts = nil
}

// admit passes a request to the policy, or rejects it if there is no capacity or its external ID is in use.
func (g *Gateway) admit(r *listener.Request) {
	if r.ClientDisconnected() {
		return
	}
	if !g.requests.hasCapacity(r.Size) || g.shutdownDeadlinePassed() {
		g.observer.requestRejected(r, "no capacity, or shutting down")
		r.Respond(g.rejectionReply)
		return
	}
	if g.requests.externalIDsInUse[r.ExternalID] { // only the first request with an ID is served
		g.observer.requests.Add(requestsDuplicate)
		r.RejectDuplicate()
		return
	}
	admitted := g.requests.add(r)
	if g.shutdownDeadline > 0 {
		r.Deadline = min(r.Deadline, g.shutdownDeadline)
	}
	if r.Deadline <= g.now {
		g.observer.requests.Add(requestsExpired)
	}
	g.enqueue(policy.Arrival{Request: r.Request})
	g.scheduleAt(r.Deadline+overdueDelay, func() {
		delete(g.requests.externalIDsInUse, r.ExternalID)
		g.failOverdue(admitted)
	})
}

// shutdownDeadlinePassed reports whether a shutdown has passed its deadline for answers. Clients may still send requests on open
// connections after it.
func (g *Gateway) shutdownDeadlinePassed() bool {
	return g.shutdownDeadline > 0 && g.now >= g.shutdownDeadline
}

// reject executes the policy's Reject action.
func (g *Gateway) reject(action policy.Reject) {
	if r := g.requests.open[action.ID]; r != nil && !r.finished {
		g.observer.requestEnded(r, requestsRejectedByPolicy)
		g.answer(r, busyResponse(action.RetryAfter))
	}
}

// fail executes the policy's Fail action.
func (g *Gateway) fail(action policy.Fail) {
	if r := g.requests.open[action.ID]; r != nil && !r.finished {
		g.observer.requestEnded(r, requestsFailed)
		g.answer(r, []byte(failedResponse))
	}
}

// failOverdue ends a request that the policy has not answered in time. The reply is an error, or a rejection if no attempt
// was made.
func (g *Gateway) failOverdue(r *request) {
	if r.finished {
		return
	}
	g.observer.requests.Add(requestsOverdue)
	g.observer.logRequestWarning(r, "the policy did not answer the request before its deadline", g.now)
	response := []byte(failedResponse)
	if len(r.attempts) == 0 { // the request was never executed
		response = g.rejectionReply
	}
	g.enqueue(policy.ClientDisconnected{ID: r.ID})
	g.answer(r, response)
}

// clientDisconnected ends a request whose client has disconnected.
func (g *Gateway) clientDisconnected(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	g.observer.requestEnded(r, requestsAbandoned)
	g.enqueue(policy.ClientDisconnected{ID: r.ID})
	g.cancelUnsentAttempts(r)
	g.requests.removeIfDone(r)
}

// answer sends the final answer unless the request has finished already.
func (g *Gateway) answer(r *request, response []byte) {
	if r.finished {
		return
	}
	g.checkAnswerTime(r)
	r.finished = true
	r.Respond(response)
	g.cancelUnsentAttempts(r)
	g.requests.removeIfDone(r)
}

// cancelUnsentAttempts ends the attempts of a finished request of which no byte has been written. It applies even if the settings
// do not allow cancelling attempts, because these were never sent.
func (g *Gateway) cancelUnsentAttempts(r *request) {
	for _, a := range r.attempts {
		g.pool.CancelUnsent(a.Attempt)
	}
}
