package quota

import (
	"math/rand/v2"
	"time"

	"lemontack/policy/model"
)

// Config holds the gateway's settings for its quotas.
type Config struct {
	GatewayIndex        int           // index of this gateway, from 0
	GatewayCount        int           // number of gateways
	MaxUnits            float64       // units of the largest request
	HasSharedCounter    bool          // the shared counter may be called
	CounterTimeout      time.Duration // timeout of a call of the counter
	MaxRetryAfter       time.Duration // longest retry delay that clients are sent
	TickInterval        time.Duration // time between two calls of Manager.Tick
	MinLatencyObjective time.Duration // shortest latency objective, rounded to a multiple of TickInterval
	MaxLatencyObjective time.Duration // longest latency objective of a class
	MaxDeadline         time.Duration // longest deadline of a class
	CustomerMemory      int           // bytes for the state of customers; 0 means no limit
}

// Host is the gateway to which a Manager belongs.
type Host interface {
	// Now returns the time on the gateway's clock. It does not change during a call of the Manager.
	Now() time.Duration
	// CallCounter starts a call of the shared counter. The reply is passed to Manager.HandleReply later;
	// replies for one name arrive in the order of the calls.
	CallCounter(call Call)
	// Saturated reports whether requests of any customer wait for capacity, or are about to.
	Saturated() bool
	// MeanLatency returns the mean latency of answers, at least one tick.
	MeanLatency() time.Duration
}

// Manager holds the quotas of all customers of one gateway. It is not safe for concurrent use.
type Manager struct {
	config Config
	host   Host
	rng    *rand.Rand

	plans            map[string]*planState
	customers        map[string]*customer
	customerOrder    []*customer // all customers, in the order in which they are checked
	lastCheckedIndex int         // index in customerOrder of the customer checked last

	throttle                 callThrottle
	consecutiveLeaseFailures int     // failed calls for leases since the last success, without error replies
	meanPermitLoss           float64 // mean expected loss of weight by a decision without a call for a permit
}

// NewManager returns a Manager for the customers of the given plans. It shares rng with its host.
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

// planFor returns the plan with a name. An unknown plan has no quotas.
func (m *Manager) planFor(name string) *planState {
	if plan := m.plans[name]; plan != nil {
		return plan
	}
	return newPlanState(model.Plan{Name: name, Price: 1})
}

// Tick returns unused tokens and evicts idle customers. The host calls it once in each tick interval. Each
// call checks only some of the customers, so that no tick takes long.
func (m *Manager) Tick() {
	checks := (len(m.customerOrder) + ticksPerIdleSweep - 1) / ticksPerIdleSweep
	for range checks {
		m.checkNextCustomer()
	}
}

// HandleReply handles the reply to a call of the counter. If the reply decides on a request that was
// waiting for it, HandleReply returns the request and the decision; otherwise the verdict is Pending.
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

// CustomerState is a Manager's state of one customer, for inspection.
type CustomerState struct {
	LeaseTokens      float64 // units left in the lease
	AvailableTokens  float64 // estimated level of the customer's token bucket in units, without the leases
	ReservedTokens   float64 // units reserved in a central bucket for a client's retry
	AttemptsInFlight int     // attempts in flight at this gateway
	HasCentralBucket bool    // the customer has a central token bucket
}

// CustomerCount returns the number of customers whose state is kept.
func (m *Manager) CustomerCount() int { return len(m.customers) }

// Customer returns the state of a customer, or the zero state if the customer is unknown.
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
