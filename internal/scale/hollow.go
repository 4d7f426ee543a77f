package scale

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"lemontack/internal/standin"
	"lemontack/policy"
)

const (
	eventQueueLength = 256
	maxLateness      = 250 * time.Millisecond // behind its own clock, an ingress goes on from now and leaves out what was due
	counterLatency   = 500 * time.Microsecond // of the counter, on a driven clock
	simulatedStart   = 500_000 * time.Hour    // a driven clock begins then, so that a start of 0 is long ago
	replyGracePeriod = 8 * time.Millisecond   // after a request's time, without an answer
)

// Tally counts what a hollow ingress did.
type Tally struct {
	Requests, Served, Rejected, Failed, Unanswered          uint64
	Attempts, CounterCalls, TimerEvents, Changes, Snapshots uint64
	Skipped                                                 uint64 // arrivals that a busy machine would have played too late
}

func (t Tally) minus(u Tally) Tally {
	return Tally{t.Requests - u.Requests, t.Served - u.Served, t.Rejected - u.Rejected, t.Failed - u.Failed,
		t.Unanswered - u.Unanswered, t.Attempts - u.Attempts, t.CounterCalls - u.CounterCalls, t.TimerEvents - u.TimerEvents, t.Changes - u.Changes,
		t.Snapshots - u.Snapshots, t.Skipped - u.Skipped}
}

func (t Tally) plus(u Tally) Tally { return t.minus(Tally{}.minus(u)) }

// appliedRevision is a list or a change that came to be in force.
type appliedRevision struct {
	revision int64
	at       time.Time
}

// HollowIngress is an ingress without clients and backends: the real module, with arrivals and answers drawn. On a driven
// clock its counter is a table; live it talks to discovery and a counter as a real one does. One goroutine owns it.
type HollowIngress struct {
	index               int
	settings            policy.Settings
	gateway             *policy.Gateway
	rng                 *rand.Rand
	backends            *BackendModel
	recorder            *Recorder
	tenants             []tenant
	requestRate         float64 // requests a second; 0: none come
	arrivalScheduled    bool
	now                 time.Duration
	eventStart          time.Time // of the event in hand
	timers              timerHeap
	requests            map[policy.RequestID]*request
	lastRequestID       policy.RequestID
	queuedEvents        []policy.Event
	actions             []policy.Action
	tally               Tally
	cachedEndpoints     map[policy.EndpointID]policy.Endpoint // kept where the module asks for the list
	subset              endpointSubset                        // on a driven clock; live it is the client's
	gatewaysPerEndpoint float64
	appliedRevisions    []appliedRevision

	counterTotals map[string]float64 // the counter, on a driven clock
	clients       controlClients     // live
	events        chan clientEvent
	done          chan struct{}
	startedAt     time.Time
}

type request struct {
	arrived  time.Duration
	attempts []attempt
	inFlight int
	answered bool
}

type attempt struct {
	endpoint  policy.EndpointID
	sentAt    time.Duration
	holdsSlot bool // a place at the backend
	ended     bool
}

// timerKind is due on a hollow ingress's clock.
type timerKind uint8

const (
	arrivalTimer timerKind = iota
	attemptTimer
	clientTimer
	policyTimer
	counterTimeoutTimer
	counterReplyTimer
)

type timer struct {
	at        time.Duration
	kind      timerKind
	requestID policy.RequestID
	attempt   int // attempt
	outcome   policy.AttemptEnded
	reply     policy.CounterReply
	call      counterCall
}

// timerHeap is a heap of what is due, the earliest first.
type timerHeap []*timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is for container/heap.
func (a *timerHeap) Push(x any) { *a = append(*a, x.(*timer)) }

