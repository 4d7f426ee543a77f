package ingress

import (
	"context"
	"sync"
	"time"

	"lemontack/internal/stall"
)

const (
	eventQueueLength  = 256
	maxEventBatch     = 256 // events between two looks at the timers
	idleCheckInterval = time.Second
)

// eventLoop is the clock, the timers and the queue of events of a gateway, and the goroutines that post to it. now and timers
// belong to the loop's goroutine; post, spawn and clock are safe for concurrent use.
type eventLoop struct {
	start     time.Time
	startTime time.Duration // start on the clock that all gateways share
	now       time.Duration // on that clock, as of the event that is being handled
	timers    timerQueue
	events    chan event
	loopEnded chan struct{} // closed when no event is handled any more

	ctx        context.Context // ends the goroutines that spawn has started; set before the first
	goroutines sync.WaitGroup
}

func newEventLoop(start time.Time) eventLoop {
	return eventLoop{
		start:     start,
		startTime: time.Duration(start.UnixNano()),
		timers:    newTimerQueue(),
		events:    make(chan event, eventQueueLength),
		loopEnded: make(chan struct{}),
	}
}

// spawn starts a goroutine that the gateway's end cancels through its context, and that Run waits for.
func (l *eventLoop) spawn(run func(context.Context)) {
	l.goroutines.Go(func() { run(l.ctx) })
}

// post hands an event to the loop's goroutine; after the end of the loop it is dropped.
func (l *eventLoop) post(ev event) {
	select {
	case l.events <- ev:
	case <-l.loopEnded:
	}
}

// sharedTime is a time on the clock that all gateways share, advanced by the monotonic one.
func (l *eventLoop) sharedTime(t time.Time) time.Duration { return l.startTime + t.Sub(l.start) }

// scheduleAt calls a function on the loop's goroutine at a time.
func (l *eventLoop) scheduleAt(t time.Duration, callback func()) { l.timers.add(t, callback) }

// scheduleAfter calls a function on the loop's goroutine after a while.
func (l *eventLoop) scheduleAfter(d time.Duration, callback func()) { l.scheduleAt(l.now+d, callback) }

// loop handles events and timers until ctx ends. Its goroutine owns the gateway's state and never waits for a peer.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.loopEnded)
	g.scheduleAfter(idleCheckInterval, g.closeUnusableIdle)
	wakeUpTimer := time.NewTimer(0)
	defer wakeUpTimer.Stop()
	for {
		wakeUpTimer.Reset(min(g.timers.earliest()-g.sharedTime(time.Now()), stall.HeartbeatInterval))
		select {
		case <-ctx.Done():
			return
		case ev := <-g.events:
			g.updateTime()
			g.handle(ev)
			g.handleQueued(maxEventBatch - 1)
		case <-wakeUpTimer.C:
		}
		g.updateTime()
		g.runTimers()
	}
}

// handleQueued handles events that are there already, up to a number.
func (g *Gateway) handleQueued(limit int) {
	for range limit {
		if len(g.events) == 0 {
			return
		}
		ev := <-g.events
		g.updateTime()
		g.handle(ev)
	}
}

// handle applies an event, and what the policy makes of it.
func (g *Gateway) handle(ev event) {
	ev.apply(g)
	g.handlePendingEvents()
}

// updateTime takes the time from the clock, and notices where the process was stalled.
func (g *Gateway) updateTime() {
	now := time.Now()
	g.now = g.sharedTime(now)
	if gap := g.stalls.Heartbeat(now); gap > 0 {
		g.observe.processStalled(gap)
	}
}

// runTimers calls what is due.
func (g *Gateway) runTimers() {
	for callback := g.timers.popDue(g.now); callback != nil; callback = g.timers.popDue(g.now) {
		callback()
		g.handlePendingEvents()
	}
}

// closeUnusableIdle retires idle connections, again and again.
func (g *Gateway) closeUnusableIdle() {
	g.pool.CloseUnusableIdle()
	g.scheduleAfter(idleCheckInterval, g.closeUnusableIdle)
}
