package ingress

import (
	"time"

	"lemontack/internal/listener"
	"lemontack/policy"
)

// overdueDelay is how long after its deadline a request is failed that the policy has not answered; it is a part of
// answerMargin.
const overdueDelay = 8 * time.Millisecond

// request is a client's request that was admitted, with its attempts.
type request struct {
	*listener.Request
	attempts     []*attempt
	openAttempts int  // that have not ended
	finished     bool // it has had its final answer, or its client has left
}

// requestTable holds the requests that are admitted and not over: without a final answer, or with open attempts.
type requestTable struct {
	open             map[policy.RequestID]*request
	externalIDsInUse map[uint64]bool // the clients' ids of requests whose time is not up, be they over or not
	lastID           policy.RequestID
	commandBytes     int // of the open requests
	maxOpen          int
	maxCommandBytes  int
}

func newRequestTable(maxOpen, maxCommandBytes int) requestTable {
	return requestTable{open: map[policy.RequestID]*request{}, externalIDsInUse: map[uint64]bool{}, maxOpen: maxOpen,
		maxCommandBytes: maxCommandBytes}
}

// hasCapacity reports whether a request with a command of that size can be added: many clients with large bodies must not fill the
// memory.
func (t *requestTable) hasCapacity(size int) bool {
	return len(t.open) < t.maxOpen && t.commandBytes+size <= t.maxCommandBytes
}

// add adds a request under a new id.
func (t *requestTable) add(r *listener.Request) *request {
	t.lastID++
	r.ID = t.lastID
	added := &request{Request: r}
	t.open[r.ID] = added
	t.externalIDsInUse[r.ExternalID] = true
	t.commandBytes += r.Size
	return added
}

// removeIfDone removes a request that is over.
func (t *requestTable) removeIfDone(r *request) {
	if !r.finished || r.openAttempts > 0 || t.open[r.ID] != r {
		return
	}
	t.commandBytes -= r.Size
	delete(t.open, r.ID)
	r.Release() // its timer may keep it for seconds more
	r.attempts = nil
}

// admit admits a request, or rejects it.
func (g *Gateway) admit(r *listener.Request) {
	if r.ClientGone() {
		return
	}
	if !g.requests.hasCapacity(r.Size) || g.shutdownDeadlinePassed() {
		g.observe.requestRejected(r, "no capacity, or shutting down")
		r.Respond(g.rejectionReply)
		return
	}
	if g.requests.externalIDsInUse[r.ExternalID] { // the one who asked first has its answer, and nobody else
		g.observe.requests.Add(requestsDuplicate)
		r.RespondDuplicate()
		return
	}
	admitted := g.requests.add(r)
	if g.shutdownDeadline > 0 {
		r.Deadline = min(r.Deadline, g.shutdownDeadline)
	}
	if r.Deadline <= g.now {
		g.observe.requests.Add(requestsExpired)
	}
	g.enqueue(policy.Arrival{Request: r.Request})
	g.scheduleAt(r.Deadline+overdueDelay, func() {
		delete(g.requests.externalIDsInUse, r.ExternalID)
		g.failOverdue(admitted)
	})
}

// shutdownDeadlinePassed reports whether the time for answers in a shutdown is over. Clients may go on sending on what is still open.
func (g *Gateway) shutdownDeadlinePassed() bool {
	return g.shutdownDeadline > 0 && g.now >= g.shutdownDeadline
}

// reject carries out the policy's Reject action.
func (g *Gateway) reject(action policy.Reject) {
	if r := g.requests.open[action.ID]; r != nil && !r.finished {
		g.observe.requestEnded(r, requestsRejectedByPolicy)
		g.answer(r, busyResponse(action.RetryAfter))
	}
}

// fail carries out the policy's Fail action.
func (g *Gateway) fail(action policy.Fail) {
	if r := g.requests.open[action.ID]; r != nil && !r.finished {
		g.observe.requestEnded(r, requestsFailed)
		g.answer(r, []byte(failedResponse))
	}
}

// failOverdue fails a request that the policy has left unanswered until the last moment.
func (g *Gateway) failOverdue(r *request) {
	if r.finished {
		return
	}
	g.observe.requests.Add(requestsOverdue)
	g.observe.logRequestWarning(r, "no answer from the policy in time", g.now)
	response := []byte(failedResponse)
	if len(r.attempts) == 0 { // it was never executed
		response = g.rejectionReply
	}
	g.enqueue(policy.ClientDisconnected{ID: r.ID})
	g.answer(r, response)
}

// clientDisconnected ends a request whose client has gone.
func (g *Gateway) clientDisconnected(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	g.observe.requestEnded(r, requestsAbandoned)
	g.enqueue(policy.ClientDisconnected{ID: r.ID})
	g.cancelUnsentAttempts(r)
	g.requests.removeIfDone(r)
}

// answer gives the final answer, once.
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

// cancelUnsentAttempts ends the attempts of a request that is over whose first byte is not written: they must not be sent any more,
// also where the settings don't allow to cancel those that are.
func (g *Gateway) cancelUnsentAttempts(r *request) {
	for _, a := range r.attempts {
		g.pool.CancelUnsent(a.Attempt)
	}
}
