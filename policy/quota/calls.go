package quota

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lemontack/policy/model"
)

// Call is a call of the shared counter: it adds to a named number and returns the new total.
type Call struct {
	Name string
	Add  float64       // units or permits; 0 only reads the total
	TTL  time.Duration // the counter deletes the number this long after the first call of its name
}

// Reply is the reply to a Call.
type Reply struct {
	Name    string
	Outcome model.Outcome
	Total   float64 // after the add, where the call has succeeded
}

// semaphoreNamePrefix tells the names that hold permits from those that hold units.
const semaphoreNamePrefix = "!"

// pendingCall is a call in flight for a customer's central bucket or permits. It adds the claim and the
// adjustment.
type pendingCall struct {
	name                  string
	charge                *Charge // the request that it claims for; nil: the call only adjusts
	claim                 float64 // units or permits of that request
	adjustment            float64 // units or permits of earlier requests, or a correction of the total
	totalBeforeCorrection float64 // of a correction: the total that it was derived from
	readsPreviousWindow   bool    // it reads the final usage of the previous window
	sentAt                time.Duration
}

// requestID returns the request that the call claims for, or 0.
func (call *pendingCall) requestID() model.RequestID {
	if call.charge == nil {
		return 0
	}
	return call.charge.id
}

// callCounter starts a call for a customer. Replies for one name arrive in the order of its calls.
func (m *Manager) callCounter(c *customer, call pendingCall, windowLength time.Duration) {
	call.sentAt = m.host.Now()
	c.callsInFlight = append(c.callsInFlight, call)
	m.host.CallCounter(Call{
		Name: call.name,
		Add:  call.claim + call.adjustment,
		TTL:  min(2*windowLength, maxCounterNameTTL),
	})
}

// popOldestCall removes and returns the oldest call in flight for a name, which a reply for it belongs to.
func (c *customer) popOldestCall(name string) (call pendingCall, ok bool) {
	i := slices.IndexFunc(c.callsInFlight, func(call pendingCall) bool { return call.name == name })
	if i < 0 {
		return pendingCall{}, false
	}
	call = c.callsInFlight[i]
	c.callsInFlight = slices.Delete(c.callsInFlight, i, i+1)
	return call, true
}

func (c *customer) hasCallInFlight(name string) bool {
	return slices.ContainsFunc(c.callsInFlight, func(call pendingCall) bool { return call.name == name })
}

// handleCallReply takes the reply to a call for a central bucket or permits, and returns the decision on the
// request that waited for it, if any.
func (m *Manager) handleCallReply(c *customer, reply Reply) (model.RequestID, Decision) {
	call, ok := c.popOldestCall(reply.Name)
	if !ok {
		return 0, pending
	}
	m.throttle.adapt(reply.Outcome, m.host.Now()-call.sentAt)
	if isSemaphoreName(call.name) {
		return call.requestID(), m.handleSemaphoreReply(c, call, reply)
	}
	return call.requestID(), m.handleBucketReply(c, call, reply)
}

// bucketName returns the name of the customer's units in the window of its last call.
func (c *customer) bucketName() string { return c.bucketNameOf(c.usageWindow) }

func (c *customer) bucketNameOf(window int64) string {
	return c.id + ":" + strconv.FormatInt(window, 36)
}

func (c *customer) semaphoreNameOf(window int64) string {
	return c.id + ":" + semaphoreNamePrefix + strconv.FormatInt(window, 36)
}

func isSemaphoreName(name string) bool { return strings.Contains(name, ":"+semaphoreNamePrefix) }

// customerIDOf returns the customer that a name on the counter belongs to.
func customerIDOf(name string) string { return name[:max(0, strings.LastIndexByte(name, ':'))] }
