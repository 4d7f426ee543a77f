package quota

import "lemontack/policy/model"

// Request is what the quotas have to know of a request.
type Request struct {
	ID             model.RequestID
	Customer       string
	Plan           string
	PriorityWeight float64 // of its class, before the plan's price
	Units          float64 // above 0
	GatewaySpan    int     // number of gateways that the customer's requests arrive at
	FirstGateway   int     // index of the first of them
	IsRetry        bool    // the client has marked it as a retry
}

// Charge is the account of one request: what it has taken from the quotas of its customer, and may have to
// return. It must not be copied once it has been passed to Admit.
type Charge struct {
	plan                   *planState
	customer               *customer
	priorityWeight         float64
	units                  float64
	attemptsInFlight       int
	permits                int    // that it holds
	semaphoreName          string // of the counter, that its permits were acquired under
	id                     model.RequestID
	isRetry                bool
	leaseCharged           bool // its units were taken from the lease
	claimCharged           bool // its units were claimed from the central bucket
	ceilingGranted         bool // the counter has admitted it within the ceiling
	dispatched             bool // its first attempt has started
	mayHaveReachedEndpoint bool // an attempt of it may have reached an endpoint
	finished               bool // it has its final answer
}

// NewCharge returns the account of a new request, which Admit then decides on.
func (m *Manager) NewCharge(request Request) Charge {
	plan := m.planFor(request.Plan)
	return Charge{
		id:             request.ID,
		plan:           plan,
		customer:       m.customerFor(request, plan),
		priorityWeight: request.PriorityWeight,
		units:          request.Units,
		isRetry:        request.IsRetry,
	}
}

// Plan returns the plan of the request. It must not be changed.
func (charge *Charge) Plan() *model.Plan { return &charge.plan.Plan }

// MayDispatch reports whether the limit on concurrent attempts and the ceiling let an attempt of the request
// start now.
func (m *Manager) MayDispatch(charge *Charge) bool {
	c := charge.customer
	needsConcurrencyShare := charge.plan.MaxConcurrency > 0 && charge.permits == 0
	if needsConcurrencyShare && c.attemptsInFlight >= m.concurrencyShare(c) {
		return false
	}
	return charge.dispatched || m.ceilingAllows(charge)
}

// AttemptStarted accounts for an attempt of an admitted request.
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

// AttemptEnded accounts for the end of an attempt. The caller decides how the request goes on, then calls
// Release.
func (m *Manager) AttemptEnded(charge *Charge, outcome model.Outcome) {
	charge.mayHaveReachedEndpoint = charge.mayHaveReachedEndpoint || outcome != model.NotSent
	charge.attemptsInFlight--
	charge.customer.attemptsInFlight--
}

// Settle corrects the units of a request to those that its answer has named, where its plan is settled so.
func (m *Manager) Settle(charge *Charge, settledUnits float64) {
	if !charge.plan.SettledByReply || settledUnits <= 0 {
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

// Finish records that the request has its final answer, and releases what it no longer needs.
func (m *Manager) Finish(charge *Charge) {
	charge.finished = true
	m.Release(charge)
}

// Release returns the units of a request that finished before anything of it was sent, and the permits that
// no attempt needs.
func (m *Manager) Release(charge *Charge) {
	m.refundTokens(charge)
	m.releasePermits(charge)
}

// refundTokens returns the units of a finished request of which nothing has left the gateway: its client has
// disconnected, or its deadline has passed, while it waited in the queue or for a connection. What the lease
// cannot hold goes back to the token bucket: the lease has been refilled since, and would exceed the
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
