package policy

import (
	"slices"
	"sort"
)

// enqueue puts a request at the end of the queue of its priority.
func (g *Gateway) enqueue(r *request) {
	r.priority = r.priorityValue()
	i := sort.Search(len(g.queue), func(i int) bool { return g.queue[i].priority < r.priority })
	g.queue = slices.Insert(g.queue, i, r)
	r.queued = true
}

func (g *Gateway) dequeue(r *request) {
	i := slices.Index(g.queue, r)
	g.queue, r.queued = slices.Delete(g.queue, i, i+1), false
}

// dispatch fills the window: the head of the highest queue goes first. One that may not go yet, by its
// customer's cap or ceiling or for want of a server of its group, lets the next pass.
func (g *Gateway) dispatch() {
	for i := 0; i < len(g.queue) && g.windowHasCapacity(); {
		r := g.queue[i]
		var s *endpoint
		if g.mayDispatch(r) {
			s = g.pickEndpoint(r)
		}
		if s == nil {
			i++
			continue
		}
		g.dequeue(r)
		g.startAttempt(r, s)
	}
}

func (g *Gateway) mayDispatch(r *request) bool {
	return g.now < r.Deadline && g.quota.MayDispatch(&r.charge)
}
