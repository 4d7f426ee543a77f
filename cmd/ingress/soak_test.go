package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lemontack/internal/soak"
)

// Ten ingress processes under overlapping faults keep all invariants that do not depend on time. Command faultsoak runs more
// processes for longer and checks times too.
func TestProcessesUnderFaultsFollowTheProtocol(t *testing.T) {
	for seed, descriptors := range map[uint64]int{1: 1024, 2: 160} { // the second run has fewer than the configuration allows
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
