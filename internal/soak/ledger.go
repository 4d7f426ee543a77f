package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kinds of broken rules.
const (
	Lost          = "lost"            // a request got no final answer
	Late          = "late"            // it came over 0.5 s after the client's time
	WrongAnswer   = "wrong answer"    // a value that was not made for the request, or an answer that is none
	RunTwice      = "run twice"       // a request that may not be repeated reached backends twice
	RefusedAfter  = "refused after"   // turned away as harmless though it may have run
	SentAfterLeft = "sent after left" // an attempt began over 0.1 s after the client closed
	DeadlineTold  = "deadline told"   // a backend was told more time than the client had left
	SentToDrained = "sent to drained" // an attempt began over 1 s after the backend was told to drain
	Crashed       = "crashed"         // an ingress ended by itself
	OwnCheck      = "own check"       // an ingress counted a broken rule of its own
)

const (
	lateSlack     = 500 * time.Millisecond
	leftSlack     = 100 * time.Millisecond
	toldSlack     = 150 * time.Millisecond
	drainSlack    = time.Second
	heldUpMost    = 150 * time.Millisecond // an ingress is stopped for so long at most
	measureSlack  = 50 * time.Millisecond  // the protocol's, for what is measured on sockets
	crossingMost  = 250 * time.Millisecond // a request may cross the end of its connection for so long
	quietBefore   = 3 * time.Second        // what a proxy delayed is not judged by its time
	toldClock     = 6 * time.Second        // what discovery has counts as told so long after trouble with it
	mostViolation = 200                    // that are kept
)

// Violation is a broken rule.
type Violation struct {
	Kind    string
	Ingress int
	ID      uint64
	At      time.Duration // since the run began
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %-15s n%d %016x %s", v.At.Seconds(), v.Kind, v.Ingress, v.ID, v.Detail)
}

// record is all that is known of one request.
type record struct {
	id       uint64
	ingress  int
	class    class
	sent     time.Time // its last byte was written
	wait     time.Duration
	left     time.Time // the client closed its connection; zero: it did not
	excused  string    // why no answer has to come: a fault that frees it
	ended    time.Time // the connection ended in good order without an answer
	answered time.Time
	turn     time.Time // when the answer before it on the connection had come
	answer   string
	runs     []attemptSeen // whole at a backend, and not turned away there
}

// attemptSeen is an attempt at a backend.
type attemptSeen struct {
	at    time.Time // its first byte
	told  time.Duration
	quiet bool // no proxy delayed it
}

// ledger keeps what clients and backends saw and judges it.
type ledger struct {
	began  time.Time
	stalls *stalls
	timed  bool
	told   func(ingress int, at time.Time) time.Time // when a change of that time counts as told to an ingress

	mu         sync.Mutex
	requests   map[uint64]*record
	frozen     map[int][]span // by ingress
	answers    map[string]int
	attempts   int
	violations []Violation
}

func newLedger(s *stalls, timed bool) *ledger {
	return &ledger{began: time.Now(), stalls: s, timed: timed, told: func(_ int, at time.Time) time.Time { return at }, requests: map[uint64]*record{}, frozen: map[int][]span{}, answers: map[string]int{}}
}

// span is a time from and to.
type span struct{ from, to time.Time }

// froze notes that an ingress was stopped for longer than it may be held up.
func (l *ledger) froze(ingress int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[ingress] = append(l.frozen[ingress], span{from, to})
}

// slackOf is how much what was measured of an ingress may be off: this process stalled, or the ingress was stopped.
func (l *ledger) slackOf(ingress int, from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slack(ingress, from, to)
}

// slack is slackOf; l.mu is held.
func (l *ledger) slack(ingress int, from, to time.Time) time.Duration {
	sum := l.stalls.between(from, to)
	for _, s := range l.frozen[ingress] {
		if s.from.Before(to) && s.to.After(from) {
			sum += s.to.Sub(s.from)
		}
	}
	return sum
}

// awaitAnswers waits until each request has its answer, or needs none.
func (l *ledger) awaitAnswers(most time.Duration) {
	for limit := time.Now().Add(most); l.open() && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *ledger) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range l.requests {
		if rec.answered.IsZero() && rec.left.IsZero() && rec.ended.IsZero() && rec.excused == "" {
			return true
		}
	}
	return false
}

// add notes a broken rule; l.mu is held.
func (l *ledger) add(kind string, ingress int, id uint64, at time.Time, form string, args ...any) {
	if len(l.violations) < mostViolation {
		l.violations = append(l.violations, Violation{kind, ingress, id, at.Sub(l.began), fmt.Sprintf(form, args...)})
	}
}

