package ingress

import (
	"bytes"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

// requestWordEnd is where the first word of a request has ended in its command, at the latest.
const requestWordEnd = 32

var (
	errEnded      = errors.New("the connection has ended between requests")
	errUnfinished = errors.New("the command does not end")
)

// read takes commands until the connection ends; it says whether the writer ends it, and what still comes is to be read.
func (c *client) read() (linger bool) {
	defer c.in.Close()
	for {
		f, err := c.in.Next()
		if f != nil {
			if !c.take(f) {
				return false
			}
			continue
		}
		if err == nil {
			err = c.more()
		}
		switch kind, fault := faultOf(err); {
		case err == nil:
		case errors.Is(err, errEnded):
			return true
		case fault: // the framing is lost: what came before is answered, then the fault, then the connection ends
			c.fault(kind, err.Error())
			c.stopTaking()
			return true
		default:
			return false
		}
	}
}

// faultOf says whether an error of reading is the client's fault, and which.
func faultOf(err error) (faultKind, bool) {
	switch {
	case errors.Is(err, resp.ErrMalformed):
		return faultFraming, true
	case errors.Is(err, resp.ErrTooLong):
		return faultTooLong, true
	case errors.Is(err, resp.ErrNoMemory):
		return faultMemory, true
	case errors.Is(err, errUnfinished):
		return faultUnfinished, true
	}
	return 0, false
}

// more reads once more. Only the rest of a command has a time limit, from its beginning on; setting one for each read would
// cost CPU.
func (c *client) more() error {
	if c.refusing && c.endIdle() {
		return errEnded
	}
	if c.in.Partial() && !c.limited {
		from := time.Now()
		if !c.hasSpoken() {
			from = c.opened
		}
		c.limit(from.Add(firstCommand))
		c.limited = true
	}
	before := len(c.in.Buffered())
	err := c.in.Fill(c.nc.Read)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		switch asked, ended := c.mayEnd(); {
		case ended:
			return errEnded
		case asked:
			return nil
		case c.limited:
			return errUnfinished
		}
	}
	if sockets.IsTransient(err) {
		time.Sleep(sockets.TransientErrorPause)
		return nil
	}
	if err != nil {
		return err
	}
	if c.refusing {
		c.rest(len(c.in.Buffered()) - before)
	}
	return c.came()
}

// came notes when what was just read may have come. What may have waited for long is read up to its end, in case the client
// has left since.
func (c *client) came() error {
	now := time.Now()
	c.readAt = c.f.holdUps.cameBy(now)
	if c.first && c.behind && c.opened.Before(c.readAt) {
		c.readAt = c.opened
	}
	waited := c.first || c.blind || c.readAt.Before(now)
	c.first = false
	if waited && !c.look() {
		return io.EOF
	}
	return nil
}

// take handles one whole command; it says whether the client is still there.
func (c *client) take(f []byte) (here bool) {
	if !c.refusing && c.crowded(mostTurned) {
		c.tooMany()
	} else {
		c.command(f)
	}
	switch n := c.faults.Load(); {
	case c.left:
		return false
	case c.refusing:
	case n >= mostFaults:
		c.refuse()
	case n > c.paused && !c.pause(n): // of a fault that the gateway found
		return false
	}
	if c.limited { // the next one has its own time
		c.limit(time.Time{})
		c.limited = false
	}
	return true
}

// refuse ends the connection as soon as no answer is owed on it. What is read until then is answered in its order, without
// pauses, and requests are turned away.
func (c *client) refuse() {
	c.refusing = true
	c.close(closeForFaults)
}

// tooMany answers the command that is one too many on the connection.
func (c *client) tooMany() {
	const text = "too many commands at once"
	c.observe().fault(c, faultFlood, text, c.faults.Add(1))
	c.reply(redcon.AppendError(nil, "ERR "+text))
	c.refuse()
}

