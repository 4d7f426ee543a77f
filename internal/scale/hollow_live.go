package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

const (
	eventQueueLength = 256       // limit of posted events that wait for the goroutine of a hollow ingress
	maxIdleWait      = time.Hour // longest wait of the event loop, used if no timer is set
)

// errIngressStopped reports that a hollow ingress no longer runs.
var errIngressStopped = errors.New("hollow ingress has stopped")

// liveConnection is the state that a hollow ingress has only in real time: its clients and its event loop.
type liveConnection struct {
	clients   controlClients
	events    chan clientEvent
	done      chan struct{} // closed once the event loop has ended
	startedAt time.Time
}

// clientEvent is an event for the goroutine of a hollow ingress: an endpointUpdate, a counterResult or a task.
type clientEvent interface{ deliver(*hollowIngress) }

func (update endpointUpdate) deliver(h *hollowIngress) { h.deliverUpdate(update) }

func (res counterResult) deliver(h *hollowIngress) {
	if reply, ok := res.reply(); ok {
		h.enqueue(reply)
		h.handleQueued()
	}
}

// task is a function that runs on the goroutine of a hollow ingress.
type task func()

func (run task) deliver(*hollowIngress) { run() }

// connect switches an ingress to real time, with clients of discovery and of the counter. It must be called before run.
func (h *hollowIngress) connect(discoveryAddr, counterAddr string, knownList endpointUpdate, log *slog.Logger) {
	h.live = &liveConnection{
		events:    make(chan clientEvent, eventQueueLength),
		done:      make(chan struct{}),
		startedAt: time.Now(),
	}
	h.now = time.Duration(h.live.startedAt.UnixNano())
	h.counterTable = nil
	config := clientConfig{discoveryAddr: discoveryAddr, counterAddr: counterAddr, knownList: knownList, settings: h.settings}
	h.live.clients = newControlClients(config, h.live.post, log)
}

// post sends an event to the goroutine of the ingress. After the event loop has ended, the event is dropped.
func (live *liveConnection) post(event clientEvent) {
	select {
	case live.events <- event:
	case <-live.done:
	}
}

// runInEventLoop runs f on the goroutine of a connected ingress and waits until f has returned.
func (h *hollowIngress) runInEventLoop(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	h.live.post(task(func() { f(); close(finished) }))
	select {
	case <-finished:
		return nil
	case <-h.live.done:
		return fmt.Errorf("ingress %d: %w", h.index, errIngressStopped)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// clock returns the Unix time, unaffected by later adjustments of the system clock.
func (live *liveConnection) clock() time.Duration {
	return time.Duration(live.startedAt.UnixNano()) + time.Since(live.startedAt)
}

// run runs a connected ingress in real time until ctx ends, and returns once its connections are closed.
func (h *hollowIngress) run(ctx context.Context) {
	clientsEnded := make(chan struct{})
	go func() { // ends with ctx; run waits for it
		defer close(clientsEnded)
		h.live.clients.run(ctx)
	}()
	h.eventLoop(ctx)
	close(h.live.done) // unblocks clients that are posting
	<-clientsEnded
}

func (h *hollowIngress) eventLoop(ctx context.Context) {
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		wait := maxIdleWait
		if h.timers.Len() > 0 {
			wait = h.timers.Min().at - h.live.clock()
		}
		wakeUp.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case event := <-h.live.events:
			h.now = h.live.clock()
			event.deliver(h)
		case <-wakeUp.C:
		}
		h.now = h.live.clock()
		h.fireDueTimers()
	}
}

// fireDueTimers fires the timers that are due at h.now, and records the lateness of arrivals.
func (h *hollowIngress) fireDueTimers() {
	for h.timerDueBy(h.now) {
		t := h.timers.Pop()
		if t.kind == arrivalTimer {
			h.recorder.record(h.index, metricLateness, h.now-t.at)
		}
		h.fireTimer(t)
	}
}
