package scale

import (
	"math/rand/v2"
	"time"

	"lemontack/internal/minheap"
	"lemontack/internal/standin"
	"lemontack/policy"
)

const (
	counterLatency   = 500 * time.Microsecond // time from a call of the simulated counter to its reply
	simulatedStart   = 500_000 * time.Hour    // start of the simulated clock; late enough that a backend started at 0 is warm
	replyGracePeriod = 8 * time.Millisecond   // time that a client waits beyond the deadline of its request
)

// hollowIngress is an ingress without sockets to clients and backends: the real policy with drawn requests and modelled
// backends. On a simulated clock, which advance moves, its counter is a table in memory; once connected it runs in real
// time and has real clients of discovery and of the counter. One goroutine owns it; other goroutines may call only post
// and runInEventLoop.
type hollowIngress struct {
	index    int // index in the fleet
	settings policy.Settings
	gateway  *policy.Gateway
	rng      *rand.Rand
	backends *backendModel
	recorder *timeRecorder
	tally    tally

	now    time.Duration // Unix time, or the time of the simulated clock
	timers *minheap.Heap[*timer]

	tenants          []tenant
	requestRate      float64 // requests per second; zero means that none arrive
	arrivalScheduled bool
	requests         map[policy.RequestID]*request // requests that are not finished or have attempts in flight
	lastRequestID    policy.RequestID

	queuedEvents []policy.Event  // events for the policy
	actions      []policy.Action // result of the last event; the slice is reused
	eventStart   time.Time       // time at which the policy received its last event

	cachedEndpoints     map[policy.EndpointID]policy.Endpoint // current list; empty unless the policy polls endpoints
	subset              endpointSubset                        // used on a simulated clock; in real time the client has its own
	gatewaysPerEndpoint float64                               // value of the last update
	appliedRevisions    []appliedRevision

	counterTable *standin.CounterTable // nil once connected
	live         *liveConnection       // nil on a simulated clock
}

// appliedRevision is a revision of the endpoint list with the time at which it was made or reached an ingress.
type appliedRevision struct {
	revision int64
	at       time.Time
}

// request is a request that the policy handles.
type request struct {
	arrivedAt time.Duration
	attempts  []attempt
	inFlight  int  // attempts that have not ended
	finished  bool // answered, rejected, failed or abandoned by the client
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	endpoint  policy.EndpointID
	sentAt    time.Duration
	holdsSlot bool // the attempt occupies a slot of the backend
	ended     bool
}

// newHollowIngress returns the ingress at an index of the fleet, on a simulated clock.
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

// loadEndpoints passes the endpoint list of a configuration to the policy.
func (h *hollowIngress) loadEndpoints(targets []standin.Target) {
	h.applyUpdate(newSnapshot(0, targets))
}

// applyUpdate passes the ingress's subset of a list or a change to the policy.
func (h *hollowIngress) applyUpdate(update endpointUpdate) {
	if update = h.subset.apply(update); update.isSnapshot() || update.size() > 0 {
		h.deliverUpdate(update)
	}
}

// deliverUpdate passes a list or a change to the policy unfiltered, and records its revision.
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

// enqueue adds an event for the policy, which handleQueued delivers.
func (h *hollowIngress) enqueue(event policy.Event) { h.queuedEvents = append(h.queuedEvents, event) }

// handleQueued passes the queued events to the policy and performs its actions, which may queue more events.
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
	clear(h.queuedEvents) // releases the events for garbage collection
	h.queuedEvents = h.queuedEvents[:0]
}

// countEvent adds an event to the tally and returns the metric of its handling time.
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
			h.tally.ListSnapshots++
			return metricSnapshot
		}
		h.tally.EndpointChanges++
		return metricChange
	}
	return metricAttemptEnd
}

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

