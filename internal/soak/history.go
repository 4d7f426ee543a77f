package soak

import (
	"maps"
	"sync"
	"time"
)

// request is one request of a client and all that was observed of it. The fields above sentAt never change. The history guards
// the others; only the client that sent the request may read sentAt without it.
type request struct {
	id      uint64
	ingress int // index of the process that it is sent to
	class   requestClass
	timeout time.Duration // from sentAt until the client's deadline

	sentAt         time.Time // its last byte was written
	disconnectedAt time.Time // the client closed its connection; zero: it did not
	exemption      string    // a fault that frees the ingress from replying; "": none
	closedAt       time.Time // the ingress closed the connection in good order without a reply; zero: it did not
	repliedAt      time.Time // zero: no reply yet
	prevReplyAt    time.Time // when the reply before it on the connection had come
	reply          ReplyKind
	attempts       []attempt
}

// isOpen reports whether the request still waits for a reply.
func (r *request) isOpen() bool {
	return r.repliedAt.IsZero() && r.disconnectedAt.IsZero() && r.closedAt.IsZero() && r.exemption == ""
}

// attempt is a complete command that arrived at a backend and was not rejected there.
type attempt struct {
	startedAt time.Time     // its first byte arrived
	timeLeft  time.Duration // until the deadline, as the command says
	undelayed bool          // no proxy delayed it
}

// history is what clients and backends observed. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex // guards the fields below, and the observations in the requests
	requests map[uint64]*request
	replies  map[ReplyKind]int
	attempts int
}

func newHistory() *history {
	return &history{requests: map[uint64]*request{}, replies: map[ReplyKind]int{}}
}

// recordSent records a request as its last byte is about to be written.
func (h *history) recordSent(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.sentAt = time.Now()
	h.requests[r.id] = r
}

// recordReply records a request's final reply, and when the reply before it on the connection had come.
func (h *history) recordReply(r *request, prevReplyAt time.Time, kind ReplyKind) (at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.repliedAt, r.prevReplyAt, r.reply = time.Now(), prevReplyAt, kind
	h.replies[kind]++
	return r.repliedAt
}

// recordDisconnect records that the client closes the connection of open requests.
func (h *history) recordDisconnect(requests []*request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.disconnectedAt = time.Now()
	}
}

// exempt records a fault that frees the ingress from replying to open requests.
func (h *history) exempt(requests []*request, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.exemption = reason
	}
}

// recordClose records that the ingress closed the connection of open requests in good order.
func (h *history) recordClose(requests []*request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.closedAt = time.Now()
	}
}

// recordAttempt records an attempt and returns a copy of its request as it is then; ok is false if no client sent it.
func (h *history) recordAttempt(id uint64, a attempt) (r request, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts++
	original := h.requests[id]
	if original == nil {
		return request{}, false
	}
	original.attempts = append(original.attempts, a)
	return *original, true
}

// awaitReplies waits until no request is open, but not for longer than timeout.
func (h *history) awaitReplies(timeout time.Duration) {
	const pollInterval = 10 * time.Millisecond
	for deadline := time.Now().Add(timeout); h.anyOpen() && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

func (h *history) anyOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.isOpen() {
			return true
		}
	}
	return false
}

// snapshot returns copies of all requests.
func (h *history) snapshot() []request {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make([]request, 0, len(h.requests))
	for _, r := range h.requests {
		requests = append(requests, *r)
	}
	return requests
}

// totals returns the numbers of requests, of replies by kind, and of attempts.
func (h *history) totals() (requests int, replies map[ReplyKind]int, attempts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests), maps.Clone(h.replies), h.attempts
}
