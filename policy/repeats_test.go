package policy

import (
	"crypto/sha256"
	"testing"
	"time"
)

// sentAttempt is an attempt as the endpoints see it.
type sentAttempt struct {
	endpoint Endpoint
	sentAt   time.Duration
	mayRun   bool // not known to have been refused unexecuted
}

// repeatChecker checks that no request is executed twice, from the actions and the ends of the attempts of a goldenRun.
type repeatChecker struct {
	run      *goldenRun
	classes  map[string]Class
	requests map[RequestID]Request
	attempts map[RequestID][]*sentAttempt
	repeats  int // attempts that follow one that may have been executed
}

// checkRepeats makes a run report its requests and attempts to a new checker.
func checkRepeats(run *goldenRun, classes []Class) *repeatChecker {
	checker := &repeatChecker{run: run, classes: map[string]Class{}, requests: map[RequestID]Request{},
		attempts: map[RequestID][]*sentAttempt{}}
	for _, class := range classes {
		checker.classes[class.Name] = class
	}
	run.observe = checker.observe
	return checker
}

// observe receives each event before, and each action after, a gateway handles it.
func (checker *repeatChecker) observe(message any) {
	switch message := message.(type) {
	case Arrival:
		checker.requests[message.Request.ID] = message.Request
	case AttemptEnded:
		if attempts := checker.attempts[message.ID]; message.Attempt < len(attempts) {
			attempts[message.Attempt].mayRun = !message.Outcome.NotExecuted()
		}
	case Send:
		checker.checkSend(message)
	}
}

// checkSend checks an attempt against the earlier ones of its request.
func (checker *repeatChecker) checkSend(send Send) {
	now, t := checker.run.now, checker.run.t
	class := checker.classes[checker.requests[send.ID].Class] // the zero value, which is non-idempotent, if it is unknown
	attempt := &sentAttempt{endpoint: checker.run.endpointByID(send.Endpoint), sentAt: now, mayRun: true}
	for i, earlier := range checker.attempts[send.ID] {
		if !earlier.mayRun {
			continue
		}
		checker.repeats++
		switch {
		case class.Idempotency == Idempotent:
		case class.Idempotency == NonIdempotent:
			t.Errorf("request %d of class %q: got an attempt after attempt %d, which may have been executed", send.ID, class.Name, i)
		case !class.DeduplicationScope.Shares(attempt.endpoint, earlier.endpoint):
			t.Errorf("request %d: got an attempt at %v after one at %v, want one within the scope", send.ID, attempt.endpoint.ID,
				earlier.endpoint.ID)
		case now-earlier.sentAt >= class.DeduplicationWindow:
			t.Errorf("request %d: got an attempt %v after attempt %d, want one within %v", send.ID, now-earlier.sentAt, i,
				class.DeduplicationWindow)
		}
	}
	checker.attempts[send.ID] = append(checker.attempts[send.ID], attempt)
}

// Whatever the events, no request is executed twice, also where the deduplication window is shorter than the wait in the queue.
func TestNoRequestIsExecutedTwice(t *testing.T) {
	const seed = 5
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			adjust := scenario.adjustSettings
			scenario.adjustSettings = func(settings *Settings) {
				adjust(settings)
				for i := range settings.Classes {
					settings.Classes[i].DeduplicationWindow /= 5
				}
			}
			settings := goldenSettings()
			scenario.adjustSettings(&settings)
			run := newGoldenRun(t, scenario, seed, sha256.New(), map[string]int{})
			checker := checkRepeats(run, settings.Classes)
			run.simulate()
			if checker.repeats == 0 {
				t.Fatal("got no repeat of an attempt that may have been executed, want some")
			}
		})
	}
}
