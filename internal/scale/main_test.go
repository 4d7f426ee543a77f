package scale

import (
	"fmt"
	"os"
	"testing"
)

// TestMain lets the test binary also run as the stand-ins that a live fleet starts.
func TestMain(m *testing.M) {
	if role, ok := StandInRole(); ok {
		if err := RunStandIn(role, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}
