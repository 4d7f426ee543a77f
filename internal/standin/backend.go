package standin

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lemontack/internal/minheap"
)

// meanServiceTimeSamples is the number of draws of ServiceTime from which its mean is taken.
const meanServiceTimeSamples = 256

// BackendConfig says what a Backend can do.
type BackendConfig struct {
	Cores       int                                // attempts in service share them evenly; 0: any number
	Slots       int                                // attempts in service at once; 0: any number
	MaxQueued   int                                // attempts that wait for a slot; further ones are rejected
	ServiceTime func(rng *rand.Rand) time.Duration // draws what an attempt takes on a core of its own; nil: nothing

	WarmUp    WarmUp
	StartedAt time.Time // from when on it warms up; zero: long ago
	Overload  OverloadLimit

	LoadReports bool                          // answers hold a load report
	ReplyValue  func(command []string) string // what an attempt is served with; nil: the request's id
	Seed        uint64                        // of the draws of ServiceTime
}

// BackendStats is what a Backend has seen so far.
type BackendStats struct {
	Connections       int  // accepted
	Attempts          int  // that came complete and in good form
	Served            int  // of them, those whose work was done
	Rejected          int  // of them, those that found no slot and no place in the queue, or came after Drain
	ArrivedAfterDrain int  // attempts whose first byte came after Drain
	Malformed         int  // commands in a form that no client sends
	MaxInFlight       int  // attempts in service or queued at one moment
	Crashed           bool // it got more attempts than it bore while it was cold
}

// Backend plays one backend: attempts share its cores, further ones wait for a slot.
type Backend struct {
	config          BackendConfig
	connections     connectionSet
	meanServiceTime float64 // seconds

	mu             sync.Mutex // guards what follows
	rng            *rand.Rand
	inService      *minheap.Heap[*backendAttempt] // the first to finish on top
	queued         []*backendAttempt              // for a slot, the oldest first
	virtualTime    float64                        // seconds of work that each attempt would have got since the start
	updatedAt      time.Time                      // when virtualTime had that value
	speed          float64                        // from then on, in seconds of work per second
	timer          *time.Timer                    // of the next update
	drainedAt      time.Time                      // zero: not draining
	recentArrivals []time.Time                    // of the last Overload.Window
	stopped        bool                           // it has crashed or is closed
	stats          BackendStats
}

// NewBackend returns a backend that has no connection yet.
func NewBackend(config BackendConfig) *Backend {
	b := &Backend{
		config:    config,
		rng:       rand.New(rand.NewPCG(config.Seed, 0)),
		inService: minheap.New(finishesBefore),
		updatedAt: time.Now(),
	}
	if config.ServiceTime != nil {
		rng := rand.New(rand.NewPCG(config.Seed, 1))
		for range meanServiceTimeSamples {
			b.meanServiceTime += config.ServiceTime(rng).Seconds() / meanServiceTimeSamples
		}
	}
	return b
}

// Serve accepts connections on a listener until Close, or until the backend crashes.
func (b *Backend) Serve(ln net.Listener) error { return b.connections.serve(ln, b.serveConnection) }

// Close ends the backend as a crash does: open connections are reset, new ones refused. It returns once the goroutines
// of the connections have ended.
func (b *Backend) Close() {
	b.connections.close()
	b.mu.Lock()
	b.abandonAll()
	b.mu.Unlock()
	b.connections.handlers.Wait()
}

// Drain makes the backend reject new attempts and finish those that it has.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drainedAt.IsZero() {
		b.drainedAt = time.Now()
	}
}

// Stats returns the figures so far.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// serveConnection reads the commands of one connection until its end. Attempts of it that are queued then leave, those
// in service go on.
func (b *Backend) serveConnection(conn net.Conn) {
	b.mu.Lock()
	b.stats.Connections++
	b.mu.Unlock()
	replies := newReplyWriter(conn, nil, func(int) {})
	defer replies.stop()
	defer b.cancelQueued(replies)
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		arrivedAt := time.Now()
		command, err := readCommand(in)
		if errors.Is(err, errMalformed) {
			b.rejectMalformed(replies)
			return
		}
		if err != nil {
			return
		}
		if !b.handleCommand(command, arrivedAt, replies) {
			return
		}
	}
}

// handleCommand takes in one command, whose first byte came at arrivedAt; it returns false where the connection ends
// with it.
func (b *Backend) handleCommand(command []string, arrivedAt time.Time, replies *replyWriter) bool {
	switch command[0] {
	case "CLIENT", "SELECT":
		replies.enqueue(completedReply(replyOK))
		return true
	case "Q.ASK", "Q.DO":
	default:
		replies.enqueue(completedReply(replyUnknownCommand))
		return true
	}
	if validateRequest(command) != nil {
		b.rejectMalformed(replies)
		return false
	}
	reply := b.admit(command, arrivedAt, replies)
	if reply == nil {
		return false
	}
	replies.enqueue(reply)
	return true
}

// rejectMalformed answers a malformed command, after those before it, and ends the answers.
func (b *Backend) rejectMalformed(replies *replyWriter) {
	b.mu.Lock()
	b.stats.Malformed++
	b.mu.Unlock()
	replies.enqueue(completedReply(replyMalformed))
	replies.enqueue(nil)
	<-replies.stopped
}
