package ingress

import (
	"context"
	"sync"
	"time"

	"lemontack/internal/stall"
)

const (
	eventQueueLength  = 256
	maxEventBatch     = 256 // events handled before the timers are checked again
	idleCheckInterval = time.Second
)

// eventLoop holds the clock, the timers and the event queue of a gateway, and tracks the goroutines that post events. now and
// timers are used only by the loop's goroutine; post, spawn and sharedTime are safe for concurrent use.
type eventLoop struct {
	start              time.Time
	startOnSharedClock time.Duration // start as Unix time, the clock that all gateways share
	now                time.Duration // time of the event being handled, on the shared clock
	timers             timerQueue
	events             chan event
	loopDone           chan struct{} // closed when the loop has ended and handles no more events

	ctx        context.Context // cancels the goroutines started by spawn; set before the first of them
	goroutines sync.WaitGroup
}

func newEventLoop(start time.Time) eventLoop {
	return eventLoop{
		start:              start,
		startOnSharedClock: time.Duration(start.UnixNano()),
		timers:             newTimerQueue(),
		events:             make(chan event, eventQueueLength),
		loopDone:           make(chan struct{}),
	}
}

// spawn starts a goroutine whose context is cancelled when the gateway ends. Run waits for it.
func (l *eventLoop) spawn(run func(context.Context)) {
	l.goroutines.Go(func() { run(l.ctx) })
}

// post sends an event to the loop's goroutine, and blocks while the queue is full. Events after the end of the loop are
// discarded.
func (l *eventLoop) post(ev event) {
	select {
	case l.events <- ev:
	case <-l.loopDone:
	}
}

// sharedTime returns t on the clock that all gateways share: Unix time at start, advanced by the monotonic clock.
func (l *eventLoop) sharedTime(t time.Time) time.Duration {
	return l.startOnSharedClock + t.Sub(l.start)
}

// scheduleAt calls a function on the loop's goroutine at time t of the shared clock.
func (l *eventLoop) scheduleAt(t time.Duration, callback func()) { l.timers.add(t, callback) }

// scheduleAfter calls a function on the loop's goroutine after d.
func (l *eventLoop) scheduleAfter(d time.Duration, callback func()) { l.scheduleAt(l.now+d, callback) }

// loop handles events and timers until ctx is cancelled. Its goroutine owns the gateway's state and never waits for a peer.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.loopDone)
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

// handleQueued handles at most limit events that are already queued.
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

// handle applies an event and then the policy's reaction to it.
func (g *Gateway) handle(ev event) {
	ev.apply(g)
	g.handlePendingEvents()
}

// updateTime sets now to the current time and reports a stall of the process if there was one.
func (g *Gateway) updateTime() {
	now := time.Now()
	g.now = g.sharedTime(now)
	if gap := g.stalls.Heartbeat(now); gap > 0 {
		g.observer.processStalled(gap)
	}
}

// runTimers calls the callbacks of all timers that are due.
func (g *Gateway) runTimers() {
	for callback := g.timers.popDue(g.now); callback != nil; callback = g.timers.popDue(g.now) {
		callback()
		g.handlePendingEvents()
	}
}

// closeUnusableIdle closes unusable idle connections, and schedules itself to run again after idleCheckInterval.
func (g *Gateway) closeUnusableIdle() {
	g.pool.CloseUnusableIdle()
	g.scheduleAfter(idleCheckInterval, g.closeUnusableIdle)
}
