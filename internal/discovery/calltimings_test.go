package discovery

import (
	"testing"
	"time"
)

// For any number of gateways, the timings leave enough of each deadline for the answer: pushDeadline where an agent pushes
// lists, changeDeadline where gateways poll, with or without a failed call. When 300 gateways call within pollInterval and
// discovery serves 100 calls per second, an answer takes up to about pollInterval.
func TestCallTimingsMeetTheDeadlines(t *testing.T) {
	for _, n := range []int{1, 8, 9, 80, 300, 3000} {
		pushed, polled := newCallTimings(false, n, true), newCallTimings(true, n, true)
		callInterval := pushed.answerTimeout + pushed.maxBackoff
		if callInterval >= pushDeadline || pushed.silenceTimeout+pushed.minBackoff > changeDeadline {
			t.Errorf("%d gateways, pushed: next call after %v, want under %v; silence detected after %v, want %v with backoff",
				n, callInterval, pushDeadline, pushed.silenceTimeout, changeDeadline)
		}
		if pushed.silenceTimeout <= heartbeatInterval || polled.silenceTimeout <= heartbeatInterval {
			t.Errorf("%d gateways: got silence timeouts of %v and %v, want more than %v", n, pushed.silenceTimeout,
				polled.silenceTimeout, heartbeatInterval)
		}
		callInterval = max(polled.minBackoff, polled.maxBackoff, polled.hedgeDelay) // from the start of a call to that of the next
		for name, timeLeft := range map[string]time.Duration{
			"silence":        changeDeadline - polled.silenceTimeout - polled.minBackoff,
			"start":          changeDeadline - polled.startSpread - callInterval,
			"recovery":       changeDeadline - callInterval - callInterval,
			"slow answer":    changeDeadline - callInterval - polled.answerTimeout + pollInterval,
			"address change": addressChangeDeadline - min(polled.startSpread, maxAddressChangeSpread) - callInterval,
		} {
			if timeLeft < pollInterval {
				t.Errorf("%d gateways, polled, %s: got %v for the answer, want at least %v", n, name, timeLeft, pollInterval)
			}
		}
	}
}

// Pauses double up to the maximum, and start from the minimum after a reset.
func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	pauses := newBackoff(100*time.Millisecond, 350*time.Millisecond)
	for i, want := range []time.Duration{100, 200, 350, 350} {
		if got := pauses.next(); got != want*time.Millisecond {
			t.Errorf("pause %d is %v, want %v", i, got, want*time.Millisecond)
		}
	}
	pauses.reset()
	if got := pauses.next(); got != 100*time.Millisecond {
		t.Errorf("pause after a reset is %v, want %v", got, 100*time.Millisecond)
	}
}
