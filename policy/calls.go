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
	mostCarried     = 1.5              // bursts that a window hands on as lacking, at most
	permitMark      = "!"              // sets a permit name apart from that of the store
	permitDeadlines = 4                // longest deadlines in the window of a permit name
	permitShortest  = 4 * time.Second  // window of a permit name, at least
	permitLongest   = 30 * time.Second // and at most: the counter keeps names for two of them
)

// counterCall is a call that is out for a customer with a central bucket or with permits.
type counterCall struct {
	name  string
	r     *request // nil: it only corrects
	claim float64  // units, or permits, of the request that it adds
	owed  float64  // what it adds besides, used or corrected before
	seen  float64  // of a correction: the total that it was made from
	last  bool     // it reads the name of the last window
	at    time.Duration
}

// centralBucket is what a gateway knows of a central token bucket.
type centralBucket struct {
	span         time.Duration // window of the counter's name
	credit       float64       // what the local bucket may hold besides at first
	reserved     float64       // claimed ahead, for a repeat
	matures      time.Duration // from when on that may be used
	refusedUntil time.Duration // there is no room before
}

// permitPool is what a gateway knows of a customer's permits.
type permitPool struct {
	evidence                 // of this customer alone
	answers    int           // that it rests on
	window     int64         // of the present name
	held, owed int           // here, under that name; of calls that were turned away
	fullUntil  time.Duration // all were out
}

// callFor makes a call on a customer's behalf; answers for one name come in the order of the calls.
func (g *Gateway) callFor(c *customer, call counterCall, window time.Duration) {
	call.at = g.now
	c.calls = append(c.calls, call)
	g.do(Count{Name: call.name, Add: call.claim + call.owed, Keep: min(2*window, nameKept)})
}

// callStore makes a call on the name of a customer's store in the present window.
func (g *Gateway) callStore(c *customer, call counterCall) {
	c.epoch = int64((g.now + c.offset) / c.bucket.span)
	call.name = c.name()
	g.callFor(c, call, c.bucket.span)
}

// tellOwed tells the counter what has been used, settled or given back since the last call.
func (g *Gateway) tellOwed(c *customer) {
	owed := c.owed
	c.owed = 0
	g.callStore(c, counterCall{owed: owed})
}

// callPermits makes a call on a permit name; on that of the present window with what is owed to it.
func (g *Gateway) callPermits(c *customer, call counterCall) {
	if call.name == g.permitName(c) {
		call.owed += float64(c.permits.owed)
		c.permits.owed = 0
		c.permits.held += int(call.claim + call.owed)
	}
	g.callFor(c, call, g.permitSpan())
}

// filled is what the rate has filled into a central bucket since the window began.
func (g *Gateway) filled(c *customer, window int64) float64 {
	return c.plan.Rate * (g.now + c.offset - time.Duration(window)*c.bucket.span).Seconds()
}

// readLastWindow asks what the bucket lacked as the window ended before the given one: the name of a new window
// starts at 0, which is a full bucket.
func (g *Gateway) readLastWindow(c *customer, window int64) {
	if !c.ceiled() {
		g.callFor(c, counterCall{name: c.nameOf(window - 1), last: true}, c.bucket.span)
	}
}

// corrected takes the answer to a call that is on no request's behalf. What the last window's name lacks is carried
// over. A correction that another gateway has made too, from the same total, is taken back; the first stays.
func (g *Gateway) corrected(c *customer, call counterCall, total float64) {
	switch others := total - call.seen - call.owed; {
	case call.last:
		window := int64((g.now + c.offset) / c.bucket.span)
		if lacking := min(total-g.filled(c, window-1), mostCarried*c.plan.Burst); total > 0 && lacking > 0 {
			g.callFor(c, counterCall{name: c.nameOf(window), owed: lacking}, c.bucket.span)
		}
	case call.seen > 0 && call.owed > c.plan.Burst/2 && others > call.owed/2:
		g.callFor(c, counterCall{name: call.name, owed: -call.owed}, c.bucket.span)
	}
}

// take returns the oldest call that is out for a name, which an answer is for.
func (c *customer) take(name string) (counterCall, bool) {
	i := slices.IndexFunc(c.calls, func(call counterCall) bool { return call.name == name })
	if i < 0 {
		return counterCall{}, false
	}
	call := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	return call, true
}

// out says whether a call for the name is out.
func (c *customer) out(name string) bool {
	return slices.ContainsFunc(c.calls, func(call counterCall) bool { return call.name == name })
}

// name is that of the store in the customer's window.
func (c *customer) name() string { return c.nameOf(c.epoch) }

func (c *customer) nameOf(window int64) string { return c.id + ":" + strconv.FormatInt(window, 36) }

// permitSpan is the window of the permit names, the same at all gateways: it bounds what a crashed one holds.
func (g *Gateway) permitSpan() time.Duration {
	return min(max(permitDeadlines*g.longDeadline, permitShortest), permitLongest)
}

// permitName is that of the permits in the present window; a new window begins with none.
func (g *Gateway) permitName(c *customer) string {
	if window := int64((g.now + c.offset) / g.permitSpan()); window != c.permits.window {
		c.permits.window, c.permits.held, c.permits.owed = window, 0, 0
	}
	return c.id + ":" + permitMark + strconv.FormatInt(c.permits.window, 36)
}

func isPermitName(name string) bool { return strings.Contains(name, ":"+permitMark) }

// customerOf is the customer that a counter's name belongs to.
func customerOf(name string) string { return name[:max(0, strings.LastIndexByte(name, ':'))] }
