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
	writer := &replyWriter{
		conn:          conn,
		queue:         make(chan pendingReply, maxUnansweredCalls),
		silenced:      silenced,
		stopRequested: make(chan struct{}),
		stopped:       make(chan struct{}),
		onWrite:       onWrite,
	}
	go writer.run()
	return writer
}

// enqueue adds a pending reply after those of earlier calls. A nil reply ends the writing. enqueue blocks while the queue
// is full.
func (writer *replyWriter) enqueue(reply pendingReply) {
	writer.unansweredCalls.Add(1)
	select {
	case writer.queue <- reply:
	case <-writer.silenced:
	case <-writer.stopped:
	}
}

// stop closes the connection and waits for the goroutine to return.
func (writer *replyWriter) stop() {
	close(writer.stopRequested)
	writer.conn.Close()
	<-writer.stopped
}

func (writer *replyWriter) isSilenced() bool {
	select {
	case <-writer.silenced:
		return true
	default:
		return false
	}
}

func (writer *replyWriter) run() {
	defer close(writer.stopped)
	for !writer.isSilenced() {
		text, ok := writer.nextAnswer()
		if !ok || writer.isSilenced() {
			return
		}
		n, err := writer.conn.Write(text)
		writer.unansweredCalls.Add(-1)
		writer.onWrite(n)
		if err != nil {
			writer.conn.Close()
			return
		}
	}
}

// nextAnswer waits for the reply to the oldest call. ok is false if no further reply may be written.
func (writer *replyWriter) nextAnswer() (text []byte, ok bool) {
	var reply pendingReply
	select {
	case reply = <-writer.queue:
	case <-writer.silenced:
		return nil, false
	case <-writer.stopRequested:
		return nil, false
	}
	if reply == nil {
		return nil, false
	}
	select {
	case text, ok = <-reply:
		if !ok {
			writer.conn.Close()
		}
		return text, ok
	case <-writer.silenced:
		return nil, false
	case <-writer.stopRequested:
		return nil, false
	}
}
