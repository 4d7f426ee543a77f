package counterclient

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"lemontack/internal/sockets"
	"lemontack/policy"
)

const (
	maxBatchCalls     = queueCapacity / 2     // maximum number of calls in one write
	idleTimeout       = 3 * time.Second       // maximum time without a call; shorter than the idle timeout of the counter
	maxSilentTimeouts = 4                     // number of call timeouts without an answer after which a session is closed
	lineTimeout       = 20 * time.Millisecond // maximum time for the rest of an answer that has been received in part
	readBufferSize    = 1 << 10               // bytes; also the maximum length of an answer
)

// session is one TCP connection to the counter. One goroutine writes calls, another reads the answers, which arrive in the same
// order.
type session struct {
	*connection
	socket       net.Conn
	answers      *sockets.ReplyReader
	pendingCalls chan *Call    // written calls without an answer, from the writer to the reader
	allAnswered  chan struct{} // signals to the writer that no call is pending; capacity 1
	readerDone   chan struct{} // closed when the reader has ended

	// Used only by the writer.
	buffer   []byte
	callEnds []int // end offsets of the calls in buffer
}

func newSession(c *connection, socket net.Conn) *session {
	return &session{
		connection:   c,
		socket:       socket,
		answers:      sockets.NewReplyReader(socket),
		pendingCalls: make(chan *Call, queueCapacity),
		allAnswered:  make(chan struct{}, 1),
		readerDone:   make(chan struct{}),
	}
}

// writeCalls writes calls, beginning with the first, until the session ends, and then closes it.
func (s *session) writeCalls(ctx context.Context, first *Call) {
	// Ends when the socket is closed; close awaits it.
	go func() {
		defer close(s.readerDone)
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

// fillBatch appends queued calls to a batch, up to maxBatchCalls.
func (s *session) fillBatch(batch []*Call) []*Call {
	for len(batch) < maxBatchCalls {
		select {
		case call := <-s.queue:
			batch = append(batch, call)
		default:
			return batch
		}
	}
	return batch
}

// write writes the calls of a batch that have not expired. A call is not written, and times out, if pendingCalls is full. It returns
// an error, and the session has to end, if the write fails or the counter has sent anything while no call was pending.
func (s *session) write(batch []*Call) error {
	if len(s.pendingCalls) == 0 {
		s.setReadTimeout(true)
	}
	s.buffer, s.callEnds = s.buffer[:0], s.callEnds[:0]
	written := batch[:0]
	for _, call := range batch {
		if len(s.pendingCalls) == cap(s.pendingCalls) || !call.state.leaveQueued(callWritten) {
			continue
		}
		s.buffer = appendCall(s.buffer, call.increment)
		s.callEnds = append(s.callEnds, len(s.buffer))
		written = append(written, call)
		s.pendingCalls <- call
	}
	n, err := s.writeBuffer(len(written))
	for i, call := range written {
		call.notFullyWritten = s.callEnds[i] > n
	}
	return err
}

// writeBuffer writes the buffer, which holds the given number of calls, and returns the number of bytes written.
func (s *session) writeBuffer(calls int) (int, error) {
	if err := s.answers.Expect(calls); err != nil {
		return 0, err
	}
	s.socket.SetWriteDeadline(time.Now().Add(s.timeout))
	return s.socket.Write(s.buffer)
}

// nextCall returns the next call, or false if the session has to end. After an address change it first waits for the pending
// calls, because the answers for a name have to arrive in the order of its calls.
func (s *session) nextCall() (next *Call, isOpen bool) {
	select {
	case call := <-s.queue:
		return call, true
	case s.address = <-s.addressUpdates:
		s.awaitPending()
		return nil, false
	case <-s.readerDone:
		return nil, false
	}
}

// awaitPending waits for the answers of the pending calls, for one call timeout at most.
func (s *session) awaitPending() {
	timeout := time.After(s.timeout)
	for len(s.pendingCalls) > 0 {
		select {
		case <-s.allAnswered:
		case <-s.readerDone:
			return
		case <-timeout:
			return
		}
	}
}

// close closes the socket, waits for the reader and reports the results of the calls that have no answer. A call whose last byte
// was not written has added nothing.
func (s *session) close() {
	s.socket.Close()
	<-s.readerDone
	for len(s.pendingCalls) > 0 {
		call := <-s.pendingCalls
		outcome := policy.Reset
		if call.notFullyWritten {
			outcome = policy.ConnectFailed
		}
		s.reportResult(Result{Call: call, Outcome: outcome})
	}
}

// readAnswers reads the answers and reports the results of their calls until the session fails. It returns after a malformed
// answer: its call was counted, but later answers cannot be matched with their calls. It also returns when the counter has sent
// anything while no call is pending.
func (s *session) readAnswers() {
	input := bufio.NewReaderSize(s.answers, readBufferSize)
	for {
		line, err := s.readLine(input)
		if len(s.pendingCalls) == 0 || err != nil && len(line) == 0 {
			return
		}
		result := Result{Call: <-s.pendingCalls, Outcome: policy.Failed}
		if err == nil {
			result.Outcome, result.Total = parseAnswer(string(line))
			s.setReadTimeout(len(s.pendingCalls) > 0)
		}
		isUsable := s.answers.Received(input.Buffered()) == nil
		s.reportResult(result)
		if result.Outcome == policy.Failed {
			return
		}
		if len(s.pendingCalls) == 0 {
			s.signalAllAnswered()
		}
		if !isUsable {
			return
		}
	}
}

func (s *session) signalAllAnswered() {
	select {
	case s.allAnswered <- struct{}{}:
	default:
	}
}

// readLine reads one answer. Once part of it has been received, the rest has to arrive within lineTimeout, so that the calls
// after it do not wait for an answer that never ends.
func (s *session) readLine(input *bufio.Reader) ([]byte, error) {
	if _, err := input.Peek(1); err != nil {
		return nil, err
	}
	if received, _ := input.Peek(input.Buffered()); bytes.IndexByte(received, '\n') < 0 {
		s.socket.SetReadDeadline(time.Now().Add(lineTimeout))
	}
	return input.ReadSlice('\n')
}

// setReadTimeout sets the maximum time without input from the counter: maxSilentTimeouts call timeouts while calls are pending,
// else idleTimeout.
func (s *session) setReadTimeout(hasPending bool) {
	timeout := idleTimeout
	if hasPending {
		timeout = maxSilentTimeouts * s.timeout
	}
	s.socket.SetReadDeadline(time.Now().Add(timeout))
}
