package scale

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/policy"
)

const (
	hollowEvents = 256
	mostLate     = 250 * time.Millisecond // behind its own clock, an ingress goes on from now and leaves out what was due
	replyAfter   = 500 * time.Microsecond // of the counter, on a driven clock
	drivenStart  = 500_000 * time.Hour    // a driven clock begins then, so that a start of 0 is long ago
	overdue      = 8 * time.Millisecond   // after a request's time, without an answer
)

// Tally counts what a hollow ingress did.
type Tally struct {
	Requests, Served, Refused, Failed, Unanswered uint64
	Sends, Calls, Ticks, Changes, Lists           uint64
	Skipped                                       uint64 // arrivals that a busy machine would have played too late
}

func (t Tally) minus(u Tally) Tally {
	return Tally{t.Requests - u.Requests, t.Served - u.Served, t.Refused - u.Refused, t.Failed - u.Failed,
		t.Unanswered - u.Unanswered, t.Sends - u.Sends, t.Calls - u.Calls, t.Ticks - u.Ticks, t.Changes - u.Changes,
		t.Lists - u.Lists, t.Skipped - u.Skipped}
}

func (t Tally) plus(u Tally) Tally { return t.minus(Tally{}.minus(u)) }

// listed is a list or a change that came to be in force.
type listed struct {
	rev int64
	at  time.Time
}

// Hollow is an ingress without clients and backends: the real module, with arrivals and answers drawn. On a driven
// clock its counter is a table; live it talks to discovery and a counter as a real one does. One goroutine owns it.
type Hollow struct {
	me       int
	set      policy.Settings
	mod      *policy.Gateway
	rng      *rand.Rand
	back     *Backends
	rec      *Recorder
	tenants  []tenant
	rate     float64 // requests a second; 0: none come
	arriving bool
	now      time.Duration
	began    time.Time // of the event in hand
	due      agenda
	open     map[policy.RequestID]*request
	last     policy.RequestID
	queue    []policy.Event
	actions  []policy.Action
	tally    Tally
	held     map[policy.EndpointID]policy.Endpoint // kept where the module asks for the list
	kept     *discovery.Cache                      // on a driven clock; live it is the client's
	sharers  float64
	log      []listed

	totals map[string]float64 // the counter, on a driven clock
	parts  *liveClients       // live
	events chan any
	ended  chan struct{}
	start  time.Time
}

type request struct {
	arrived  time.Duration
	attempts []attempt
	out      int
	final    bool
}

type attempt struct {
	server policy.EndpointID
	sent   time.Duration
	holds  bool // a place at the backend
	ended  bool
}

// what is due on a hollow ingress's clock.
type what uint8

const (
	nextArrival what = iota
	attemptEnd
	giveUp
	tick
	callLate
	callReply
)

type item struct {
	at    time.Duration
	what  what
	id    policy.RequestID
	n     int // attempt
	end   policy.AttemptEnded
	reply policy.CounterReply
	call  *counterclient.Call
}

// agenda is a heap of what is due, the earliest first.
type agenda []*item

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is for container/heap.
func (a *agenda) Push(x any) { *a = append(*a, x.(*item)) }

// Pop is for container/heap.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// NewHollow returns the ingress of that number, on a driven clock.
func NewHollow(s Shape, me int, back *Backends, rec *Recorder, seed uint64) (*Hollow, error) {
	set, err := s.parsed(me)
	if err != nil {
		return nil, err
	}
	mod, err := policy.New(set, seed+uint64(me))
	if err != nil {
		return nil, err
	}
	return &Hollow{me: me, set: set, mod: mod, rng: rand.New(rand.NewPCG(seed, uint64(me))), back: back, rec: rec,
		tenants: s.tenantsOf(me), now: drivenStart, open: map[policy.RequestID]*request{},
		totals: map[string]float64{}, held: map[policy.EndpointID]policy.Endpoint{},
		kept: discovery.NewCache(set, slog.New(slog.DiscardHandler))}, nil
}

// Known hands over the list that a configuration brings.
func (h *Hollow) Known(targets []discovery.Entry) {
	h.told(discovery.EndpointList{Snapshot: true, Entries: targets})
}

// told hands over what is kept of a list or a change.
func (h *Hollow) told(f discovery.EndpointList) {
	if f = h.kept.Apply(f); f.Snapshot || len(f.Entries) > 0 {
		h.fleet(f)
	}
}

func (h *Hollow) schedule(after time.Duration, it item) {
	it.at = h.now + after
	heap.Push(&h.due, &it)
}

