package quota

import (
	"testing"
	"time"

	"lemontack/policy/model"
)

// Each gateway must call less when the counter's delay grows, before calls fail.
func TestCallShareFollowsTheDelayOfTheCounter(t *testing.T) {
	for _, test := range []struct {
		name                       string
		outcome                    model.Outcome
		delay                      time.Duration
		wantDecrease, wantIncrease bool
	}{
		{"timed out", model.TimedOut, 50 * ms, true, false},
		{"rejected", model.Rejected, ms, true, false},
		{"slow", model.Succeeded, 30 * ms, true, false},
		{"fast", model.Succeeded, 5 * ms, false, true},
		{"error reply", model.Failed, 5 * ms, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			throttle := newCallThrottle(50 * ms)
			throttle.callShare = 0.5
			throttle.adapt(test.outcome, test.delay)
			if got := throttle.callShare; got < 0.5 != test.wantDecrease || got > 0.5 != test.wantIncrease {
				t.Errorf("got share %v after 0.5, want less %v, more %v", got, test.wantDecrease, test.wantIncrease)
			}
		})
	}
}
