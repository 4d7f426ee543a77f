package discovery

import (
	"testing"
	"time"
)

// A change is known within the deadlines, for any number of gateways: where an agent pushes lists within a second of
// discovery's return, where gateways poll within changeDeadline, with or without a failed call. The rest of the deadline is
// for the answer: at 100 calls a second 300 gateways that call within pollInterval wait for up to as long.
func TestCallTimingsMeetTheDeadlines(t *testing.T) {
	for _, n := range []int{1, 8, 9, 80, 300, 3000} {
		pushed, polled := newCallTimings(false, n, true), newCallTimings(true, n, true)
		callInterval := pushed.answerTimeout + pushed.maxBackoff
		if callInterval >= pushDeadline || pushed.silenceTimeout+pushed.minBackoff > changeDeadline {
			t.Errorf("%d, pushed: called again after %v, silence noticed after %v", n, callInterval, pushed.silenceTimeout)
		}
		if pushed.silenceTimeout <= heartbeatInterval || polled.silenceTimeout <= heartbeatInterval {
			t.Errorf("%d: silence after %v and %v, a heartbeat comes every %v", n, pushed.silenceTimeout,
				polled.silenceTimeout, heartbeatInterval)
		}
		callInterval = max(polled.minBackoff, polled.maxBackoff, polled.hedgeDelay) // from the beginning of a call to that of the next
		for name, timeLeft := range map[string]time.Duration{
			"silence":       changeDeadline - polled.silenceTimeout - polled.minBackoff,
			"start":         changeDeadline - polled.startSpread - callInterval,
			"return":        changeDeadline - callInterval - callInterval,
			"slow answer":   changeDeadline - callInterval - polled.answerTimeout + pollInterval,
			"configuration": moveDeadline - min(polled.startSpread, maxMoveSpread) - callInterval,
		} {
			if timeLeft < pollInterval {
				t.Errorf("%d, polled, %s: %v of the deadline are left for the answer", n, name, timeLeft)
			}
		}
	}
}

// Pauses double up to the maximum, and restart from the minimum after a reset.
func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	pauses := newBackoff(100*time.Millisecond, 350*time.Millisecond)
	for i, want := range []time.Duration{100, 200, 350, 350} {
		if got := pauses.next(); got != want*time.Millisecond {
			t.Errorf("pause %d is %v, want %v", i, got, want*time.Millisecond)
		}
	}
	pauses.reset()
	if got := pauses.next(); got != 100*time.Millisecond {
		t.Errorf("%v after a reset", got)
	}
}