// setRate begins or ends the arrivals.
func (h *Hollow) setRate(rate float64) {
	h.rate = rate
	if rate > 0 && !h.arriving {
		h.arriving = true
		h.schedule(h.gap(), item{what: nextArrival})
	}
}

func (h *Hollow) gap() time.Duration {
	return time.Duration(h.rng.ExpFloat64() / h.rate * float64(time.Second))
}

// Drive plays what is due, without waiting, until the clock has advanced so far or more says no.
func (h *Hollow) Drive(span time.Duration, more func() bool) {
	end := h.now + span
	for len(h.due) > 0 && h.due[0].at <= end && more() {
		it := heap.Pop(&h.due).(*item)
		h.now = it.at
		h.ring(it)
	}
	if len(h.due) == 0 || h.due[0].at > end {
		h.now = end
	}
}

func (h *Hollow) ring(it *item) {
	switch it.what {
	case nextArrival:
		h.arriving = h.rate > 0
		switch {
		case !h.arriving:
		case h.now-it.at > mostLate:
			h.tally.Skipped++
			h.schedule(h.gap(), item{what: nextArrival})
		default:
			h.arrive(it.at)
			heap.Push(&h.due, &item{at: it.at + h.gap(), what: nextArrival})
		}
	case attemptEnd:
		h.end(it.id, it.n, it.end)
	case giveUp:
		if r := h.open[it.id]; r != nil && !r.final {
			h.tally.Unanswered++
			r.final = true
			h.tell(policy.ClientDisconnected{ID: it.id})
			h.forget(it.id, r)
		}
	case tick:
		h.tell(policy.TimerFired{})
	case callReply:
		h.tell(it.reply)
	case callLate:
		if reply, ok := it.call.Expire().Reply(); ok {
			h.tell(reply)
		}
	}
	h.flush()
}

func (h *Hollow) arrive(due time.Duration) {
	q := draw(h.rng, h.tenants, due)
	h.last++
	q.ID = h.last
	h.open[q.ID] = &request{arrived: due}
	h.tally.Requests++
	h.tell(policy.Arrival{Request: q})
	heap.Push(&h.due, &item{at: q.Deadline + overdue, what: giveUp, id: q.ID})
}

func (h *Hollow) tell(ev policy.Event) { h.queue = append(h.queue, ev) }

// flush hands over what is queued and carries out the actions, which may queue more.
func (h *Hollow) flush() {
	for i := 0; i < len(h.queue); i++ {
		h.began = time.Now()
		h.actions = h.mod.Handle(h.now, h.queue[i], h.actions[:0])
		h.rec.add(h.me, h.count(h.queue[i]), time.Since(h.began))
		for _, a := range h.actions {
			h.act(a)
		}
	}
	clear(h.queue)
	h.queue = h.queue[:0]
}

// count adds the event to the tally and says what its time is about.
func (h *Hollow) count(ev policy.Event) kind {
	switch ev := ev.(type) {
	case policy.Arrival:
		return handleArrival
	case policy.CounterReply:
		return handleReply
	case policy.TimerFired:
		h.tally.Ticks++
		return handleTick
	case policy.EndpointsChanged:
		if ev.Snapshot {
			h.tally.Lists++
			return handleList
		}
		h.tally.Changes++
		return handleChange
	}
	return handleAnswer
}

func (h *Hollow) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.send(a)
	case policy.Cancel:
		h.end(a.ID, a.Attempt, policy.AttemptEnded{Outcome: policy.Cancelled})
	case policy.Reject:
		h.answer(a.ID, &h.tally.Refused)
	case policy.Fail:
		h.answer(a.ID, &h.tally.Failed)
	case policy.SetTimer:
		h.schedule(a.After, item{what: tick})
	case policy.IncrementCounter:
		h.call(a)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list held is the answer
		ev := policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: h.sharers}
		for _, s := range h.held {
			ev.Endpoints = append(ev.Endpoints, s)
		}
		h.tell(ev)
	}
}

func (h *Hollow) send(a policy.Send) {
	r := h.open[a.ID]
	if r == nil {
		return
	}
	if len(r.attempts) == 0 {
		h.rec.add(h.me, addedLatency, h.now-r.arrived+time.Since(h.began))
	}
	h.tally.Sends++
	took, end := h.back.begin(a.Endpoint, h.now, h.rng)
	r.attempts = append(r.attempts, attempt{server: a.Endpoint, sent: h.now, holds: end.Outcome == policy.Succeeded})
	r.out++
	if a.AttemptDeadline > 0 && h.now+took > a.AttemptDeadline {
		took, end = max(0, a.AttemptDeadline-h.now), policy.AttemptEnded{Outcome: policy.TimedOut}
	}
	h.schedule(took, item{what: attemptEnd, id: a.ID, n: len(r.attempts) - 1, end: end})
}

