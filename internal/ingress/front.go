package ingress

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/stall"
)

const (
	idleTime    = 2100 * time.Millisecond // a connection without an open request is closed then
	tidyEvery   = 250 * time.Millisecond
	slotPause   = 5 * time.Millisecond // before a further connection is closed for want of a place
	newcomer    = 50 * time.Millisecond
	unreadShare = 4 // of the shortest deadline, a client may be left unread for one part
)

// front is the server side: it accepts clients on one address.
type front struct {
	ln         net.Listener
	gw         *Gateway
	slots      chan struct{}      // one for each connection that may be open
	frames     *resp.MemoryBudget // memory of commands that are coming in
	unsent     atomic.Int64
	mostUnsent int64 // bytes of answers that clients have not read, all together
	mu         sync.Mutex
	clients    map[*client]bool
	draining   bool
	accepted   chan struct{} // closed when no more are
	wg         sync.WaitGroup
	observe    *observer
	stalls     *stall.Detector // nil: not noticed
	unreadMost time.Duration   // a client of which nothing is owed may be left unread for so long
	backlog    backlog
}

func newFront(ln net.Listener, gw *Gateway, most, memory int) *front {
	f := &front{ln: ln, gw: gw, observe: newObserver(slog.New(slog.DiscardHandler)), unreadMost: time.Duration(math.MaxInt64), slots: make(chan struct{}, most), frames: resp.NewMemoryBudget(memory),
		mostUnsent: int64(memory), clients: map[*client]bool{}, accepted: make(chan struct{})}
	if gw != nil {
		f.observe, f.stalls = gw.observe, gw.stalls
		for _, class := range gw.classes {
			f.unreadMost = min(f.unreadMost, class.Deadline/unreadShare)
		}
	}
	return f
}

// accept takes connections until the listener closes, or none has come for as long as a drain waits for them.
func (f *front) accept() {
	defer close(f.accepted)
	for {
		began := time.Now()
		f.takeSlot()
		asked := time.Now()
		f.backlog.waited(began, asked)
		nc, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			<-f.slots
			f.acceptFailed(err, asked)
			continue
		}
		c := newClient(f, nc)
		c.opened, c.behind = f.backlog.accepted(c.opened)
		f.mu.Lock()
		f.clients[c] = true
		f.wg.Add(1)
		closing := f.draining
		f.mu.Unlock()
		if closing {
			c.closeSoon()
		}
		go c.serve()
	}
}

// acceptFailed pauses where the next try may fail likewise: the process or the machine is out of descriptors or memory. A
// connection that was given up before it was accepted tells nothing of the next one.
func (f *front) acceptFailed(err error, asked time.Time) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return
	}
	if ok, suppressed := f.observe.anomalies.Allow(asked); ok {
		f.observe.log.Warn("no connection can be accepted", "err", err, "suppressed before", suppressed)
	}
	time.Sleep(acceptPause)
	f.backlog.failed(asked, time.Now())
}

// takeSlot waits for the place of a further connection. Clients keep idle ones for good and hundreds may say nothing at
// all, so where all places are taken one of these is closed.
func (f *front) takeSlot() {
	for {
		select {
		case f.slots <- struct{}{}:
			return
		default:
		}
		f.closeIdlest(time.Now())
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(slotPause):
		}
	}
}

// closeIdlest closes the oldest connection that has said nothing yet, or else the one that has been between requests
// for the longest.
func (f *front) closeIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *client
	var since time.Time
	var state connState
	for c := range f.clients {
		c.mu.Lock()
		free := c.state == stateIdle || c.state == stateNew && now.Sub(c.used) > newcomer
		if free && (idlest == nil || state == stateIdle && c.state == stateNew || state == c.state && c.used.Before(since)) {
			idlest, since, state = c, c.used, c.state
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close(closeForRoom)
	}
}

// tidy closes, until ctx ends, the connections that have been without an open request for too long: every one of them
// keeps memory and a descriptor, and some clients ask once and stay for good, or never ask.
func (f *front) tidy(ctx context.Context) {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.mu.Lock()
			for c := range f.clients {
				c.mu.Lock()
				idle := now.Sub(c.used)
				over := len(c.waiting) == 0 && (c.received && idle > idleTime || !c.received && idle > firstCommand-tidyEvery)
				c.mu.Unlock()
				if over {
					c.close(closeIdle)
				}
			}
			f.mu.Unlock()
		}
	}
}

// closeFullest closes the connection of the slowest reader.
func (f *front) closeFullest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fullest *client
	most := 0
	for c := range f.clients {
		c.mu.Lock()
		if c.unsent > most {
			fullest, most = c, c.unsent
		}
		c.mu.Unlock()
	}
	if fullest != nil {
		fullest.breakOff(closeStalled)
	}
}

// drain closes every connection as soon as nothing on it waits for an answer, and the listener. Those that have come and
// wait to be accepted hold requests already: they are taken first.
func (f *front) drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	for c := range f.clients {
		c.closeSoon()
	}
	f.mu.Unlock()
	if l, ok := f.ln.(*net.TCPListener); ok {
		l.SetDeadline(time.Now().Add(backlogTime))
		select {
		case <-f.accepted:
		case <-time.After(2 * backlogTime):
		}
	}
	f.ln.Close()
	done := make(chan struct{})
	go func() {
		f.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.mu.Lock()
		for c := range f.clients {
			c.breakOff(closeShutdown)
		}
		f.mu.Unlock()
		<-done
	}
}