// Violated notes a broken rule that concerns no single request.
func (l *ledger) violated(kind string, ingress int, form string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(kind, ingress, 0, time.Now(), form, args...)
}

// sent notes a request as its last byte is about to be written.
func (l *ledger) sent(rec *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.sent = time.Now()
	l.requests[rec.id] = rec
}

// answered notes a request's final answer.
func (l *ledger) answered(rec *record, turn time.Time, kind, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.answered, rec.answer, rec.turn = time.Now(), kind, turn
	l.answers[kind]++
	switch {
	case kind == answerOdd:
		l.add(WrongAnswer, rec.ingress, rec.id, rec.answered, "%q", answer)
	case kind == answerValue && answer != valueOf(rec.id):
		l.add(WrongAnswer, rec.ingress, rec.id, rec.answered, "the value is %q", answer)
	}
}

// left notes that the client closes the connection of open requests.
func (l *ledger) left(open []*record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range open {
		rec.left = time.Now()
	}
}

// excuse frees open requests of their answers.
func (l *ledger) excuse(open []*record, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range open {
		rec.excused = why
	}
}

// connectionEnded notes that a connection ended in good order while requests were open on it.
func (l *ledger) connectionEnded(open []*record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range open {
		rec.ended = time.Now()
	}
}

// ran notes an attempt that is whole at a backend and is not turned away there.
func (l *ledger) ran(id uint64, seen attemptSeen, drained time.Time, backend int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	rec := l.requests[id]
	if rec == nil {
		l.add(WrongAnswer, -1, id, seen.at, "a request that no client sent is at backend %d", backend)
		return
	}
	rec.runs = append(rec.runs, seen)
	if !l.timed || !seen.quiet {
		return
	}
	slack := heldUpMost + measureSlack + l.slack(rec.ingress, seen.at.Add(-quietBefore), time.Now())
	if !rec.left.IsZero() && seen.at.Sub(rec.left) > leftSlack+slack {
		l.add(SentAfterLeft, rec.ingress, id, seen.at, "%v after", seen.at.Sub(rec.left))
	}
	if over := seen.told - (rec.wait - seen.at.Sub(rec.sent)); over > toldSlack+slack {
		l.add(DeadlineTold, rec.ingress, id, seen.at, "%v told, %v too much", seen.told, over)
	}
	if drained.IsZero() {
		return
	}
	if after := seen.at.Sub(l.told(rec.ingress, drained)); after > drainSlack+slack {
		l.add(SentToDrained, rec.ingress, id, seen.at, "%v after it was told, backend %d", after, backend)
	}
}

// judge looks at each request once all is over.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rec := range l.requests {
		l.judgeAnswer(rec)
		l.judgeRuns(rec)
	}
}

func (l *ledger) judgeAnswer(rec *record) {
	switch {
	case !rec.answered.IsZero():
		due := rec.sent.Add(rec.wait)
		if rec.turn.After(due) { // answers come in the order of the commands
			due = rec.turn
		}
		late := rec.answered.Sub(due)
		if l.timed && late > lateSlack+measureSlack+l.slack(rec.ingress, rec.sent, rec.answered) {
			l.add(Late, rec.ingress, rec.id, rec.answered, "%v after its time of %v", late, rec.wait)
		}
	case !rec.left.IsZero(), rec.excused != "":
	case !rec.ended.IsZero() && len(rec.runs) > 0:
		l.add(Lost, rec.ingress, rec.id, rec.ended, "forwarded, and its connection ended without an answer")
	case !rec.ended.IsZero():
		age := rec.ended.Sub(rec.sent)
		if l.timed && age > crossingMost+l.slack(rec.ingress, rec.sent, rec.ended) {
			l.add(Lost, rec.ingress, rec.id, rec.ended, "its connection ended without an answer %v after it was sent", age)
		}
	default:
		l.add(Lost, rec.ingress, rec.id, rec.sent, "sent with %v left, never answered", rec.wait)
	}
}

func (l *ledger) judgeRuns(rec *record) {
	n := len(rec.runs)
	if n == 0 {
		return
	}
	last := rec.runs[n-1]
	switch rec.class.effect {
	case effectUnsafe:
		if n > 1 {
			l.add(RunTwice, rec.ingress, rec.id, last.at, "%d times", n)
		}
		if rec.answer == answerBusy {
			l.add(RefusedAfter, rec.ingress, rec.id, rec.answered, "after %d attempts", n)
		}
	case effectKeyed:
		span := last.at.Sub(rec.runs[0].at)
		if l.timed && last.quiet && n > 1 && span > repeatWindow+heldUpMost+l.slack(rec.ingress, rec.runs[0].at, last.at) {
			l.add(RunTwice, rec.ingress, rec.id, last.at, "%v after the first, beyond the window", span)
		}
	}
}
