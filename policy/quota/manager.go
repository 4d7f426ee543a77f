package quota

import (
	"math/rand/v2"
	"time"

	"lemontack/policy/model"
)

// ticksPerIdleSweep is the number of ticks in which each customer is checked once for unused tokens.
const ticksPerIdleSweep = 50

// Config is what a Manager has to know of the gateway's settings.
type Config struct {
	GatewayIndex        int           // number of this gateway, from 0
	GatewayCount        int           // number of all gateways
	MaxUnits            float64       // units of the largest request
	HasSharedCounter    bool          // the shared counter may be called
	CounterTimeout      time.Duration // a call of the counter fails after it
	MaxRetryAfter       time.Duration // clients are told to wait for no longer than this
	TickInterval        time.Duration // between two calls of Manager.Tick
	MinLatencyObjective time.Duration // shortest latency objective of a class, in whole ticks
	MaxLatencyObjective time.Duration // longest latency objective of a class
	MaxDeadline         time.Duration // longest deadline of a class
}

// Host is the gateway that a Manager decides for.
type Host interface {
	// Now returns the time on the gateway's clock. It does not change during a call of the Manager.
	Now() time.Duration
	// CallCounter starts a call of the shared counter. The reply goes to Manager.HandleReply later; replies
	// for one name arrive in the order of the calls.
	CallCounter(call Call)
	// Saturated reports whether requests that are inside their quotas wait, or soon will.
	Saturated() bool
	// MeanLatency returns the mean latency of answers, at least one tick.
	MeanLatency() time.Duration
}

// Manager holds the quotas of all customers of one gateway. It is not safe for concurrent use.
type Manager struct {
	config Config
	host   Host
	rng    *rand.Rand

	plans         map[string]*planState
	customers     map[string]*customer
	customerOrder []*customer // in the order of their first requests
	nextIdleCheck int         // index in customerOrder

	throttle                 callThrottle
	consecutiveLeaseFailures int     // failed calls for leases in a row
	meanPermitLoss           float64 // mean weight at stake in a decision without a permit; see shouldCallForPermit
}

// NewManager returns a Manager for the customers of the given plans. It draws from rng, which it shares with
// its host.
func NewManager(config Config, plans []model.Plan, rng *rand.Rand, host Host) *Manager {
	m := &Manager{
		config:    config,
		host:      host,
		rng:       rng,
		plans:     make(map[string]*planState, len(plans)),
		customers: map[string]*customer{},
		throttle:  newCallThrottle(config.CounterTimeout),
	}
	for _, plan := range plans {
		// A smaller bucket could never admit the largest request.
		plan.Burst = max(plan.Burst, config.MaxUnits, 1)
		m.plans[plan.Name] = newPlanState(plan)
	}
	return m
}

// planFor returns the plan of a name. An unknown plan has no quotas.
func (m *Manager) planFor(name string) *planState {
	if plan := m.plans[name]; plan != nil {
		return plan
	}
	return newPlanState(model.Plan{Name: name, Price: 1})
}

// Tick returns unused tokens and forgets idle customers. The host calls it once in each tick interval; a call
// checks only a part of the customers, so that no tick takes long.
func (m *Manager) Tick() {
	checks := (len(m.customerOrder) + ticksPerIdleSweep - 1) / ticksPerIdleSweep
	for range checks {
		m.checkNextCustomer()
	}
}

// HandleReply takes the reply to a call of the counter. Where it decides on a request that waited for it, it
// returns the request and the decision; else the verdict is Pending.
func (m *Manager) HandleReply(reply Reply) (model.RequestID, Decision) {
	c := m.customers[customerIDOf(reply.Name)]
	switch {
	case c == nil:
	case c.hasCentralBucket || isSemaphoreName(reply.Name):
		return m.handleCallReply(c, reply)
	case c.lease.callInFlight:
		m.handleLeaseReply(c, reply)
	}
	return 0, pending
}

// CustomerState is a view of what a Manager knows of one customer, for inspection.
type CustomerState struct {
	LeaseTokens      float64 // units left in the lease
	AvailableTokens  float64 // estimated level of the customer's token bucket, in units, without all leases
	ReservedTokens   float64 // units reserved in a central bucket for a client's retry
	AttemptsInFlight int     // at this gateway
	HasCentralBucket bool    // the customer has a central token bucket
}

// Customer returns the state of a customer, or the zero state for one that is not known.
func (m *Manager) Customer(id string) CustomerState {
	c := m.customers[id]
	if c == nil {
		return CustomerState{}
	}
	return CustomerState{
		LeaseTokens:      c.lease.tokens,
		AvailableTokens:  c.availableTokens(m.host.Now()),
		ReservedTokens:   c.bucket.reservedTokens,
		AttemptsInFlight: c.attemptsInFlight,
		HasCentralBucket: c.hasCentralBucket,
	}
}
