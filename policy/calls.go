package policy

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file keeps account of the calls to the counter that are out, and of the names that they go to. What is
// called for, and what an answer means, is decided in central.go and permits.go.

const (
	maxCarriedBursts      = 1.5              // bursts that a window hands on as lacking, at most
	semaphoreMark         = "!"              // sets a permit name apart from that of the store
	permitWindowDeadlines = 4                // longest deadlines in the window of a permit name
	minPermitWindow       = 4 * time.Second  // window of a permit name, at least
	maxPermitWindow       = 30 * time.Second // and at most: the counter keeps names for two of them
)

// counterCall is a call that is out for a customer with a central bucket or with permits.
type counterCall struct {
	name                string
	request             *request // nil: it only corrects
	claim               float64  // units, or permits, of the request that it adds
	unreported          float64  // what it adds besides, used or corrected before
	basedOnTotal        float64  // of a correction: the total that it was made from
	readsPreviousWindow bool     // it reads the name of the last window
	sentAt              time.Duration
}

// centralBucket is what a gateway knows of a central token bucket.
type centralBucket struct {
	window         time.Duration // window of the counter's name
	localCredit    float64       // what the local bucket may hold besides at first
	reserved       float64       // claimed ahead, for a repeat
	reservedFrom   time.Duration // from when on that may be used
	exhaustedUntil time.Duration // there is no room before
}

// semaphore is what a gateway knows of a customer's permits.
type semaphore struct {
	grantEstimate                  // of this customer alone
	samples          int           // that it rests on
	window           int64         // of the present name
	held, unreported int           // here, under that name; of calls that were turned away
	exhaustedUntil   time.Duration // all were out
}

// call makes a call on a customer's behalf; answers for one name come in the order of the calls.
func (g *Gateway) call(c *customer, call counterCall, window time.Duration) {
	call.sentAt = g.now
	c.calls = append(c.calls, call)
	g.emit(IncrementCounter{Name: call.name, Add: call.claim + call.unreported, Keep: min(2*window, maxCounterNameTTL)})
}

// callBucket makes a call on the name of a customer's store in the present window.
func (g *Gateway) callBucket(c *customer, call counterCall) {
	c.counterWindow = int64((g.now + c.windowOffset) / c.bucket.window)
	call.name = c.bucketName()
	g.call(c, call, c.bucket.window)
}

// reportUsage tells the counter what has been used, settled or given back since the last call.
func (g *Gateway) reportUsage(c *customer) {
	owed := c.unreported
	c.unreported = 0
	g.callBucket(c, counterCall{unreported: owed})
}

// callSemaphore makes a call on a permit name; on that of the present window with what is owed to it.
func (g *Gateway) callSemaphore(c *customer, call counterCall) {
	if call.name == g.semaphoreName(c) {
		call.unreported += float64(c.permits.unreported)
		c.permits.unreported = 0
		c.permits.held += int(call.claim + call.unreported)
	}
	g.call(c, call, g.permitWindow())
}

// refilledTokens is what the rate has filled into a central bucket since the window began.
func (g *Gateway) refilledTokens(c *customer, window int64) float64 {
	return c.plan.Rate * (g.now + c.windowOffset - time.Duration(window)*c.bucket.window).Seconds()
}

// readPreviousWindow asks what the bucket lacked as the window ended before the given one: the name of a new window
// starts at 0, which is a full bucket.
func (g *Gateway) readPreviousWindow(c *customer, window int64) {
	if !c.hasCeiling() {
		g.call(c, counterCall{name: c.bucketNameOf(window - 1), readsPreviousWindow: true}, c.bucket.window)
	}
}

// handleCorrectionReply takes the answer to a call that is on no request's behalf. What the last window's name lacks is carried
// over. A correction that another gateway has made too, from the same total, is taken back; the first stays.
func (g *Gateway) handleCorrectionReply(c *customer, call counterCall, total float64) {
	switch others := total - call.basedOnTotal - call.unreported; {
	case call.readsPreviousWindow:
		window := int64((g.now + c.windowOffset) / c.bucket.window)
		if lacking := min(total-g.refilledTokens(c, window-1), maxCarriedBursts*c.plan.Burst); total > 0 && lacking > 0 {
			g.call(c, counterCall{name: c.bucketNameOf(window), unreported: lacking}, c.bucket.window)
		}
	case call.basedOnTotal > 0 && call.unreported > c.plan.Burst/2 && others > call.unreported/2:
		g.call(c, counterCall{name: call.name, unreported: -call.unreported}, c.bucket.window)
	}
}

// takeCall returns the oldest call that is out for a name, which an answer is for.
func (c *customer) takeCall(name string) (counterCall, bool) {
	i := slices.IndexFunc(c.calls, func(call counterCall) bool { return call.name == name })
	if i < 0 {
		return counterCall{}, false
	}
	call := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	return call, true
}

// hasCallInFlight says whether a call for the name is out.
func (c *customer) hasCallInFlight(name string) bool {
	return slices.ContainsFunc(c.calls, func(call counterCall) bool { return call.name == name })
}

// bucketName is that of the store in the customer's window.
func (c *customer) bucketName() string { return c.bucketNameOf(c.counterWindow) }

func (c *customer) bucketNameOf(window int64) string {
	return c.id + ":" + strconv.FormatInt(window, 36)
}

// permitWindow is the window of the permit names, the same at all gateways: it bounds what a crashed one holds.
func (g *Gateway) permitWindow() time.Duration {
	return min(max(permitWindowDeadlines*g.maxDeadline, minPermitWindow), maxPermitWindow)
}

// semaphoreName is that of the permits in the present window; a new window begins with none.
func (g *Gateway) semaphoreName(c *customer) string {
	if window := int64((g.now + c.windowOffset) / g.permitWindow()); window != c.permits.window {
		c.permits.window, c.permits.held, c.permits.unreported = window, 0, 0
	}
	return c.id + ":" + semaphoreMark + strconv.FormatInt(c.permits.window, 36)
}

func isSemaphoreName(name string) bool { return strings.Contains(name, ":"+semaphoreMark) }

// customerOf is the customer that a counter's name belongs to.
func customerOf(name string) string { return name[:max(0, strings.LastIndexByte(name, ':'))] }
