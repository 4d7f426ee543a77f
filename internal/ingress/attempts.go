package ingress

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/policy"
)

// send begins an attempt, if the guard lets it.
func (g *Gateway) send(s policy.Send) {
	r, be := g.requests[s.ID], g.backends[s.Endpoint]
	if r == nil {
		return
	}
	if be == nil { // gone and forgotten
		be = &backend{Endpoint: policy.Endpoint{ID: s.Endpoint, State: policy.Removed}}
	}
	a := &attempt{req: r, n: len(r.attempts), be: be, began: g.now, stop: r.Deadline}
	if s.AttemptDeadline > 0 {
		a.stop = min(s.AttemptDeadline, r.Deadline)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if !g.begins(a) {
		return
	}
	g.observe.attemptBegins(a)
	g.at(a.stop, func() { g.giveUp(a, policy.TimedOut) })
	g.place(a)
}

// command is what an attempt writes: the client's own, with the time that is left for it.
func (g *Gateway) command(a *attempt) job {
	if a.req == nil {
		return job{a: a, buf: redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")}
	}
	told := max(1, (a.stop - g.now).Milliseconds())
	r := a.req
	b := redcon.AppendArray(make([]byte, 0, 192+len(r.Args[len(r.Args)-1])), len(r.Args))
	for i, arg := range r.Args {
		if i == 3 {
			fields := append(make([]byte, 0, len(arg)+8), arg[:r.TimeoutStart]...)
			fields = strconv.AppendInt(fields, told, 10)
			arg = append(fields, arg[r.TimeoutEnd:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return job{a: a, told: time.Duration(told) * time.Millisecond, buf: b}
}

// end tells the module how an attempt ended, once; the first that is served answers the client.
func (g *Gateway) end(a *attempt, o policy.Outcome, rep reply) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	r := a.req
	if r == nil {
		g.tell(policy.HealthCheckEnded{Endpoint: a.be.ID, Outcome: o, Latency: g.now - a.began, LoadReport: rep.load})
		return
	}
	if o == policy.Succeeded && rep.value == nil {
		o = policy.Failed
		a.outcome = o
	}
	g.observe.attemptEnded(a, g.now-a.began)
	if o == policy.Succeeded && !r.final {
		g.noteLate(r)
		r.final = true
		g.observe.requestEnded(r, requestsServed)
		r.Respond(redcon.AppendBulk(make([]byte, 0, len(rep.value)+16), rep.value))
	}
	r.out--
	g.tell(policy.AttemptEnded{ID: r.ID, Attempt: a.n, Endpoint: a.be.ID, Outcome: o, Latency: g.now - a.began,
		RequestFinished: r.final, SettledUnits: min(rep.settled, g.mostUnits), LoadReport: rep.load})
	g.forget(r)
}

func (g *Gateway) probe(id policy.EndpointID) {
	be := g.backends[id]
	if be == nil {
		return
	}
	a := &attempt{be: be, began: g.now, stop: g.now + probeTimeout}
	g.at(a.stop, func() { g.giveUp(a, policy.TimedOut) })
	g.place(a)
}