// Pop is for container/heap.
func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// NewHollowIngress returns the ingress of that number, on a driven clock.
func NewHollowIngress(s FleetShape, me int, back *BackendModel, rec *Recorder, seed uint64) (*HollowIngress, error) {
	set, err := s.policySettings(me)
	if err != nil {
		return nil, err
	}
	mod, err := policy.New(set, seed+uint64(me))
	if err != nil {
		return nil, err
	}
	return &HollowIngress{index: me, settings: set, gateway: mod, rng: rand.New(rand.NewPCG(seed, uint64(me))), backends: back, recorder: rec,
		tenants: s.tenantsOf(me), now: simulatedStart, requests: map[policy.RequestID]*request{},
		counterTotals: map[string]float64{}, cachedEndpoints: map[policy.EndpointID]policy.Endpoint{},
		subset: newEndpointSubset(set)}, nil
}

// LoadEndpoints hands over the list that a configuration brings.
func (h *HollowIngress) LoadEndpoints(targets []standin.Target) {
	h.applyUpdate(newSnapshot(0, targets))
}

// applyUpdate hands over what is kept of a list or a change.
func (h *HollowIngress) applyUpdate(u endpointUpdate) {
	if u = h.subset.apply(u); u.isSnapshot() || u.size() > 0 {
		h.deliverUpdate(u)
	}
}

func (h *HollowIngress) schedule(after time.Duration, it timer) {
	it.at = h.now + after
	heap.Push(&h.timers, &it)
}

// setRate begins or ends the arrivals.
func (h *HollowIngress) setRate(rate float64) {
	h.requestRate = rate
	if rate > 0 && !h.arrivalScheduled {
		h.arrivalScheduled = true
		h.schedule(h.interarrivalTime(), timer{kind: arrivalTimer})
	}
}

func (h *HollowIngress) interarrivalTime() time.Duration {
	return time.Duration(h.rng.ExpFloat64() / h.requestRate * float64(time.Second))
}

// Advance plays what is due, without waiting, until the clock has advanced so far or more says no.
func (h *HollowIngress) Advance(span time.Duration, more func() bool) {
	end := h.now + span
	for len(h.timers) > 0 && h.timers[0].at <= end && more() {
		it := heap.Pop(&h.timers).(*timer)
		h.now = it.at
		h.fire(it)
	}
	if len(h.timers) == 0 || h.timers[0].at > end {
		h.now = end
	}
}

func (h *HollowIngress) fire(it *timer) {
	switch it.kind {
	case arrivalTimer:
		h.arrivalScheduled = h.requestRate > 0
		switch {
		case !h.arrivalScheduled:
		case h.now-it.at > maxLateness:
			h.tally.Skipped++
			h.schedule(h.interarrivalTime(), timer{kind: arrivalTimer})
		default:
			h.arrive(it.at)
			heap.Push(&h.timers, &timer{at: it.at + h.interarrivalTime(), kind: arrivalTimer})
		}
	case attemptTimer:
		h.endAttempt(it.requestID, it.attempt, it.outcome)
	case clientTimer:
		if r := h.requests[it.requestID]; r != nil && !r.answered {
			h.tally.Unanswered++
			r.answered = true
			h.enqueue(policy.ClientDisconnected{ID: it.requestID})
			h.removeIfDone(it.requestID, r)
		}
	case policyTimer:
		h.enqueue(policy.TimerFired{})
	case counterReplyTimer:
		h.enqueue(it.reply)
	case counterTimeoutTimer:
		if reply, ok := it.call.expire(); ok {
			h.enqueue(reply)
		}
	}
	h.handleQueued()
}

func (h *HollowIngress) arrive(due time.Duration) {
	q := drawRequest(h.rng, h.tenants, due)
	h.lastRequestID++
	q.ID = h.lastRequestID
	h.requests[q.ID] = &request{arrived: due}
	h.tally.Requests++
	h.enqueue(policy.Arrival{Request: q})
	heap.Push(&h.timers, &timer{at: q.Deadline + replyGracePeriod, kind: clientTimer, requestID: q.ID})
}

func (h *HollowIngress) enqueue(ev policy.Event) { h.queuedEvents = append(h.queuedEvents, ev) }

