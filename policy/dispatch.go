package policy

// enqueue queues a request by its priority, behind queued requests of the same priority.
func (g *Gateway) enqueue(r *request) {
	g.queue.Push(r, r.priority())
	r.queued = true
}

func (g *Gateway) dequeue(r *request) {
	g.queue.Remove(r)
	r.queued = false
}

// priority returns the value of an answer: the priority weight of the class times the price of the plan,
// reduced for a request over its quota and for a late answer.
func (r *request) priority() float64 {
	priority := r.class.PriorityWeight * r.plan.Price
	if r.overQuota {
		priority *= r.plan.OverQuotaWeight
	}
	if r.objectiveMissed {
		priority *= r.class.LateWeight
	}
	return priority
}

// saturated reports whether requests wait for capacity, or the limiter's window is so full that they soon
// will.
func (g *Gateway) saturated() bool {
	return g.queue.Len() > 0 || g.limiter.NearlyFull()
}

// dispatch starts attempts of queued requests, highest priority first, while the limiter's window has
// capacity. It skips requests that cannot start yet because of their customer's quotas, or because no
// endpoint may receive them.
func (g *Gateway) dispatch() {
	position := 0
	for position < g.queue.Len() && g.limiter.HasCapacity(g.now) {
		r := g.queue.At(position)
		if !g.mayDispatch(r) {
			position++
			continue
		}
		endpoint := g.pickEndpoint(r)
		if endpoint == nil {
			position++
			continue
		}
		g.queue.RemoveAt(position)
		r.queued = false
		g.startAttempt(r, endpoint)
	}
}

// mayDispatch reports whether the request's deadline has not passed, and its customer's concurrency quota and
// ceiling allow an attempt to start now.
func (g *Gateway) mayDispatch(r *request) bool {
	if g.now >= r.Deadline {
		return false
	}
	return g.quota.MayDispatch(&r.charge)
}
