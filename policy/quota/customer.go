package quota

import (
	"hash/fnv"
	"time"
)

const (
	// maxCounterNameTTL is the longest time for which the counter keeps a name.
	maxCounterNameTTL = 60 * time.Second
	// counterWindowLength is the length of the window in a name. It is shorter than the TTL of the name, so
	// that the final total can still be read after the window has ended.
	counterWindowLength = maxCounterNameTTL * 5 / 6
)

// customer is this gateway's state of one customer. Its rate quota is either a lease or a central token
// bucket; with a central token bucket, the lease serves as the local bucket.
type customer struct {
	id               string
	plan             *planState
	gatewaySpan      int           // number of gateways at which its requests arrive
	gatewayIndex     int           // index of this gateway among them
	windowOffset     time.Duration // offset that spreads the window ends of customers over time
	hasCentralBucket bool          // a central token bucket holds its rate

	lease            lease
	bucket           centralBucket
	permits          semaphore
	ceiling          ceilingBucket
	usageWindow      int64   // window in the name under which the counter holds its usage
	unreportedUnits  float64 // units to be added by the next call
	callsInFlight    []pendingCall
	attemptsInFlight int
	openCharges      int // accounts of requests that are not finished or have attempts in flight
	lastRequestAt    time.Duration
}

// customerFor returns the customer of a request. A new customer has the plan of its first request.
func (m *Manager) customerFor(request Request, plan *planState) *customer {
	c := m.customers[request.Customer]
	if c == nil {
		m.makeRoomForCustomer()
		c = m.newCustomer(request, plan)
		m.customers[c.id] = c
		m.customerOrder = append(m.customerOrder, c)
	}
	c.lastRequestAt = m.host.Now()
	return c
}

func (m *Manager) newCustomer(request Request, plan *planState) *customer {
	span := min(max(request.GatewaySpan, 1), m.config.GatewayCount)
	now, count := m.host.Now(), m.config.GatewayCount
	c := &customer{
		id:               request.Customer,
		plan:             plan,
		gatewaySpan:      span,
		gatewayIndex:     (m.config.GatewayIndex - request.FirstGateway%count + count) % count,
		windowOffset:     windowOffsetOf(request.Customer),
		hasCentralBucket: plan.Rate > 0 && plan.Burst < float64(span)*max(1, m.config.MaxUnits),
		ceiling:          ceilingBucket{updatedAt: max(now, plan.ceilingDebtUntil)},
	}
	c.lease = m.newLease(c)
	c.unreportedUnits = c.lease.tokens // the first lease is reported by the first call
	if c.hasCentralBucket {
		m.initCentralBucket(c)
	}
	return c
}

// windowOffsetOf derives the offset of a customer's windows from its identifier, so that it is the same at
// all gateways.
func windowOffsetOf(customerID string) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(customerID))
	return time.Duration(hash.Sum64() % uint64(counterWindowLength))
}

// burstShare returns this gateway's share of the customer's burst, in units.
func (c *customer) burstShare() float64 { return c.plan.Burst / float64(c.gatewaySpan) }

// rateShare returns this gateway's share of the customer's rate, in units per second.
func (c *customer) rateShare() float64 { return c.plan.Rate / float64(c.gatewaySpan) }

// windowAt returns the window that contains a time. It is the same at all gateways of a customer.
func (c *customer) windowAt(at, length time.Duration) int64 {
	return int64((at + c.windowOffset) / length)
}
