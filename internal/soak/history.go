package soak

import (
	"maps"
	"sync"
	"time"
)

// request is one request of a client and the observations of it. The fields above sentAt never change. history.mu guards the
// other fields; only the client that sent the request may read sentAt without holding it.
type request struct {
	id      uint64
	ingress int // index of the process that receives the request
	class   requestClass
	timeout time.Duration // time from sentAt to the client's deadline

	sentAt         time.Time // time just before the last byte is written
	disconnectedAt time.Time // time of the client's close of the connection; zero means that the client did not close it
	exemption      string    // reason why the ingress need not reply; empty means that it has to
	closedAt       time.Time // time of an orderly close by the ingress without a reply; zero means that there was none
	repliedAt      time.Time // zero means no reply yet
	prevReplyAt    time.Time // arrival of the previous reply on the connection
	replyKind      ReplyKind
	attempts       []attempt
}

// isOpen reports whether the ingress still has to reply to the request.
func (r *request) isOpen() bool {
	return r.repliedAt.IsZero() && r.disconnectedAt.IsZero() && r.closedAt.IsZero() && r.exemption == ""
}

// attempt is a complete command that arrived at a backend and was not rejected there.
type attempt struct {
	startedAt time.Time     // arrival of the first byte
	timeLeft  time.Duration // time until the deadline, as stated in the command
	undelayed bool          // whether no proxy may have delayed the command
}

// history records the observations of clients and backends. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex // guards the fields below and the observations in the requests
	requests map[uint64]*request
	replies  map[ReplyKind]int
	attempts int
}

func newHistory() *history {
	return &history{requests: map[uint64]*request{}, replies: map[ReplyKind]int{}}
}

// recordSent records a request; it is called just before the last byte is written.
func (h *history) recordSent(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.sentAt = time.Now()
	h.requests[r.id] = r
}

// recordReply records the final reply to a request and the time of the previous reply on the connection. It returns the time
// that it records for the reply.
func (h *history) recordReply(r *request, prevReplyAt time.Time, kind ReplyKind) (at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.repliedAt, r.prevReplyAt, r.replyKind = time.Now(), prevReplyAt, kind
	h.replies[kind]++
	return r.repliedAt
}

// recordDisconnect records that the client closes the connection on which requests are open.
func (h *history) recordDisconnect(requests []*request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.disconnectedAt = time.Now()
	}
}

// exempt records the reason why the ingress need not reply to open requests.
func (h *history) exempt(requests []*request, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.exemption = reason
	}
}

// recordClose records that the ingress closed the connection of open requests without a reset.
func (h *history) recordClose(requests []*request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range requests {
		r.closedAt = time.Now()
	}
}

// recordAttempt records an attempt and returns a copy of its request; ok is false if no client sent the request.
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

// awaitReplies waits until no request is open, for at most timeout.
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
