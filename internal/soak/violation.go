package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ViolationKind names a rule of the protocol that was broken.
type ViolationKind string

// The rules that are checked, each named by what breaks it.
const (
	NoReply                ViolationKind = "no reply"                 // a request got no final reply
	LateReply              ViolationKind = "late reply"               // it came over maxReplyDelay after the client's deadline
	WrongReply             ViolationKind = "wrong reply"              // a value made for another request, or no valid reply
	ExecutedTwice          ViolationKind = "executed twice"           // a request that must not be repeated reached backends twice
	RejectedAfterExecution ViolationKind = "rejected after execution" // rejected as not executed though it may have been
	SentAfterDisconnect    ViolationKind = "sent after disconnect"    // an attempt began too long after the client closed its connection
	DeadlineExtended       ViolationKind = "deadline extended"        // a backend was told more time than the client had left
	SentToDraining         ViolationKind = "sent to draining"         // an attempt began too long after the backend began to drain
	Crashed                ViolationKind = "crashed"                  // an ingress ended by itself, or did not end when it had to
	InvariantViolated      ViolationKind = "invariant violated"       // an ingress reported that it broke an invariant of its own
)

const (
	maxViolations = 200 // kept of one run; the first ones tell the most
	noIngress     = -1  // index in a violation that no ingress can be blamed for
)

// Violation is one broken rule.
type Violation struct {
	Kind      ViolationKind
	Ingress   int           // index of the process; -1: not known
	RequestID uint64        // 0: it concerns no single request
	At        time.Duration // since the run began
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
func (l *violationLog) recordForRequest(kind ViolationKind, ingress int, requestID uint64, at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{kind, ingress, requestID, at.Sub(l.startedAt), fmt.Sprintf(format, args...)})
	}
}

// record records a violation, found now, that concerns no single request.
func (l *violationLog) record(kind ViolationKind, ingress int, format string, args ...any) {
	l.recordForRequest(kind, ingress, 0, time.Now(), format, args...)
}

// snapshot returns the violations in the order in which they were found.
func (l *violationLog) snapshot() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}