// fault answers nonsense, after a pause.
func (c *client) fault(kind faultKind, text string) {
	n := c.faults.Add(1)
	c.observe().fault(c, kind, text, n)
	if c.left = !c.refusing && !c.pause(n); !c.left {
		c.reply(redcon.AppendError(nil, "ERR "+text))
	}
}

// pause follows the n-th fault, longer each time: a client that repeats nonsense as soon as it has been turned away takes no
// CPU from the others. What comes meanwhile is kept as far as there is room, so that a client that leaves is noticed, which
// it tells. A request among it ends the pause: it must not wait for the faults before it, which may be other clients' where a
// front shares the connection. Where more comes than there is room for, a client that is owed an answer is read on at once,
// or nobody would see it leave.
func (c *client) pause(n int32) (here bool) {
	c.paused = n
	until := time.Now().Add(time.Duration(n) * faultPause)
	for c.in.HasRoom() {
		if c.requestWaits() {
			c.blind = true
			return c.look()
		}
		c.limit(until)
		err := c.in.Fill(c.nc.Read)
		c.limit(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) { // or the writer asks: the next read answers
			return true
		}
		if sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
			continue
		}
		if err != nil {
			return false
		}
		c.readAt = c.f.holdUps.cameBy(time.Now())
	}
	if c.owes() {
		return true
	}
	if !c.requestWaits() {
		select {
		case <-time.After(min(time.Until(until), c.f.unreadMost)):
		case <-c.written:
		}
	}
	c.blind = true
	return c.look()
}

// requestWaits says whether a well-formed request has been read and not taken. One whose id was taken already does not count:
// its client would get round the pauses with it.
func (c *client) requestWaits() bool {
	for b := c.in.Buffered(); ; {
		n, err := resp.FrameLength(b)
		if n == 0 || err != nil {
			return false
		}
		if c.isNewRequest(b[:n]) {
			return true
		}
		b = b[n:]
	}
}

// isNewRequest says whether a command is a well-formed request whose id was not found taken on this connection.
func (c *client) isNewRequest(f []byte) bool {
	if !bytes.Contains(f[:min(len(f), requestWordEnd)], []byte("Q.")) { // a flood of others is cheap to look through
		return false
	}
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 || !isRequest(args[0]) {
		return false
	}
	r, err := c.f.gw.parse(args, c.readAt)
	return err == nil && r.key != c.duplicate.Load()
}

func isRequest(word []byte) bool { return string(word) == "Q.ASK" || string(word) == "Q.DO" }

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
		err = c.in.Fill(func(b []byte) (int, error) { return readNow(raw, b) })
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		c.blind = false
		return true
	case sockets.IsTransient(err), errors.Is(err, resp.ErrTooLong), errors.Is(err, resp.ErrNoMemory), errors.Is(err, os.ErrDeadlineExceeded):
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

func (c *client) hasSpoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spoken
}

// command takes one whole command.
func (c *client) command(f []byte) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	switch {
	case err != nil || !whole || len(args) == 0:
		c.fault(faultCommand, "a command is an array of bulk strings")
	case isRequest(args[0]):
		c.request(args)
	case string(args[0]) != "PING":
		c.fault(faultCommand, "unknown command")
	default:
		c.reply(redcon.AppendString(nil, "PONG"))
	}
}

// request hands a request to the gateway, or turns it away. Reading never stops for want of room, or nobody would see this
// client leave.
func (c *client) request(args [][]byte) {
	r, err := c.f.gw.parse(args, c.readAt)
	if err != nil {
		c.fault(faultRequest, err.Error())
		return
	}
	c.observe().requests.Add(requestsRead)
	if c.refusing || c.blind || c.crowded(mostPipelined) {
		c.observe().requestRejected(r, "the connection is closing, or has too many open commands")
		c.reply(c.f.gw.rejection)
		return
	}
	s := c.open(r)
	if s == nil {
		c.observe().violated(ruleFinalAnswer, r, c.f.gw.clock(time.Now()), "read on a connection that has ended")
		return
	}
	r.slot = s
	c.f.gw.post(arrived{r})
}
