package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lemontack/internal/soak"
)

// Ten ingresses under overlapping faults keep the rules that can be checked without a clock. cmd/faultsoak does longer runs of
// more processes, and checks times too.
func TestProcessesUnderFaultsKeepProtocol(t *testing.T) {
	for seed, descriptors := range map[uint64]int{1: 1024, 2: 160} { // the second fewer than the configuration grants
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{Seed: seed, Processes: 10, Duration: 5 * time.Second, Rate: 20,
				Command: []string{os.Args[0]}, Env: []string{fmt.Sprint(descriptorsEnv, "=", descriptors)}, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Violations) > 0 || report.Attempts == 0 || len(report.Faults) == 0 {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}
