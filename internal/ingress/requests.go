package ingress

import (
	"lemontack/policy"
)

// request is a client's request that was taken, with its attempts.
type request struct {
	*clientRequest
	attempts     []*attempt
	openAttempts int  // that have not ended
	final        bool // it has had its final answer, or its client has left
}

// arrived takes a request in, or turns it away.
func (g *Gateway) arrived(r *clientRequest) {
	if r.left() {
		return
	}
	// Many clients with large bodies must not fill the memory: beyond the bounds nothing is taken. Nor is at the end of
	// a shutdown, while clients go on sending on what is still open.
	if len(g.requests) >= g.net.MaxOpen || g.heldBytes+r.size > g.mostHeld || g.endBy > 0 && g.now >= g.endBy {
		g.observe.turnedAway(r, "no room, or shutting down")
		r.respond(g.turnedAway)
		return
	}
	if g.keys[r.key] { // the one who asked first has its answer, and nobody else
		g.observe.requests.Add(requestsDuplicate)
		r.respondDuplicate()
		return
	}
	g.lastID++
	r.ID = g.lastID
	taken := &request{clientRequest: r}
	g.requests[r.ID], g.keys[r.key] = taken, true
	g.heldBytes += r.size
	if g.endBy > 0 {
		r.Deadline = min(r.Deadline, g.endBy)
	}
	if r.Deadline <= g.now {
		g.observe.requests.Add(requestsExpired)
	}
	g.tell(policy.Arrival{Request: r.Request})
	g.at(r.Deadline+overdue, func() {
		delete(g.keys, r.key)
		g.cutOff(taken)
	})
}

// refused gives a refusal of the module.
func (g *Gateway) refused(a policy.Reject) {
	if r := g.requests[a.ID]; r != nil && !r.final {
		g.observe.requestEnded(r, requestsRefused)
		g.answer(r, busy(a.RetryAfter))
	}
}

// failed gives a failure of the module.
func (g *Gateway) failed(a policy.Fail) {
	if r := g.requests[a.ID]; r != nil && !r.final {
		g.observe.requestEnded(r, requestsFailed)
		g.answer(r, []byte("-ERR failed\r\n"))
	}
}

// noteLate tells of a request whose final answer comes after its client's time.
func (g *Gateway) noteLate(r *request) {
	due := max(r.until, g.epoch+g.holdUps.last()) // nothing is answered while the process does not run
	if g.now > due+lateMost {
		g.observe.violated(ruleInTime, r.clientRequest, g.now, "answered late")
	}
	if g.now > r.until && r.until > r.readAt { // else it was late as it came
		g.observe.requests.Add(requestsLate)
		g.observe.anomaly(r, "answered after the client's time", g.now)
	}
}

// answer gives the final answer, once.
func (g *Gateway) answer(r *request, b []byte) {
	if r == nil || r.final {
		return
	}
	g.noteLate(r)
	r.final = true
	r.respond(b)
	g.unsend(r)
	g.forget(r)
}

// unsend ends the attempts of a request that is over which still wait for a connection, or for their turn on it: they must
// not be sent any more, also where attempts that are out may not be called off.
func (g *Gateway) unsend(r *request) {
	for _, a := range r.attempts {
		g.pool.Withdraw(a.Attempt)
	}
}

// abandon ends a request whose client has gone.
func (g *Gateway) abandon(r *request) {
	if r.final {
		return
	}
	r.final = true
	g.observe.requestEnded(r, requestsAbandoned)
	g.tell(policy.ClientDisconnected{ID: r.ID})
	g.unsend(r)
	g.forget(r)
}

// cutOff fails a request that the module has left unanswered until the last moment.
func (g *Gateway) cutOff(r *request) {
	if r.final {
		return
	}
	g.observe.requests.Add(requestsCutOff)
	g.observe.anomaly(r, "no answer in time", g.now)
	text := []byte("-ERR failed\r\n")
	if len(r.attempts) == 0 { // it never ran
		text = g.turnedAway
	}
	g.tell(policy.ClientDisconnected{ID: r.ID})
	g.answer(r, text)
}

func (g *Gateway) forget(r *request) {
	if r.final && r.openAttempts == 0 && g.requests[r.ID] == r {
		g.heldBytes -= r.size
		delete(g.requests, r.ID)
		r.release() // its timer may hold it for seconds more
		r.attempts = nil
	}
}
