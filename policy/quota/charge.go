package quota

import "lemontack/policy/model"

// Request holds the properties of a request that its quotas depend on.
type Request struct {
	ID             model.RequestID
	Customer       string
	Plan           string
	PriorityWeight float64 // weight of its class, before the plan's price
	Units          float64 // units charged to its quotas, above 0
	GatewaySpan    int     // number of gateways at which the customer's requests arrive
	FirstGateway   int     // index of the first of these gateways
	IsRetry        bool    // the client has marked it as a retry
}

// Charge is the account of one request: the units and permits that it has taken from the quotas of its
// customer and may have to return. It must not be copied after it has been passed to Admit.
type Charge struct {
	plan                   *planState
	customer               *customer
	priorityWeight         float64
	units                  float64
	attemptsInFlight       int
	permits                int    // number of permits held
	semaphoreName          string // name on the counter under which the permits were acquired
	id                     model.RequestID
	isRetry                bool
	leaseCharged           bool // the units were taken from the lease
	claimCharged           bool // the units were claimed from the central bucket
	ceilingGranted         bool // the counter has granted the units within the ceiling
	dispatched             bool // the first attempt has started
	mayHaveReachedEndpoint bool // an attempt may have reached an endpoint
	finished               bool // the request has its final answer, or its client has disconnected
	closed                 bool // finished, without attempts in flight
}

// NewCharge returns the account of a new request, to be passed to Admit.
func (m *Manager) NewCharge(request Request) Charge {
	plan := m.planFor(request.Plan)
	customer := m.customerFor(request, plan)
	customer.openCharges++
	return Charge{
		id:             request.ID,
		plan:           plan,
		customer:       customer,
		priorityWeight: request.PriorityWeight,
		units:          request.Units,
		isRetry:        request.IsRetry,
	}
}

// Plan returns the plan of the request. The caller must not change it.
func (charge *Charge) Plan() *model.Plan { return &charge.plan.Plan }

// MayDispatch reports whether the limit on concurrent attempts and the ceiling permit an attempt of the
// request to start now.
func (m *Manager) MayDispatch(charge *Charge) bool {
	c := charge.customer
	needsConcurrencyShare := charge.plan.MaxConcurrency > 0 && charge.permits == 0
	if needsConcurrencyShare && c.attemptsInFlight >= m.concurrencyShare(c) {
		return false
	}
	return charge.dispatched || m.ceilingAllows(charge)
}

// AttemptStarted records the start of an attempt of an admitted request.
func (m *Manager) AttemptStarted(charge *Charge) {
	if !charge.dispatched {
		charge.dispatched = true
		charge.customer.ceiling.tokens -= charge.units
	}
	charge.attemptsInFlight++
	charge.customer.attemptsInFlight++
	if charge.permits > 0 && charge.attemptsInFlight > charge.permits {
		m.adjustPermits(charge, charge.attemptsInFlight)
	}
}

// AttemptEnded records the end of an attempt. The caller then either continues or finishes the request, and
// calls Release.
func (m *Manager) AttemptEnded(charge *Charge, outcome model.Outcome) {
	charge.mayHaveReachedEndpoint = charge.mayHaveReachedEndpoint || outcome != model.NotSent
	charge.attemptsInFlight--
	charge.customer.attemptsInFlight--
}

// Settle corrects the units of a request to those stated in its answer, if its plan settles units this way.
func (m *Manager) Settle(charge *Charge, settledUnits float64) {
	if !charge.plan.SettledByAnswer || settledUnits <= 0 {
		return
	}
	c := charge.customer
	if charge.leaseCharged {
		c.lease.tokens -= settledUnits - charge.units
	}
	if charge.leaseCharged && c.hasCentralBucket || charge.claimCharged {
		c.unreportedUnits += settledUnits - charge.units
	}
}

// Finish records that the request has its final answer or its client has disconnected, and releases the
// units and permits that it no longer needs.
func (m *Manager) Finish(charge *Charge) {
	charge.finished = true
	m.Release(charge)
}

// Release returns the units of a request that finished before any part of it was sent, and the permits that
// no attempt of it needs. It closes the account of a finished request without attempts in flight.
func (m *Manager) Release(charge *Charge) {
	m.refundTokens(charge)
	m.releasePermits(charge)
	if charge.finished && charge.attemptsInFlight == 0 && !charge.closed {
		charge.closed = true
		charge.customer.openCharges--
	}
}

// refundTokens returns the units of a finished request if no part of it was sent: its client disconnected,
// or its deadline passed, while it waited in the queue or for a connection. Units beyond the capacity of
// the lease go back to the token bucket: the lease has been refilled in the meantime, and would exceed the
// gateway's share.
func (m *Manager) refundTokens(charge *Charge) {
	isCharged := charge.leaseCharged || charge.claimCharged
	if !charge.finished || charge.attemptsInFlight > 0 || charge.mayHaveReachedEndpoint || !isCharged {
		return
	}
	c := charge.customer
	switch {
	case !c.hasCentralBucket:
		headroom := m.leaseHeadroom(c)
		c.lease.tokens += charge.units
		c.extendLease(-max(0, charge.units-headroom))
	case charge.claimCharged:
		m.refundClaim(c, charge.units)
	default:
		c.lease.tokens += min(charge.units, m.leaseHeadroom(c))
		c.unreportedUnits -= charge.units
	}
	charge.leaseCharged = false
	charge.claimCharged = false
}
