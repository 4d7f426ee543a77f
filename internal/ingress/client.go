package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	mostPipelined = 64                      // commands of one connection whose answers are not written yet; more are turned away
	mostTurned    = 512                     // the same, and then the connection ends
	firstCommand  = 2400 * time.Millisecond // from connecting to the end of the first command, and for the rest of a later one
	lingerBytes   = 64 << 10
	floodBytes    = 2 << 20 // the same while an answer is owed: what two systems' buffers hold is read in time
	discardBuffer = 16 << 10
	discardPause  = 10 * time.Millisecond  // after each so many bytes that are of no use
	faultPause    = 100 * time.Millisecond // before the answer to nonsense, longer each time
	mostFaults    = 10                     // pieces of nonsense before a connection ends
)

// client is one connection: a goroutine that reads, one that writes. Answers go out in the order of commands.
type client struct {
	f              *front
	nc             net.Conn
	in             resp.FrameBuffer // the reader's, as all up to blind are
	paused         int32            // faults that were followed by a pause
	left           bool             // the client has gone
	limited        bool             // the rest of a command has a limit
	first          bool             // nothing has been read yet
	refusing       bool             // it is closing for faults: requests are turned away
	flood          int              // bytes read since the last rest, once nothing is taken any more
	opened, readAt time.Time        // when it was accepted, or may have come; when what is in the inbox may have come
	behind         bool             // it may have waited to be accepted since opened
	duplicate      atomic.Uint64    // the last id that was taken already
	blind          bool             // what is read may have waited for long, and it is not known whether the client is still there
	wake           chan struct{}
	written        chan struct{} // closed when nothing is written any more
	faults         atomic.Int32  // pieces of nonsense that came
	mu             sync.Mutex
	waiting        []*slot // commands whose answers are not in out yet
	out            []byte
	ready          int          // answers in out
	pending        int          // commands whose answers are not written
	unsent         int          // bytes of answers that are not written
	used           time.Time    // when it was opened, the last command came or the last answer left
	spoken         bool         // a whole command has come
	closing        bool         // it will end when nothing waits for an answer
	ended          bool         // it has: nothing is taken any more
	why            closeReason  // for its end
	cut            bool         // broken off by the ingress, whatever was owed
	deaf           bool         // the reader takes no more commands: the writer may end the connection by itself
	kicked         bool         // the writer wants the reader's word that the connection may end; its reads fail until then
	limitAt        time.Time    // for reading; zero: none
	goneAt         atomic.Int64 // when gone was set, on the gateway's clock; 0: not yet
	gone           atomic.Bool  // it is over: no answer is kept and no attempt begins any more; set under mu
}

// The events of a client.
type (
	arrived   struct{ r *request }
	abandoned struct{ reqs []*request }
)

func newClient(f *front, nc net.Conn) *client {
	c := &client{f: f, nc: nc, wake: make(chan struct{}, 1), written: make(chan struct{}), used: time.Now(),
		first: true}
	c.opened = c.used
	if f != nil {
		c.in.Budget = f.frames
	}
	return c
}

// serve runs a connection to its end.
func (c *client) serve() {
	defer c.f.wg.Done()
	done := make(chan struct{})
	go func() {
		defer close(c.written)
		c.write(done)
	}()
	if c.read() {
		c.discard()
	}
	left := c.leave()
	c.nc.Close()
	c.observe().connectionClosed(c, left)
	if len(left) > 0 { // told before the writer has ended: it may not run for a while
		c.f.gw.post(abandoned{left})
	}
	close(done)
	<-c.written
	c.mu.Lock()
	c.f.unsent.Add(-int64(c.unsent))
	c.mu.Unlock()
	c.f.mu.Lock()
	delete(c.f.clients, c)
	c.f.mu.Unlock()
	<-c.f.slots
}

// leave marks the connection as over and returns the requests that nobody waits for any more.
func (c *client) leave() (left []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone.Store(true)
	if c.f.gw != nil {
		c.goneAt.Store(int64(c.f.gw.clock(time.Now())))
	}
	for _, s := range c.waiting {
		if s.reply == nil {
			left = append(left, s.req)
		}
	}
	return left
}

