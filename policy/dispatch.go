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

// startVerdict says whether the next attempt of a request may start.
type startVerdict int

const (
	startNow   startVerdict = iota
	startLater              // its customer's quotas do not allow it yet, or its deadline has passed
	startNever              // no further attempt is safe, or its limit of attempts is reached
)

// checkStart is asked at the instant of sending, for first attempts, retries and hedges alike: what was
// allowed when a request was queued may not be allowed any more.
func (g *Gateway) checkStart(r *request) startVerdict {
	switch {
	case !g.mayAttempt(r):
		return startNever
	case g.now >= r.Deadline || !g.quota.MayDispatch(&r.charge):
		return startLater
	default:
		return startNow
	}
}

// dispatch starts attempts of queued requests, highest priority first, while the limiter's window has
// capacity. It skips requests that cannot start yet because of their customer's quotas, or because no
// endpoint may receive them, and ends those that can never start.
func (g *Gateway) dispatch() {
	position := 0
	for position < g.queue.Len() && g.limiter.HasCapacity(g.now) {
		if !g.dispatchAt(position) {
			position++
		}
	}
}

// dispatchAt starts the next attempt of the request at a position of the queue, or ends the request if none
// may ever start. It reports whether the request has left the queue.
func (g *Gateway) dispatchAt(position int) (hasLeft bool) {
	r := g.queue.At(position)
	switch g.checkStart(r) {
	case startNever:
		g.rejectOrFail(r)
		return true
	case startLater:
		return false
	}
	endpoint := g.pickEndpoint(r)
	if endpoint == nil {
		return false
	}
	g.queue.RemoveAt(position)
	r.queued = false
	g.startAttempt(r, endpoint)
	return true
}