// handleQueued hands over what is queued and carries out the actions, which may queue more.
func (h *HollowIngress) handleQueued() {
	for i := 0; i < len(h.queuedEvents); i++ {
		h.eventStart = time.Now()
		h.actions = h.gateway.Handle(h.now, h.queuedEvents[i], h.actions[:0])
		h.recorder.record(h.index, h.countEvent(h.queuedEvents[i]), time.Since(h.eventStart))
		for _, a := range h.actions {
			h.perform(a)
		}
	}
	clear(h.queuedEvents)
	h.queuedEvents = h.queuedEvents[:0]
}

// countEvent adds the event to the tally and says what its time is about.
func (h *HollowIngress) countEvent(ev policy.Event) metric {
	switch ev := ev.(type) {
	case policy.Arrival:
		return metricArrival
	case policy.CounterReply:
		return metricCounterReply
	case policy.TimerFired:
		h.tally.TimerEvents++
		return metricTimer
	case policy.EndpointsChanged:
		if ev.Snapshot {
			h.tally.Snapshots++
			return metricSnapshot
		}
		h.tally.Changes++
		return metricChange
	}
	return metricAttemptEnd
}

func (h *HollowIngress) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.startAttempt(a)
	case policy.Cancel:
		h.endAttempt(a.ID, a.Attempt, policy.AttemptEnded{Outcome: policy.Cancelled})
	case policy.Reject:
		h.finishRequest(a.ID, &h.tally.Rejected)
	case policy.Fail:
		h.finishRequest(a.ID, &h.tally.Failed)
	case policy.SetTimer:
		h.schedule(a.After, timer{kind: policyTimer})
	case policy.IncrementCounter:
		h.incrementCounter(a)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list held is the answer
		ev := policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: h.gatewaysPerEndpoint}
		for _, s := range h.cachedEndpoints {
			ev.Endpoints = append(ev.Endpoints, s)
		}
		h.enqueue(ev)
	}
}

func (h *HollowIngress) startAttempt(a policy.Send) {
	r := h.requests[a.ID]
	if r == nil {
		return
	}
	if len(r.attempts) == 0 {
		h.recorder.record(h.index, metricAddedLatency, h.now-r.arrived+time.Since(h.eventStart))
	}
	h.tally.Attempts++
	took, end := h.backends.startAttempt(a.Endpoint, h.now, h.rng)
	r.attempts = append(r.attempts, attempt{endpoint: a.Endpoint, sentAt: h.now, holdsSlot: end.Outcome == policy.Succeeded})
	r.inFlight++
	if a.AttemptDeadline > 0 && h.now+took > a.AttemptDeadline {
		took, end = max(0, a.AttemptDeadline-h.now), policy.AttemptEnded{Outcome: policy.TimedOut}
	}
	h.schedule(took, timer{kind: attemptTimer, requestID: a.ID, attempt: len(r.attempts) - 1, outcome: end})
}