// enqueueCachedEndpoints queues the endpoint list that the policy requested. The watch is always open, so that the
// cached list is the current one.
func (h *hollowIngress) enqueueCachedEndpoints() {
	event := policy.EndpointsChanged{IsSnapshot: true, GatewaysPerEndpoint: h.gatewaysPerEndpoint}
	for _, e := range h.cachedEndpoints {
		event.Endpoints = append(event.Endpoints, e)
	}
	h.enqueue(event)
}

// generateRequest draws a request with the arrival time due, and queues it for the policy.
func (h *hollowIngress) generateRequest(due time.Duration) {
	newRequest := drawRequest(h.rng, h.tenants, due)
	h.lastRequestID++
	newRequest.ID = h.lastRequestID
	h.requests[newRequest.ID] = &request{arrivedAt: due}
	h.tally.Requests++
	h.enqueue(policy.Arrival{Request: newRequest})
	h.timers.Push(&timer{at: newRequest.Deadline + replyGracePeriod, kind: clientTimeoutTimer, requestID: newRequest.ID})
}

// startAttempt starts an attempt at its modelled backend and schedules its end.
func (h *hollowIngress) startAttempt(send policy.Send) {
	req := h.requests[send.ID]
	if req == nil {
		return
	}
	if len(req.attempts) == 0 {
		h.recorder.record(h.index, metricAddedLatency, h.now-req.arrivedAt+time.Since(h.eventStart))
	}
	h.tally.Attempts++
	latency, outcome := h.backends.startAttempt(send.Endpoint, h.now, h.rng)
	req.attempts = append(req.attempts, attempt{
		endpoint:  send.Endpoint,
		sentAt:    h.now,
		holdsSlot: outcome.Outcome == policy.Succeeded,
	})
	req.inFlight++
	if send.AttemptDeadline > 0 && h.now+latency > send.AttemptDeadline {
		latency, outcome = max(0, send.AttemptDeadline-h.now), policy.AttemptEnded{Outcome: policy.TimedOut}
	}
	h.schedule(latency, timer{kind: attemptEndTimer, requestID: send.ID, attempt: len(req.attempts) - 1, outcome: outcome})
}

// endAttempt reports the end of an attempt to the policy. It does nothing if the attempt has already ended.
func (h *hollowIngress) endAttempt(id policy.RequestID, index int, outcome policy.AttemptEnded) {
	req := h.requests[id]
	if req == nil || index >= len(req.attempts) || req.attempts[index].ended {
		return
	}
	att := &req.attempts[index]
	att.ended = true
	req.inFlight--
	if att.holdsSlot {
		h.backends.finishAttempt(att.endpoint)
	}
	if outcome.Outcome == policy.Succeeded && !req.finished {
		req.finished = true
		h.tally.Served++
	}
	outcome.ID, outcome.Attempt, outcome.Endpoint = id, index, att.endpoint
	outcome.Latency, outcome.RequestFinished = h.now-att.sentAt, req.finished
	h.enqueue(outcome)
	h.removeIfDone(id, req)
}

// finishRequest ends a request that no backend has answered, and increments outcomeCount. It does nothing if the request
// is already finished.
func (h *hollowIngress) finishRequest(id policy.RequestID, outcomeCount *uint64) {
	if req := h.requests[id]; req != nil && !req.finished {
		*outcomeCount++
		req.finished = true
		h.removeIfDone(id, req)
	}
}

// disconnectClient ends a request whose client no longer waits. It does nothing if the request is already finished.
func (h *hollowIngress) disconnectClient(id policy.RequestID) {
	if req := h.requests[id]; req != nil && !req.finished {
		h.tally.Unanswered++
		req.finished = true
		h.enqueue(policy.ClientDisconnected{ID: id})
		h.removeIfDone(id, req)
	}
}

func (h *hollowIngress) removeIfDone(id policy.RequestID, req *request) {
	if req.finished && req.inFlight == 0 {
		delete(h.requests, id)
	}
}

// clearCounterTable discards all totals of the simulated counter.
func (h *hollowIngress) clearCounterTable() { h.counterTable = standin.NewCounterTable() }

// incrementCounter calls the real counter, or updates the table that replaces it on a simulated clock.
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
