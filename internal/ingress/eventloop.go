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
	start   time.Time
	epoch   time.Duration // start on the clock that all gateways share
	now     time.Duration // on that clock, as of the event that is being handled
	timers  timerQueue
	events  chan event
	stopped chan struct{} // closed when no event is handled any more

	ctx     context.Context // ends the goroutines that spawn has started; set before the first
	spawned sync.WaitGroup
}

func newEventLoop(start time.Time) eventLoop {
	return eventLoop{
		start:   start,
		epoch:   time.Duration(start.UnixNano()),
		timers:  newTimerQueue(),
		events:  make(chan event, eventQueueLength),
		stopped: make(chan struct{}),
	}
}

// spawn starts a goroutine that the gateway's end cancels through its context, and that Run waits for.
func (l *eventLoop) spawn(run func(context.Context)) {
	l.spawned.Go(func() { run(l.ctx) })
}

// post hands an event to the loop's goroutine; after the end of the loop it is dropped.
func (l *eventLoop) post(ev event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// clock is a time on the clock that all gateways share, advanced by the monotonic one.
func (l *eventLoop) clock(t time.Time) time.Duration { return l.epoch + t.Sub(l.start) }

// at calls a function on the loop's goroutine at a time.
func (l *eventLoop) at(t time.Duration, do func()) { l.timers.add(t, do) }

// after calls a function on the loop's goroutine after a while.
func (l *eventLoop) after(d time.Duration, do func()) { l.at(l.now+d, do) }

// loop handles events and timers until ctx ends. Its goroutine owns the gateway's state and never waits for a peer.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.stopped)
	g.after(idleCheckInterval, g.checkIdle)
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		wakeUp.Reset(min(g.timers.next()-g.clock(time.Now()), stall.HeartbeatInterval))
		select {
		case <-ctx.Done():
			return
		case ev := <-g.events:
			g.tick()
			g.handle(ev)
			g.handleQueued(maxEventBatch - 1)
		case <-wakeUp.C:
		}
		g.tick()
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
		g.tick()
		g.handle(ev)
	}
}

// handle applies an event, and what the policy makes of it.
func (g *Gateway) handle(ev event) {
	ev.apply(g)
	g.flush()
}

// tick takes the time from the clock, and notices where the process was stalled.
func (g *Gateway) tick() {
	now := time.Now()
	g.now = g.clock(now)
	if gap := g.stalls.Heartbeat(now); gap > 0 {
		g.observe.processStalled(gap)
	}
}

// runTimers calls what is due.
func (g *Gateway) runTimers() {
	for do := g.timers.popDue(g.now); do != nil; do = g.timers.popDue(g.now) {
		do()
		g.flush()
	}
}

// checkIdle retires idle connections, again and again.
func (g *Gateway) checkIdle() {
	g.pool.CloseUnusableIdle()
	g.after(idleCheckInterval, g.checkIdle)
}