// endAttempt tells the module how an attempt ended, once.
func (h *HollowIngress) endAttempt(id policy.RequestID, n int, ev policy.AttemptEnded) {
	r := h.requests[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	a := &r.attempts[n]
	a.ended = true
	r.inFlight--
	if a.holdsSlot {
		h.backends.finishAttempt(a.endpoint)
	}
	if ev.Outcome == policy.Succeeded && !r.answered {
		r.answered = true
		h.tally.Served++
	}
	ev.ID, ev.Attempt, ev.Endpoint, ev.Latency, ev.RequestFinished = id, n, a.endpoint, h.now-a.sentAt, r.answered
	h.enqueue(ev)
	h.removeIfDone(id, r)
}

func (h *HollowIngress) finishRequest(id policy.RequestID, n *uint64) {
	if r := h.requests[id]; r != nil && !r.answered {
		*n++
		r.answered = true
		h.removeIfDone(id, r)
	}
}

func (h *HollowIngress) removeIfDone(id policy.RequestID, r *request) {
	if r.answered && r.inFlight == 0 {
		delete(h.requests, id)
	}
}

func (h *HollowIngress) incrementCounter(a policy.IncrementCounter) {
	h.tally.CounterCalls++
	if h.counterTotals == nil {
		h.schedule(h.settings.CounterTimeout, timer{kind: counterTimeoutTimer, call: h.clients.increment(a)})
		return
	}
	h.counterTotals[a.Name] += a.Add
	h.schedule(counterLatency, timer{kind: counterReplyTimer,
		reply: policy.CounterReply{Name: a.Name, Outcome: policy.Succeeded, Total: h.counterTotals[a.Name]}})
}

func (h *HollowIngress) deliverUpdate(u endpointUpdate) {
	ev := u.event()
	h.gatewaysPerEndpoint = ev.GatewaysPerEndpoint
	if h.settings.PollEndpoints {
		if ev.Snapshot {
			clear(h.cachedEndpoints)
		}
		for _, s := range ev.Endpoints {
			if h.cachedEndpoints[s.ID] = s; s.State == policy.Removed {
				delete(h.cachedEndpoints, s.ID)
			}
		}
	}
	h.enqueue(ev)
	h.handleQueued()
	h.appliedRevisions = append(h.appliedRevisions, appliedRevision{u.revision(), time.Now()})
}

// connect connects a hollow ingress with discovery and the counter; Live then runs it.
func (h *HollowIngress) connect(discovery, counter string, cached endpointUpdate, log *slog.Logger) {
	h.startedAt = time.Now()
	h.now = time.Duration(h.startedAt.UnixNano())
	h.events, h.done = make(chan clientEvent, eventQueueLength), make(chan struct{})
	cfg := clientConfig{discoveryAddr: discovery, counterAddr: counter, cached: cached, settings: h.settings}
	h.clients = newControlClients(cfg, h.post, log)
	h.counterTotals = nil
}

// post tells the ingress's goroutine; after its end nothing is told any more.
func (h *HollowIngress) post(ev clientEvent) {
	select {
	case h.events <- ev:
	case <-h.done:
	}
}

// do lets the ingress's goroutine run do, and waits for it.
func (h *HollowIngress) do(ctx context.Context, do func()) error {
	done := make(chan struct{})
	h.post(task(func() { do(); close(done) }))
	select {
	case <-done:
		return nil
	case <-h.done:
		return fmt.Errorf("hollow ingress %d has ended", h.index)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *HollowIngress) wallClock() time.Duration {
	return time.Duration(h.startedAt.UnixNano()) + time.Since(h.startedAt)
}

// Run runs the ingress in real time until ctx ends, and returns once its connections are closed.
func (h *HollowIngress) Run(ctx context.Context) {
	over := make(chan struct{})
	go func() {
		defer close(over)
		h.clients.run(ctx)
	}()
	h.eventLoop(ctx)
	close(h.done)
	<-over
}

func (h *HollowIngress) eventLoop(ctx context.Context) {
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		wait := time.Hour
		if len(h.timers) > 0 {
			wait = h.timers[0].at - h.wallClock()
		}
		wakeUp.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case ev := <-h.events:
			h.now = h.wallClock()
			ev.deliver(h)
		case <-wakeUp.C:
		}
		h.now = h.wallClock()
		for len(h.timers) > 0 && h.timers[0].at <= h.now {
			it := heap.Pop(&h.timers).(*timer)
			if it.kind == arrivalTimer {
				h.recorder.record(h.index, metricLateness, h.now-it.at)
			}
			h.fire(it)
		}
	}
}

// task is what the ingress's goroutine does between events for the owner of the fleet.
type task func()

func (t task) deliver(*HollowIngress) { t() }

func (u endpointUpdate) deliver(h *HollowIngress) { h.deliverUpdate(u) }

func (r counterResult) deliver(h *HollowIngress) {
	if reply, ok := r.reply(); ok {
		h.enqueue(reply)
		h.handleQueued()
	}
}
