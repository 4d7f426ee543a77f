package scale

import (
	"math/rand/v2"
	"time"

	"lemontack/internal/minheap"
	"lemontack/internal/standin"
	"lemontack/policy"
)

const (
	counterLatency   = 500 * time.Microsecond // of the simulated counter, from a call to its reply
	simulatedStart   = 500_000 * time.Hour    // of the simulated clock, so that a backend started at 0 has long been warm
	replyGracePeriod = 8 * time.Millisecond   // a client's patience beyond the deadline of its request
)

// hollowIngress is an ingress without sockets to clients and backends: the real decision module with drawn requests and
// modelled backends. On a simulated clock, which advance moves, its counter is a table; once connected it runs in real
// time and has real clients of discovery and of the counter. It belongs to one goroutine, except for post and do.
type hollowIngress struct {
	index    int // of the ingress in its fleet
	settings policy.Settings
	gateway  *policy.Gateway
	rng      *rand.Rand
	backends *backendModel
	recorder *timeRecorder
	tally    tally

	now    time.Duration // on its clock: Unix time, or the simulated one
	timers *minheap.Heap[*timer]

	tenants          []tenant
	requestRate      float64 // requests a second; 0: none arrive
	arrivalScheduled bool
	requests         map[policy.RequestID]*request // that have not ended or have attempts in flight
	lastRequestID    policy.RequestID

	queuedEvents []policy.Event  // for the decision module
	actions      []policy.Action // its answer to the last event; reused for its memory
	eventStart   time.Time       // when the module received its last event

	cachedEndpoints     map[policy.EndpointID]policy.Endpoint // the current list; only where the module fetches lists
	subset              endpointSubset                        // on a simulated clock; live it is the client's
	gatewaysPerEndpoint float64                               // of the last update
	appliedRevisions    []appliedRevision

	counterTable *standin.CounterTable // on a simulated clock; nil once connected
	live         *liveConnection       // nil on a simulated clock
}

// appliedRevision is a revision of the endpoint list and when it was made or came to an ingress.
type appliedRevision struct {
	revision int64
	at       time.Time
}

// request is a request that the decision module knows.
type request struct {
	arrivedAt time.Duration
	attempts  []attempt
	inFlight  int  // of the attempts
	answered  bool // or given up by the client
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	endpoint  policy.EndpointID
	sentAt    time.Duration
	holdsSlot bool // at the backend
	ended     bool
}

// newHollowIngress returns the ingress with an index of the fleet, on a simulated clock.
func newHollowIngress(shape fleetShape, index int, backends *backendModel, recorder *timeRecorder,
	seed uint64) (*hollowIngress, error) {
	settings, err := shape.policySettings(index)
	if err != nil {
		return nil, err
	}
	gateway, err := policy.New(settings, seed+uint64(index))
	if err != nil {
		return nil, err
	}
	return &hollowIngress{
		index:           index,
		settings:        settings,
		gateway:         gateway,
		rng:             rand.New(rand.NewPCG(seed, uint64(index))),
		backends:        backends,
		recorder:        recorder,
		now:             simulatedStart,
		timers:          minheap.New(earlierTimer),
		tenants:         shape.tenantsOf(index),
		requests:        map[policy.RequestID]*request{},
		cachedEndpoints: map[policy.EndpointID]policy.Endpoint{},
		subset:          newEndpointSubset(settings),
		counterTable:    standin.NewCounterTable(),
	}, nil
}

// loadEndpoints gives the decision module the list of endpoints that a configuration holds.
func (h *hollowIngress) loadEndpoints(targets []standin.Target) {
	h.applyUpdate(newSnapshot(0, targets))
}

// applyUpdate gives the decision module its subset of a list or a change.
func (h *hollowIngress) applyUpdate(update endpointUpdate) {
	if update = h.subset.apply(update); update.isSnapshot() || update.size() > 0 {
		h.deliverUpdate(update)
	}
}

// deliverUpdate gives a list or a change to the decision module as it is.
func (h *hollowIngress) deliverUpdate(update endpointUpdate) {
	event := update.event()
	h.gatewaysPerEndpoint = event.GatewaysPerEndpoint
	if h.settings.PollEndpoints {
		h.cacheEndpoints(event)
	}
	h.enqueue(event)
	h.handleQueued()
	h.appliedRevisions = append(h.appliedRevisions, appliedRevision{update.revision(), time.Now()})
}

func (h *hollowIngress) cacheEndpoints(event policy.EndpointsChanged) {
	if event.IsSnapshot {
		clear(h.cachedEndpoints)
	}
	for _, e := range event.Endpoints {
		if e.State == policy.Removed {
			delete(h.cachedEndpoints, e.ID)
		} else {
			h.cachedEndpoints[e.ID] = e
		}
	}
}

// enqueue adds an event for the decision module; handleQueued passes it on.
func (h *hollowIngress) enqueue(event policy.Event) { h.queuedEvents = append(h.queuedEvents, event) }

// handleQueued passes the queued events to the decision module and performs its actions, which may queue further ones.
func (h *hollowIngress) handleQueued() {
	for i := 0; i < len(h.queuedEvents); i++ {
		event := h.queuedEvents[i]
		h.eventStart = time.Now()
		h.actions = h.gateway.Handle(h.now, event, h.actions[:0])
		h.recorder.record(h.index, h.countEvent(event), time.Since(h.eventStart))
		for _, action := range h.actions {
			h.perform(action)
		}
	}
	clear(h.queuedEvents) // so that the slice keeps no event alive
	h.queuedEvents = h.queuedEvents[:0]
}

