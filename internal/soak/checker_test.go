package soak

import (
	"testing"
	"time"
)

var (
	idempotentClass    = classes[0]
	nonIdempotentClass = classes[1]
	keyedClass         = classes[2]
)

// wantViolation fails the test unless the checker recorded exactly this one violation, or none if want is empty.
func wantViolation(t *testing.T, c *checker, want ViolationKind) {
	t.Helper()
	var got ViolationKind
	for _, v := range c.violations.snapshot() {
		got += v.Kind
	}
	if got != want {
		t.Fatalf("got violation %q, want %q", got, want)
	}
}

// Violations in a history are reported; similar histories that the protocol allows are not.
func TestCheckHistoryReportsOnlyViolations(t *testing.T) {
	const timeout = 500 * time.Millisecond
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		request  request
		attempts []time.Duration // times from the request to the starts of the attempts
		want     ViolationKind   // empty means none
	}{
		"answered":                  {request{class: idempotentClass, repliedAt: after(timeout), replyKind: ReplyValue}, nil, ""},
		"never answered":            {request{class: idempotentClass}, nil, NoReply},
		"exempt":                    {request{class: idempotentClass, exemption: "killed"}, nil, ""},
		"client disconnected":       {request{class: idempotentClass, disconnectedAt: after(0)}, nil, ""},
		"sent during the close":     {request{class: idempotentClass, closedAt: after(20 * time.Millisecond)}, nil, ""},
		"closed long after sending": {request{class: idempotentClass, closedAt: after(2 * time.Second)}, nil, NoReply},
		"closed after forwarding":   {request{class: idempotentClass, closedAt: after(time.Millisecond)}, []time.Duration{0}, NoReply},
		"answered late":             {request{class: idempotentClass, repliedAt: after(2 * time.Second)}, nil, LateReply},
		"late, after late reply": {request{class: idempotentClass, repliedAt: after(2 * time.Second),
			prevReplyAt: after(1900 * time.Millisecond)}, nil, ""},
		"idempotent, twice":     {request{class: idempotentClass, repliedAt: after(0)}, []time.Duration{0, 1}, ""},
		"non-idempotent, twice": {request{class: nonIdempotentClass, repliedAt: after(0)}, []time.Duration{0, 1}, ExecutedTwice},
		"non-idempotent, rejected": {request{class: nonIdempotentClass, repliedAt: after(0), replyKind: ReplyBusy},
			[]time.Duration{0}, RejectedAfterExecution},
		"keyed, twice in window": {request{class: keyedClass, repliedAt: after(0)}, []time.Duration{0, deduplicationWindow}, ""},
		"keyed, twice after window": {request{class: keyedClass, repliedAt: after(0)},
			[]time.Duration{0, 2 * deduplicationWindow}, ExecutedTwice},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newChecker(true)
			c.request.id, c.request.sentAt, c.request.timeout = 1, now, timeout
			for _, delay := range c.attempts {
				c.request.attempts = append(c.request.attempts, attempt{after(delay), 10 * time.Millisecond, true})
			}
			checker.history.requests[1] = &c.request
			checker.checkHistory()
			wantViolation(t, checker, c.want)
		})
	}
}

// An attempt that the protocol forbids is reported when it arrives at a backend.
func TestRecordAttemptReportsOnlyViolations(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		disconnectedFor, drainingFor time.Duration // time before the attempt; zero means that it did not happen
		timeLeft                     time.Duration
		undelayed                    bool
		want                         ViolationKind
	}{
		"allowed":                    {0, 0, 400 * time.Millisecond, true, ""},
		"deadline extended":          {0, 0, time.Second, true, DeadlineExtended},
		"deadline extended, delayed": {0, 0, time.Second, false, ""},
		"disconnected recently":      {200 * time.Millisecond, 0, 1, true, ""},
		"disconnected long ago":      {time.Second, 0, 1, true, SentAfterDisconnect},
		"draining for a short time":  {0, 900 * time.Millisecond, 1, true, ""},
		"draining for a long time":   {0, 3 * time.Second, 1, true, SentToDraining},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newChecker(true)
			r := &request{id: 1, sentAt: now.Add(-100 * time.Millisecond), timeout: 500 * time.Millisecond}
			if c.disconnectedFor > 0 {
				r.disconnectedAt = now.Add(-c.disconnectedFor)
			}
			drainingSince := time.Time{}
			if c.drainingFor > 0 {
				drainingSince = now.Add(-c.drainingFor)
			}
			checker.history.requests[1] = r
			checker.recordAttempt(1, attempt{now, c.timeLeft, c.undelayed}, drainingSince, 0)
			wantViolation(t, checker, c.want)
		})
	}
}

func TestRecordReplyReportsWrongReplies(t *testing.T) {
	for name, c := range map[string]struct {
		kind ReplyKind
		text string
		want ViolationKind
	}{
		"own value":     {ReplyValue, valueOf(1), ""},
		"other's value": {ReplyValue, valueOf(2), WrongReply},
		"invalid reply": {ReplyInvalid, "+OK", WrongReply},
		"rejected":      {ReplyBusy, "-BUSY", ""},
		"failed":        {ReplyError, "-ERR failed", ""},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newChecker(true)
			checker.recordReply(&request{id: 1}, time.Time{}, c.kind, c.text)
			wantViolation(t, checker, c.want)
		})
	}
}
