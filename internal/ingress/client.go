package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
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
	f       *front
	nc      net.Conn
	in      inbox // the reader's, as the next three are
	paused  int32 // faults that were followed by a pause
	left    bool  // the client has gone
	blind   bool  // what is read may have waited for long, and it is not known whether the client is still there
	wake    chan struct{}
	written chan struct{} // closed when nothing is written any more
	faults  atomic.Int32  // pieces of nonsense that came
	mu      sync.Mutex
	waiting []*slot // commands whose answers are not in out yet
	out     []byte
	ready   int         // answers in out
	pending int         // commands whose answers are not written
	unsent  int         // bytes of answers that are not written
	used    time.Time   // when it was opened, the last command came or the last answer left
	spoken  bool        // a whole command has come
	closing bool        // it will end when nothing waits for an answer
	ended   bool        // it has: nothing is taken any more
	why     closeReason // for its end
	gone    atomic.Bool // it is over: no answer is kept and no attempt begins any more; set under mu
}

// The events of a client.
type (
	arrived   struct{ r *request }
	abandoned struct{ reqs []*request }
)

func newClient(f *front, nc net.Conn) *client {
	c := &client{f: f, nc: nc, wake: make(chan struct{}, 1), written: make(chan struct{}), used: time.Now()}
	if f != nil {
		c.in.budget = f.frames
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
		// The framing is lost. What came before is answered, then the fault, then the connection ends.
		c.close(closeForFaults)
		c.discard()
	}
	left := c.leave()
	c.nc.Close()
	c.observe().connectionClosed(c, len(left))
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
	for n := 0; ; {
		k, err := c.nc.Read(buf)
		if err != nil { // gone, or the writer's limit has passed
			return
		}
		most := lingerBytes
		if c.owes() {
			most = floodBytes
		}
		if n += k; n > most {
			n = 0
			wait(context.Background(), discardPause)
		}
	}
}

// limit sets how long reading may take; once the connection has ended that is the writer's.
func (c *client) limit(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.nc.SetReadDeadline(t)
	}
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

// read takes commands until the connection ends; it says whether that was for nonsense.
func (c *client) read() (lost bool) {
	defer c.in.close()
	limited, first := false, true
	for {
		f, err := c.in.next()
		switch {
		case f != nil:
			if c.crowded(mostTurned) {
				c.fault(faultFlood, "too many commands at once")
				return true
			}
			c.command(f, time.Now())
			if n := c.faults.Load(); n >= mostFaults {
				return true
			} else if c.left || n > c.paused && !c.pause(n) { // of a fault that the gateway found
				return false
			}
			if limited { // the next one has its own time
				c.limit(time.Time{})
				limited = false
			}
			continue
		case err == nil:
			// Only the rest of a command has a time limit, from its beginning on; setting one for each read would
			// cost CPU.
			if c.in.partial() && !limited {
				c.limit(time.Now().Add(firstCommand))
				limited = true
			}
			err = c.in.fill(c.nc.Read)
			if err == nil && (first || c.blind) { // it may have been in the backlog for long
				first = false
				if !c.look() {
					return false
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, errFraming):
			c.fault(faultFraming, err.Error())
			return true
		case errors.Is(err, errTooLong):
			c.fault(faultTooLong, err.Error())
			return true
		case errors.Is(err, errMemory):
			c.fault(faultMemory, err.Error())
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && limited:
			c.fault(faultUnfinished, "the command does not end")
			return true
		default:
			return false
		}
	}
}

// fault answers nonsense, after a pause.
func (c *client) fault(kind faultKind, text string) {
	n := c.faults.Add(1)
	c.observe().fault(c, kind, text, n)
	if c.left = !c.pause(n); !c.left {
		c.reply(redcon.AppendError(nil, "ERR "+text))
	}
}

// pause follows the n-th fault, longer each time: a client that repeats nonsense as soon as it has been turned away takes no
// CPU from the others. What comes meanwhile is kept as far as there is room, so that a client that leaves is noticed, which
// it tells. Where more comes a client that is owed an answer is read on at once, or nobody would see it leave.
func (c *client) pause(n int32) (here bool) {
	c.paused = n
	until := time.Now().Add(time.Duration(n) * faultPause)
	for c.in.room() {
		c.limit(until)
		err := c.in.fill(c.nc.Read)
		c.limit(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return !c.hasEnded()
		}
		if err != nil {
			return false
		}
	}
	if c.owes() {
		return true
	}
	select {
	case <-time.After(time.Until(until)):
	case <-c.written:
	}
	c.blind = true
	return c.look()
}

// look reads what has come, without waiting and as far as there is memory, up to the client's end: it says whether that
// is not there. One that has been read up to what it last sent is blind no more.
func (c *client) look() (here bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		c.blind = false
		return true
	}
	raw, err := sc.SyscallConn()
	for err == nil {
		err = c.in.fill(func(b []byte) (int, error) { return readNow(raw, b) })
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		c.blind = false
		return true
	case errors.Is(err, errTooLong), errors.Is(err, errMemory), errors.Is(err, os.ErrDeadlineExceeded):
		return true // the next read will tell
	}
	return false
}

// readNow reads once and never waits: where nothing has come the error is EAGAIN.
func readNow(raw syscall.RawConn, b []byte) (n int, err error) {
	over := raw.Read(func(fd uintptr) bool {
		for n, err = syscall.Read(int(fd), b); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), b)
		}
		return true
	})
	switch {
	case over != nil:
		return 0, over
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// crowded says whether so many commands wait for their answers to be written.
func (c *client) crowded(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending >= most
}

func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// command takes one whole command.
func (c *client) command(f []byte, at time.Time) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 {
		c.fault(faultCommand, "a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		c.reply(redcon.AppendString(nil, "PONG"))
	case "Q.ASK", "Q.DO":
		r, err := c.f.gw.parse(args, at)
		if err != nil {
			c.fault(faultRequest, err.Error())
			return
		}
		if c.blind || c.crowded(mostPipelined) { // reading never stops, or nobody would see this client leave
			c.observe().turnedAway(r, "the connection has too many open commands")
			c.reply(c.f.gw.turnedAway)
			return
		}
		if s := c.open(r); s != nil {
			r.slot = s
			c.observe().requests.Add(requestsRead)
			c.f.gw.post(arrived{r})
		}
	default:
		c.fault(faultCommand, "unknown command")
	}
}
