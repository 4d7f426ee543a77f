package standin

import (
	"net"
	"sync/atomic"
)

// maxUnansweredCalls is the number of calls of one connection that may be without an answer. The connection is not read
// further then.
const maxUnansweredCalls = 512

// pendingReply is the place of one answer, in a channel that holds one. Where it is closed instead, its connection
// ends.
type pendingReply chan []byte

// completedReply returns the place of an answer that is already there.
func completedReply(text string) pendingReply {
	r := make(pendingReply, 1)
	r <- []byte(text)
	return r
}

// replyWriter writes the answers of one connection in the order of its calls, whatever the order in which they become
// ready.
type replyWriter struct {
	conn       net.Conn
	queue      chan pendingReply
	unanswered atomic.Int32    // calls without an answer
	silenced   <-chan struct{} // closed: nothing is written any more; nil: never
	stopping   chan struct{}   // closed: nobody waits for answers
	stopped    chan struct{}   // closed: no answer will be written
	onWrite    func(bytes int)
}

// newReplyWriter starts a writer. Its goroutine ends with silenced, with a write that fails or with stop, which waits
// for it.
func newReplyWriter(conn net.Conn, silenced <-chan struct{}, onWrite func(int)) *replyWriter {
	w := &replyWriter{
		conn:     conn,
		queue:    make(chan pendingReply, maxUnansweredCalls),
		silenced: silenced,
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
		onWrite:  onWrite,
	}
	go w.run()
	return w
}

// enqueue gives a call its place behind the ones before it; nil ends the answers there.
func (w *replyWriter) enqueue(reply pendingReply) {
	w.unanswered.Add(1)
	select {
	case w.queue <- reply:
	case <-w.silenced:
	case <-w.stopped:
	}
}

// stop closes the connection, ends the writing and waits for its end.
func (w *replyWriter) stop() {
	close(w.stopping)
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
		w.unanswered.Add(-1)
		w.onWrite(n)
		if err != nil {
			w.conn.Close()
			return
		}
	}
}

// nextAnswer waits for the answer of the oldest call; ok is false where none will be written any more.
func (w *replyWriter) nextAnswer() (text []byte, ok bool) {
	var reply pendingReply
	select {
	case reply = <-w.queue:
	case <-w.silenced:
		return nil, false
	case <-w.stopping:
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
	case <-w.stopping:
		return nil, false
	}
}
