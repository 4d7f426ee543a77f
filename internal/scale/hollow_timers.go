package scale

import (
	"time"

	"lemontack/policy"
)

// maxLateness is the longest time that an arrival may be behind the clock of its ingress. Later arrivals are skipped, so
// that a machine that cannot keep up does not accumulate a backlog.
const maxLateness = 250 * time.Millisecond

// timerKind is the kind of event that a timer of a hollow ingress triggers.
type timerKind uint8

const (
	arrivalTimer        timerKind = iota // the next request arrives
	attemptEndTimer                      // an attempt ends at its backend
	clientTimeoutTimer                   // a client stops waiting
	policyTimer                          // the policy set the timer
	counterTimeoutTimer                  // a call of the counter times out; in real time only
	counterReplyTimer                    // the simulated counter replies
)

// timer is an event due on the clock of a hollow ingress. kind determines which of the fields after it are set.
type timer struct {
	at        time.Duration
	kind      timerKind
	requestID policy.RequestID    // set for attemptEndTimer and clientTimeoutTimer
	attempt   int                 // set for attemptEndTimer
	outcome   policy.AttemptEnded // set for attemptEndTimer
	reply     policy.CounterReply // set for counterReplyTimer
	call      counterCall         // set for counterTimeoutTimer
}

func earlierTimer(a, b *timer) bool { return a.at < b.at }

func (h *hollowIngress) schedule(after time.Duration, t timer) {
	t.at = h.now + after
	h.timers.Push(&t)
}

// advance fires timers in order, without waiting, until the clock has advanced by span or proceed returns false.
func (h *hollowIngress) advance(span time.Duration, proceed func() bool) {
	end := h.now + span
	for h.timerDueBy(end) && proceed() {
		t := h.timers.Pop()
		h.now = t.at
		h.fireTimer(t)
	}
	if !h.timerDueBy(end) {
		h.now = end
	}
}

func (h *hollowIngress) timerDueBy(end time.Duration) bool {
	return h.timers.Len() > 0 && h.timers.Min().at <= end
}

// fireTimer handles a timer that is due, and all events that result from it.
func (h *hollowIngress) fireTimer(t *timer) {
	switch t.kind {
	case arrivalTimer:
		h.fireArrival(t.at)
	case attemptEndTimer:
		h.endAttempt(t.requestID, t.attempt, t.outcome)
	case clientTimeoutTimer:
		h.disconnectClient(t.requestID)
	case policyTimer:
		h.enqueue(policy.TimerFired{})
	case counterReplyTimer:
		h.enqueue(t.reply)
	case counterTimeoutTimer:
		if reply, ok := t.call.expire(); ok {
			h.enqueue(reply)
		}
	}
	h.handleQueued()
}

// fireArrival handles an arrival that was due at a time, and schedules the next one.
func (h *hollowIngress) fireArrival(due time.Duration) {
	h.arrivalScheduled = h.requestRate > 0
	switch {
	case !h.arrivalScheduled:
	case h.now-due > maxLateness:
		h.tally.SkippedArrivals++
		h.schedule(h.interarrivalTime(), timer{kind: arrivalTimer})
	default:
		h.generateRequest(due)
		h.timers.Push(&timer{at: due + h.interarrivalTime(), kind: arrivalTimer})
	}
}

// setRate sets the rate of arrivals, in requests per second; zero stops them.
func (h *hollowIngress) setRate(rate float64) {
	h.requestRate = rate
	if rate > 0 && !h.arrivalScheduled {
		h.arrivalScheduled = true
		h.schedule(h.interarrivalTime(), timer{kind: arrivalTimer})
	}
}

// interarrivalTime draws the time between two arrivals of a Poisson process.
func (h *hollowIngress) interarrivalTime() time.Duration {
	return time.Duration(h.rng.ExpFloat64() / h.requestRate * float64(time.Second))
}
