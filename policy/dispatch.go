package policy

// enqueue queues a request by its priority, behind those of the same priority.
func (g *Gateway) enqueue(r *request) {
	g.queue.Push(r, r.priority())
	r.queued = true
}

// dequeue takes a request out of the queue.
func (g *Gateway) dequeue(r *request) {
	g.queue.Remove(r)
	r.queued = false
}

// priority is what an answer earns: priority weight of the class times price of the plan, less for a request
// over its quota and for a late answer.
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

// saturated reports whether requests inside their quotas wait for capacity, or are about to.
func (g *Gateway) saturated() bool {
	return g.queue.Len() > 0 || g.limiter.NearlyFull()
}

// dispatch starts attempts from the head of the queue while the window has capacity. A request that may not
// go yet, because of its customer's quotas or for want of an endpoint, lets the ones behind it pass.
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

// mayDispatch reports whether an attempt may start by the request's deadline and its customer's concurrency
// quota and ceiling.
func (g *Gateway) mayDispatch(r *request) bool {
	if g.now >= r.Deadline {
		return false
	}
	return g.quota.MayDispatch(&r.charge)
}
