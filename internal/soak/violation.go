package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ViolationKind is a kind of failure of an ingress: a breach of the protocols of clients and endpoints, a crash, or a violated
// invariant.
type ViolationKind string

// The kinds of violations.
const (
	// NoReply means that a request got no final reply.
	NoReply ViolationKind = "no reply"
	// LateReply means that a reply came more than maxReplyDelay after the client's deadline.
	LateReply ViolationKind = "late reply"
	// WrongReply means an invalid or unexpected reply, or a command at a backend that no client sent.
	WrongReply ViolationKind = "wrong reply"
	// ExecutedTwice means that a non-idempotent request reached backends twice, or one with an idempotency key reached them
	// again after deduplicationWindow.
	ExecutedTwice ViolationKind = "executed twice"
	// RejectedAfterExecution means that a request was rejected as not executed although it had reached a backend.
	RejectedAfterExecution ViolationKind = "rejected after execution"
	// SentAfterDisconnect means that an attempt began more than maxSendAfterDisconnect after the client closed its connection.
	SentAfterDisconnect ViolationKind = "sent after disconnect"
	// DeadlineExtended means that the time left in a command exceeded the client's by more than maxDeadlineExtension.
	DeadlineExtended ViolationKind = "deadline extended"
	// SentToDraining means that an attempt began more than maxSendAfterDrain after discovery reported the backend as draining.
	SentToDraining ViolationKind = "sent to draining"
	// Crashed means that an ingress exited unexpectedly, failed to start, reload or stop in time, or logged a crash.
	Crashed ViolationKind = "crashed"
	// InvariantViolated means that an ingress logged that it violated one of its invariants.
	InvariantViolated ViolationKind = "invariant violated"
)

const (
	maxViolations = 200 // number recorded in one run; later violations are dropped
	noIngress     = -1  // value of Violation.Ingress if the ingress is unknown
)

// Violation is a failure of an ingress that was detected during a run. Detail describes it in words.
type Violation struct {
	Kind      ViolationKind
	Ingress   int           // index of the process; -1 means unknown
	RequestID uint64        // zero means that the violation concerns no single request
	At        time.Duration // time since the start of the run
	Detail    string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %-24s n%d %016x %s", v.At.Seconds(), v.Kind, v.Ingress, v.RequestID, v.Detail)
}

// violationLog collects the violations of a run. It is safe for concurrent use.
type violationLog struct {
	startedAt time.Time

	mu         sync.Mutex // guards violations
	violations []Violation
}

// recordForRequest records a violation that concerns one request.
func (l *violationLog) recordForRequest(kind ViolationKind, ingress int, requestID uint64, at time.Time,
	format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations,
			Violation{kind, ingress, requestID, at.Sub(l.startedAt), fmt.Sprintf(format, args...)})
	}
}

// record records a violation that concerns no single request, with the current time.
func (l *violationLog) record(kind ViolationKind, ingress int, format string, args ...any) {
	l.recordForRequest(kind, ingress, 0, time.Now(), format, args...)
}

// snapshot returns a copy of the violations, in the order in which they were recorded.
func (l *violationLog) snapshot() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}
