package nettest

import (
	"testing"
	"time"
)

// SignalTimeout and ConditionTimeout bound the waits of Await and Eventually, however busy the machine is.
const (
	SignalTimeout    = 20 * time.Second
	ConditionTimeout = 90 * time.Second
)

// Await fails the test if nothing comes on the channel; how long it takes is not asserted.
func Await(t testing.TB, description string, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(SignalTimeout):
		t.Fatal("never: ", description)
	}
}

// Eventually fails the test if a condition never holds; how long it takes is not asserted.
func Eventually(t testing.TB, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(ConditionTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: ", description)
		}
	}
}
