package nettest

import (
	"testing"
	"time"
)

// SignalTimeout and ConditionTimeout are the timeouts of Await and Eventually, long enough for a busy machine.
const (
	SignalTimeout    = 20 * time.Second
	ConditionTimeout = 90 * time.Second
)

// Await waits until the channel is closed or sends a value. It fails the test after SignalTimeout.
func Await(t testing.TB, description string, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(SignalTimeout):
		t.Fatalf("no signal within %v: %s", SignalTimeout, description)
	}
}

// Eventually waits until a condition holds. It fails the test after ConditionTimeout.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(ConditionTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", ConditionTimeout, description)
		}
	}
}