// countEvent adds an event to the tally and returns the metric that its handling counts to.
func (h *hollowIngress) countEvent(event policy.Event) metric {
	switch event := event.(type) {
	case policy.Arrival:
		return metricArrival
	case policy.CounterReply:
		return metricCounterReply
	case policy.TimerFired:
		h.tally.TimerEvents++
		return metricTimer
	case policy.EndpointsChanged:
		if event.IsSnapshot {
			h.tally.Snapshots++
			return metricSnapshot
		}
		h.tally.Changes++
		return metricChange
	}
	return metricAttemptEnd
}

// perform carries out an action of the decision module.
func (h *hollowIngress) perform(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		h.startAttempt(a)
	case policy.Cancel:
		h.endAttempt(a.ID, a.Attempt, policy.AttemptEnded{Outcome: policy.Cancelled})
	case policy.Reject:
		h.finishRequest(a.ID, &h.tally.Rejected)
	case policy.Fail:
		h.finishRequest(a.ID, &h.tally.Failed)
	case policy.SetTimer:
		h.schedule(a.Delay, timer{kind: policyTimer})
	case policy.IncrementCounter:
		h.incrementCounter(a)
	case policy.WatchEndpoints, policy.FetchEndpoints:
		h.enqueueCachedEndpoints()
	}
}

// enqueueCachedEndpoints answers the module's wish for the list: the watch is always open, so that the cached list is
// the current one.
func (h *hollowIngress) enqueueCachedEndpoints() {
	event := policy.EndpointsChanged{IsSnapshot: true, GatewaysPerEndpoint: h.gatewaysPerEndpoint}
	for _, e := range h.cachedEndpoints {
		event.Endpoints = append(event.Endpoints, e)
	}
	h.enqueue(event)
}

// arrive draws a request that was due at a time and gives it to the decision module.
func (h *hollowIngress) arrive(due time.Duration) {
	drawn := drawRequest(h.rng, h.tenants, due)
	h.lastRequestID++
	drawn.ID = h.lastRequestID
	h.requests[drawn.ID] = &request{arrivedAt: due}
	h.tally.Requests++
	h.enqueue(policy.Arrival{Request: drawn})
	h.timers.Push(&timer{at: drawn.Deadline + replyGracePeriod, kind: clientTimer, requestID: drawn.ID})
}

// startAttempt sends an attempt to its modelled backend and schedules its end.
func (h *hollowIngress) startAttempt(send policy.Send) {
	r := h.requests[send.ID]
	if r == nil {
		return
	}
	if len(r.attempts) == 0 {
		h.recorder.record(h.index, metricAddedLatency, h.now-r.arrivedAt+time.Since(h.eventStart))
	}
	h.tally.Attempts++
	latency, outcome := h.backends.startAttempt(send.Endpoint, h.now, h.rng)
	r.attempts = append(r.attempts, attempt{
		endpoint:  send.Endpoint,
		sentAt:    h.now,
		holdsSlot: outcome.Outcome == policy.Succeeded,
	})
	r.inFlight++
	if send.AttemptDeadline > 0 && h.now+latency > send.AttemptDeadline {
		latency, outcome = max(0, send.AttemptDeadline-h.now), policy.AttemptEnded{Outcome: policy.TimedOut}
	}
	h.schedule(latency, timer{kind: attemptTimer, requestID: send.ID, attempt: len(r.attempts) - 1, outcome: outcome})
}

// endAttempt tells the decision module how an attempt ended; an attempt that has ended already is left alone.
func (h *hollowIngress) endAttempt(id policy.RequestID, index int, outcome policy.AttemptEnded) {
	r := h.requests[id]
	if r == nil || index >= len(r.attempts) || r.attempts[index].ended {
		return
	}
	a := &r.attempts[index]
	a.ended = true
	r.inFlight--
	if a.holdsSlot {
		h.backends.finishAttempt(a.endpoint)
	}
	if outcome.Outcome == policy.Succeeded && !r.answered {
		r.answered = true
		h.tally.Served++
	}
	outcome.ID, outcome.Attempt, outcome.Endpoint = id, index, a.endpoint
	outcome.Latency, outcome.RequestFinished = h.now-a.sentAt, r.answered
	h.enqueue(outcome)
	h.removeIfDone(id, r)
}

// finishRequest ends a request without a backend's answer and counts it.
func (h *hollowIngress) finishRequest(id policy.RequestID, counter *uint64) {
	if r := h.requests[id]; r != nil && !r.answered {
		*counter++
		r.answered = true
		h.removeIfDone(id, r)
	}
}

// disconnectClient ends a request whose client has waited in vain; one that has been answered is left alone.
func (h *hollowIngress) disconnectClient(id policy.RequestID) {
	if r := h.requests[id]; r != nil && !r.answered {
		h.tally.Unanswered++
		r.answered = true
		h.enqueue(policy.ClientDisconnected{ID: id})
		h.removeIfDone(id, r)
	}
}

func (h *hollowIngress) removeIfDone(id policy.RequestID, r *request) {
	if r.answered && r.inFlight == 0 {
		delete(h.requests, id)
	}
}

// clearCounterTable forgets all totals of the simulated counter.
func (h *hollowIngress) clearCounterTable() { h.counterTable = standin.NewCounterTable() }

// incrementCounter calls the real counter, or the table in its place.
func (h *hollowIngress) incrementCounter(a policy.IncrementCounter) {
	h.tally.CounterCalls++
	if h.live != nil {
		h.schedule(h.settings.CounterTimeout, timer{kind: counterTimeoutTimer, call: h.live.clients.increment(a)})
		return
	}
	total := h.counterTable.Add(time.Unix(0, int64(h.now)), a.Name, a.Delta, a.TTL)
	h.schedule(counterLatency, timer{kind: counterReplyTimer,
		reply: policy.CounterReply{Name: a.Name, Outcome: policy.Succeeded, Total: total}})
}
