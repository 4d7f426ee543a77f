package quota

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lemontack/policy/model"
)

// Call is a call of the shared counter: it adds an amount to a named number and returns the new total.
type Call struct {
	Name  string
	Delta float64       // amount to add, in units or permits; it may be 0 or negative
	TTL   time.Duration // time for which the counter keeps the name, counted from its first call
}

// Reply is the reply to a Call.
type Reply struct {
	Name    string
	Outcome model.Outcome
	Total   float64 // total after the call, if it succeeded
}

// semaphoreNamePrefix precedes the window in names that count permits. Names that count units do not have
// it.
const semaphoreNamePrefix = "!"

// pendingCall is a call in flight for a customer's central bucket or semaphore. The counter adds the sum of
// the claim and the adjustment.
type pendingCall struct {
	name                  string
	charge                *Charge // account of the request that makes the claim; nil if the call only adjusts
	claim                 float64 // units or permits claimed for that request
	adjustment            float64 // units or permits of earlier requests, or a correction of the total
	totalBeforeCorrection float64 // total from which a correction was computed
	readsPreviousWindow   bool    // the call reads the final usage of the previous window
	sentAt                time.Duration
}

// requestID returns the request that makes the claim, or 0.
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
		Name:  call.name,
		Delta: call.claim + call.adjustment,
		TTL:   min(2*windowLength, maxCounterNameTTL),
	})
}

// popOldestCall removes and returns the oldest call in flight with a name, to which the next reply for that
// name belongs.
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

// handleCallReply handles the reply to a call for a central bucket or semaphore. It returns the request
// that was waiting for the reply, if any, and the decision on it.
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

// bucketName returns the name on the counter of the customer's units, in the window of its last call.
func (c *customer) bucketName() string { return c.bucketNameOf(c.usageWindow) }

func (c *customer) bucketNameOf(window int64) string {
	return c.id + ":" + strconv.FormatInt(window, 36)
}

func (c *customer) semaphoreNameOf(window int64) string {
	return c.id + ":" + semaphoreNamePrefix + strconv.FormatInt(window, 36)
}

func isSemaphoreName(name string) bool { return strings.Contains(name, ":"+semaphoreNamePrefix) }

// customerIDOf returns the identifier of the customer to which a name on the counter belongs.
func customerIDOf(name string) string { return name[:max(0, strings.LastIndexByte(name, ':'))] }
