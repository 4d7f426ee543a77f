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

// meanServiceTimeSamples is the number of draws of BackendConfig.ServiceTime from which its mean is computed.
const meanServiceTimeSamples = 256

// BackendConfig configures a Backend.
type BackendConfig struct {
	Cores       int                                // number of cores, which attempts in service share evenly; zero means no limit
	Slots       int                                // maximum number of attempts in service; zero means no limit
	MaxQueued   int                                // maximum number of attempts that wait for a slot; further ones are rejected
	ServiceTime func(rng *rand.Rand) time.Duration // draws the time that an attempt takes on a core of its own; nil means zero

	WarmUp    WarmUp
	StartedAt time.Time // start of the warm-up; the zero time means that it is over
	Overload  OverloadLimit

	LoadReports bool                          // whether replies include a load report
	ReplyValue  func(command []string) string // returns the value of a reply; nil means the request ID
	Seed        uint64                        // seed of the random source that ServiceTime gets
}

// BackendStats holds the statistics of a Backend since its start.
type BackendStats struct {
	Connections       int  // accepted connections
	Attempts          int  // complete and well-formed attempts
	Served            int  // attempts that were completed
	Rejected          int  // attempts that found no slot and no place in the queue, or arrived after Drain
	ArrivedAfterDrain int  // attempts whose first byte arrived after Drain
	Malformed         int  // malformed commands; unknown commands are not counted
	MaxInFlight       int  // maximum number of attempts in service or queued at the same time
	Crashed           bool // whether it exceeded its OverloadLimit while it was cold
}

// Backend simulates one backend. Attempts in service share its cores; further attempts wait for a slot.
type Backend struct {
	config             BackendConfig
	connections        connectionSet
	meanServiceSeconds float64 // mean of ServiceTime

	mu             sync.Mutex // guards the fields below
	rng            *rand.Rand
	inService      *minheap.Heap[*backendAttempt] // ordered by the time of completion, the earliest on top
	queued         []*backendAttempt              // attempts that wait for a slot, oldest first
	virtualTime    float64                        // cumulative work of an attempt that is always in service, in seconds
	updatedAt      time.Time                      // time at which virtualTime was last updated
	speed          float64                        // progress of each attempt since updatedAt, in seconds of work per second
	timer          *time.Timer                    // calls advanceTo at the next completion or warm-up step
	drainedAt      time.Time                      // time of Drain; the zero time means not draining
	recentArrivals []time.Time                    // times of the arrivals within the last OverloadLimit.Window
	stopped        bool                           // whether the backend has crashed or was closed
	stats          BackendStats
}

// NewBackend returns a backend without connections.
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
			b.meanServiceSeconds += config.ServiceTime(rng).Seconds() / meanServiceTimeSamples
		}
	}
	return b
}

// Serve accepts connections on a listener until Close, or until the backend crashes.
func (b *Backend) Serve(ln net.Listener) error { return b.connections.serve(ln, b.serveConnection) }

// Close stops the backend in the same way as a crash: it resets open connections and refuses new ones. It returns after
// the goroutines of the connections have returned.
func (b *Backend) Close() {
	b.connections.close()
	b.mu.Lock()
	b.discardAttempts()
	b.mu.Unlock()
	b.connections.handlers.Wait()
}

// Drain makes the backend reject new attempts and complete those that it has admitted.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drainedAt.IsZero() {
		b.drainedAt = time.Now()
	}
}

// Stats returns the statistics since the start.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// serveConnection handles the commands of one connection until it closes. The connection's queued attempts are removed
// then; its attempts in service continue.
func (b *Backend) serveConnection(conn net.Conn) {
	b.mu.Lock()
	b.stats.Connections++
	b.mu.Unlock()
	replies := newReplyWriter(conn, nil, func(int) {})
	defer replies.stop()
	defer b.cancelQueued(replies)
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		arrivedAt := time.Now()
		command, err := readCommand(reader)
		if errors.Is(err, errMalformedCommand) {
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

// handleCommand handles one command, whose first byte arrived at arrivedAt. It returns false if the connection has to be
// closed.
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

// rejectMalformed answers a malformed command after the replies to the commands before it. It returns when the reply is
// written or can no longer be written; no reply is written afterwards.
func (b *Backend) rejectMalformed(replies *replyWriter) {
	b.mu.Lock()
	b.stats.Malformed++
	b.mu.Unlock()
	replies.enqueue(completedReply(replyMalformed))
	replies.enqueue(nil)
	<-replies.stopped
}