// end tells the module how an attempt ended, once.
func (h *Hollow) end(id policy.RequestID, n int, ev policy.AttemptEnded) {
	r := h.open[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	a := &r.attempts[n]
	a.ended = true
	r.out--
	if a.holds {
		h.back.finish(a.server)
	}
	if ev.Outcome == policy.Succeeded && !r.final {
		r.final = true
		h.tally.Served++
	}
	ev.ID, ev.Attempt, ev.Endpoint, ev.Latency, ev.RequestFinished = id, n, a.server, h.now-a.sent, r.final
	h.tell(ev)
	h.forget(id, r)
}

func (h *Hollow) answer(id policy.RequestID, n *uint64) {
	if r := h.open[id]; r != nil && !r.final {
		*n++
		r.final = true
		h.forget(id, r)
	}
}

func (h *Hollow) forget(id policy.RequestID, r *request) {
	if r.final && r.out == 0 {
		delete(h.open, id)
	}
}

func (h *Hollow) call(a policy.IncrementCounter) {
	h.tally.Calls++
	if h.parts != nil {
		h.schedule(h.set.CounterTimeout, item{what: callLate, call: h.parts.counter.Increment(a)})
		return
	}
	h.totals[a.Name] += a.Add
	h.schedule(replyAfter, item{what: callReply,
		reply: policy.CounterReply{Name: a.Name, Outcome: policy.Succeeded, Total: h.totals[a.Name]}})
}

func (h *Hollow) fleet(f discovery.EndpointList) {
	ev := f.PolicyEvent()
	h.sharers = f.GatewaysPerEndpoint
	if h.set.PollEndpoints {
		if ev.Snapshot {
			clear(h.held)
		}
		for _, s := range ev.Endpoints {
			if h.held[s.ID] = s; s.State == policy.Removed {
				delete(h.held, s.ID)
			}
		}
	}
	h.tell(ev)
	h.flush()
	h.log = append(h.log, listed{f.Revision, time.Now()})
}

// goLive connects a hollow ingress with discovery and the counter; Live then runs it.
func (h *Hollow) goLive(discovery, counter string, known discovery.EndpointList, log *slog.Logger) {
	h.start = time.Now()
	h.now = time.Duration(h.start.UnixNano())
	h.events, h.ended = make(chan any, hollowEvents), make(chan struct{})
	cfg := clientConfig{Discovery: discovery, Counter: counter, Known: known, Settings: h.set}
	h.parts = newLiveClients(cfg, h.post, log)
	h.totals = nil
}

// post tells the ingress's goroutine; after its end nothing is told any more.
func (h *Hollow) post(ev any) {
	select {
	case h.events <- ev:
	case <-h.ended:
	}
}

// ask lets the ingress's goroutine run do, and waits for it.
func (h *Hollow) ask(ctx context.Context, do func()) error {
	done := make(chan struct{})
	h.post(func() { do(); close(done) })
	select {
	case <-done:
		return nil
	case <-h.ended:
		return fmt.Errorf("hollow ingress %d has ended", h.me)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Hollow) clock() time.Duration {
	return time.Duration(h.start.UnixNano()) + time.Since(h.start)
}

// Live runs the ingress in real time until ctx ends, and returns once its connections are closed.
func (h *Hollow) Live(ctx context.Context) {
	over := make(chan struct{})
	go func() {
		defer close(over)
		h.parts.run(ctx)
	}()
	h.loop(ctx)
	close(h.ended)
	<-over
}

func (h *Hollow) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Hour
		if len(h.due) > 0 {
			wait = h.due[0].at - h.clock()
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case ev := <-h.events:
			h.now = h.clock()
			h.hear(ev)
		case <-timer.C:
		}
		h.now = h.clock()
		for len(h.due) > 0 && h.due[0].at <= h.now {
			it := heap.Pop(&h.due).(*item)
			if it.what == nextArrival {
				h.rec.add(h.me, lateness, h.now-it.at)
			}
			h.ring(it)
		}
	}
}

func (h *Hollow) hear(ev any) {
	switch ev := ev.(type) {
	case func():
		ev()
	case discovery.EndpointList:
		h.fleet(ev)
	case counterclient.Result:
		if reply, ok := ev.Reply(); ok {
			h.tell(reply)
			h.flush()
		}
	}
}