// owes says whether a command waits for its answer.
func (c *client) owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0
}

// discard reads on without a use for it until the last answer is written, so that a client that leaves before is noticed,
// and for a little after. It is slow on purpose: a flood costs its sender's time only. But the end of a client that is
// owed an answer lies behind all that it sent, so until then it is only as slow as lets that be read in time.
func (c *client) discard() {
	c.limit(time.Time{})
	buf := make([]byte, discardBuffer)
	for {
		n, err := c.nc.Read(buf)
		if sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
			continue
		}
		if err != nil { // gone, or the writer's limit has passed
			return
		}
		c.rest(n)
	}
}

// rest slows down the reading of what is of no use.
func (c *client) rest(n int) {
	most := lingerBytes
	if c.owes() {
		most = floodBytes
	}
	if c.flood += n; c.flood > most {
		c.flood = 0
		time.Sleep(discardPause)
	}
}

// limit sets how long reading may take; once the connection has ended, or is asked to, that is the writer's.
func (c *client) limit(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitAt = t
	if !c.ended && !c.kicked {
		c.nc.SetReadDeadline(t)
	}
}

// kick makes the reader say whether the connection may end: only it knows whether it holds what it has read and not taken.
// c.mu is held.
func (c *client) kick() {
	c.kicked = true
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// mayEnd is the reader's answer, given while it holds no whole command: the connection ends, unless a command waits for its
// answer or has begun to come. One that has begun is no reason to keep a place that others need.
func (c *client) mayEnd() (asked, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.kicked {
		return false, false
	}
	c.kicked = false
	c.nc.SetReadDeadline(c.limitAt)
	if c.closing && len(c.waiting) == 0 && (!c.in.Partial() || c.why == closeForRoom) {
		c.end()
		return true, true
	}
	return true, false
}

// endIdle ends the connection if no answer is owed on it; the reader asks for it by itself, between two reads.
func (c *client) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) > 0 {
		return false
	}
	c.end()
	return true
}

// end leaves the rest to the writer; c.mu is held.
func (c *client) end() {
	c.ended, c.deaf, c.kicked = true, true, false
	c.nc.SetReadDeadline(time.Time{})
	c.signal()
}

// stopTaking leaves the end of the connection to the writer: what is read from now on is of no use.
func (c *client) stopTaking() {
	c.mu.Lock()
	c.deaf, c.kicked = true, false
	c.mu.Unlock()
	c.close(closeForFaults)
}

// closeSoon closes as close does, but leaves a connection that is so new that its first command may be under way the time
// to bring it.
func (c *client) closeSoon() {
	c.mu.Lock()
	fresh := newcomer - time.Since(c.used)
	spoken := c.spoken
	c.mu.Unlock()
	if spoken || fresh <= 0 {
		c.close(closeShutdown)
		return
	}
	time.AfterFunc(fresh, func() { c.close(closeShutdown) })
}

// close asks for the end of the connection at the next moment between requests.
func (c *client) close(why closeReason) {
	c.mu.Lock()
	c.closing = true
	c.because(why)
	c.mu.Unlock()
	c.signal()
}

// breakOff ends the connection at once, whatever is owed on it.
func (c *client) breakOff(why closeReason) {
	c.mu.Lock()
	c.because(why)
	c.cut = true
	c.mu.Unlock()
	c.nc.Close()
}

// because keeps the first reason for the end of the connection; c.mu is held.
func (c *client) because(why closeReason) {
	if c.why == closeByClient {
		c.why = why
	}
}

// observe is where what happens on the connection is counted and logged.
func (c *client) observe() *observer { return c.f.observe }

// remote is the client's address, for the log.
func (c *client) remote() string {
	if c.nc == nil || c.nc.RemoteAddr() == nil {
		return ""
	}
	return c.nc.RemoteAddr().String()
}

func (c *client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
