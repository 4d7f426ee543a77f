package counterclient

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"lemontack/policy"
)

const (
	maxBatch        = queueCapacity / 2     // calls of one write, about
	idleTimeout     = 3 * time.Second       // without a call; the session then ends before the counter ends it
	silenceTimeouts = 4                     // timeouts of a call: a session without an answer for so long is dead
	lineTimeout     = 20 * time.Millisecond // for the rest of an answer, a short line
	readBufferSize  = 1 << 10               // bytes; also the maximum length of an answer
)

// session is one TCP connection. One goroutine writes calls, another reads the answers, which come in the same order.
type session struct {
	*connection
	socket  net.Conn
	pending chan *Call    // written, without an answer; sent to by the writer, received from by the reader
	allDone chan struct{} // the reader signals that no call is pending any more
	broken  chan struct{} // closed when the reader has ended

	// Of the writer.
	buffer []byte
	ends   []int // of the calls in buffer
}

func newSession(c *connection, socket net.Conn) *session {
	return &session{
		connection: c,
		socket:     socket,
		pending:    make(chan *Call, queueCapacity),
		allDone:    make(chan struct{}, 1),
		broken:     make(chan struct{}),
	}
}

// writeCalls writes calls, beginning with the first, until the session ends, and closes it.
func (s *session) writeCalls(ctx context.Context, first *Call) {
	// Ends when the socket is closed; close awaits it.
	go func() {
		defer close(s.broken)
		s.readAnswers()
	}()
	stop := context.AfterFunc(ctx, func() { s.socket.Close() })
	defer stop()
	batch := []*Call{first}
	for {
		batch = s.fillBatch(batch)
		if err := s.write(batch); err != nil {
			break
		}
		next, isOpen := s.nextCall()
		if !isOpen {
			break
		}
		batch = append(batch[:0], next)
	}
	s.close()
}

// fillBatch appends the calls that are queued.
func (s *session) fillBatch(batch []*Call) []*Call {
	for len(batch) < maxBatch {
		select {
		case call := <-s.queue:
			batch = append(batch, call)
		default:
			return batch
		}
	}
	return batch
}

// write writes the calls that have not timed out. A call for whose answer there is no place in pending
// times out, unwritten.
func (s *session) write(batch []*Call) error {
	if len(s.pending) == 0 {
		s.setReadTimeout(true)
	}
	s.buffer, s.ends = s.buffer[:0], s.ends[:0]
	written := batch[:0]
	for _, call := range batch {
		if len(s.pending) == cap(s.pending) || !call.state.leaveQueued(callWritten) {
			continue
		}
		s.buffer = appendCall(s.buffer, call.increment)
		s.ends = append(s.ends, len(s.buffer))
		written = append(written, call)
		s.pending <- call
	}
	s.socket.SetWriteDeadline(time.Now().Add(s.timeout))
	n, err := s.socket.Write(s.buffer)
	for i, call := range written {
		call.incomplete = s.ends[i] > n
	}
	return err
}

// nextCall returns the next call, or false if the session has to end. When the address changes it first waits for the calls
// that are pending, before later ones go elsewhere: answers for one name have to come in the order of its calls.
func (s *session) nextCall() (next *Call, isOpen bool) {
	select {
	case call := <-s.queue:
		return call, true
	case s.address = <-s.addresses:
		s.awaitPending()
		return nil, false
	case <-s.broken:
		return nil, false
	}
}

// awaitPending waits for the answers of the pending calls, up to their timeout.
func (s *session) awaitPending() {
	timeout := time.After(s.timeout)
	for len(s.pending) > 0 {
		select {
		case <-s.allDone:
		case <-s.broken:
			return
		case <-timeout:
			return
		}
	}
}

// close closes the socket, waits for the reader and ends the calls that have no answer. A call whose last byte was never
// written has added nothing.
func (s *session) close() {
	s.socket.Close()
	<-s.broken
	for len(s.pending) > 0 {
		call := <-s.pending
		outcome := policy.Reset
		if call.incomplete {
			outcome = policy.ConnectFailed
		}
		s.done(Result{Call: call, Outcome: outcome})
	}
}

// readAnswers ends the pending calls with their answers until the session breaks. It ends at an answer that cannot be read: the
// call was added, and what follows cannot be matched with the calls behind it.
func (s *session) readAnswers() {
	answers := bufio.NewReaderSize(s.socket, readBufferSize)
	for {
		line, err := s.readLine(answers)
		if len(s.pending) == 0 || err != nil && len(line) == 0 {
			return
		}
		result := Result{Call: <-s.pending, Outcome: policy.Failed}
		if err == nil {
			result.Outcome, result.Total = parseAnswer(string(line))
			s.setReadTimeout(len(s.pending) > 0)
		}
		s.done(result)
		if result.Outcome == policy.Failed {
			return
		}
		if len(s.pending) > 0 {
			continue
		}
		s.signalAllDone()
		if answers.Buffered() > 0 { // an answer without a call
			return
		}
	}
}

func (s *session) signalAllDone() {
	select {
	case s.allDone <- struct{}{}:
	default:
	}
}

// readLine waits for an answer. Once one has begun its end has to come within lineTimeout, or the calls behind it would wait
// in vain.
func (s *session) readLine(answers *bufio.Reader) ([]byte, error) {
	if _, err := answers.Peek(1); err != nil {
		return nil, err
	}
	if begun, _ := answers.Peek(answers.Buffered()); bytes.IndexByte(begun, '\n') < 0 {
		s.socket.SetReadDeadline(time.Now().Add(lineTimeout))
	}
	return answers.ReadSlice('\n')
}

// setReadTimeout limits how long the counter may be silent, while calls are pending or while none is.
func (s *session) setReadTimeout(hasPending bool) {
	timeout := idleTimeout
	if hasPending {
		timeout = silenceTimeouts * s.timeout
	}
	s.socket.SetReadDeadline(time.Now().Add(timeout))
}
