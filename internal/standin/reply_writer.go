package standin

import (
	"net"
	"sync/atomic"
)

// maxUnansweredCalls is the maximum number of queued replies of one connection. Reading from the connection pauses while
// that many are queued.
const maxUnansweredCalls = 512

// pendingReply is a channel with capacity 1 that gets the reply to one call. If it is closed without a reply, the
// connection is closed.
type pendingReply chan []byte

// completedReply returns a pending reply that already holds its text.
func completedReply(text string) pendingReply {
	reply := make(pendingReply, 1)
	reply <- []byte(text)
	return reply
}

// replyWriter writes the replies of one connection in the order of its calls, regardless of the order in which they
// become ready.
type replyWriter struct {
	conn            net.Conn
	queue           chan pendingReply
	unansweredCalls atomic.Int32    // calls without a written reply
	silenced        <-chan struct{} // closed when no further reply may be written; nil means never
	stopRequested   chan struct{}   // closed to make the goroutine return
	stopped         chan struct{}   // closed when the goroutine returns and no further reply is written
	onWrite         func(bytes int) // called by the goroutine after each write
}

// newReplyWriter starts a writer. Its goroutine returns when silenced is closed, after a failed write, at a pending reply
// that is nil or closed, or on stop, which waits for it.
func newReplyWriter(conn net.Conn, silenced <-chan struct{}, onWrite func(int)) *replyWriter {
	w := &replyWriter{
		conn:          conn,
		queue:         make(chan pendingReply, maxUnansweredCalls),
		silenced:      silenced,
		stopRequested: make(chan struct{}),
		stopped:       make(chan struct{}),
		onWrite:       onWrite,
	}
	go w.run()
	return w
}

// enqueue adds a pending reply after those of earlier calls. A nil reply ends the writing. enqueue blocks while the queue
// is full.
func (w *replyWriter) enqueue(reply pendingReply) {
	w.unansweredCalls.Add(1)
	select {
	case w.queue <- reply:
	case <-w.silenced:
	case <-w.stopped:
	}
}

// stop closes the connection and waits for the goroutine to return.
func (w *replyWriter) stop() {
	close(w.stopRequested)
	w.conn.Close()
	<-w.stopped
}

func (w *replyWriter) isSilenced() bool {
	select {
	case <-w.silenced:
		return true
	default:
		return false
	}
}

func (w *replyWriter) run() {
	defer close(w.stopped)
	for !w.isSilenced() {
		text, ok := w.nextAnswer()
		if !ok || w.isSilenced() {
			return
		}
		n, err := w.conn.Write(text)
		w.unansweredCalls.Add(-1)
		w.onWrite(n)
		if err != nil {
			w.conn.Close()
			return
		}
	}
}

// nextAnswer waits for the reply to the oldest call. ok is false if no further reply may be written.
func (w *replyWriter) nextAnswer() (text []byte, ok bool) {
	var reply pendingReply
	select {
	case reply = <-w.queue:
	case <-w.silenced:
		return nil, false
	case <-w.stopRequested:
		return nil, false
	}
	if reply == nil {
		return nil, false
	}
	select {
	case text, ok = <-reply:
		if !ok {
			w.conn.Close()
		}
		return text, ok
	case <-w.silenced:
		return nil, false
	case <-w.stopRequested:
		return nil, false
	}
}
