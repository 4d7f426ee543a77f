package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lemontack/internal/soak"
)

// Ten ingresses under faults that overlap keep the rules that can be judged without a clock. cmd/faultsoak plays longer runs of
// more processes, and judges times too.
func TestFleetUnderFaults(t *testing.T) {
	for seed, descriptors := range map[uint64]int{1: 1024, 2: 160} { // the second fewer than the configuration tells
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{Seed: seed, Processes: 10, Duration: 5 * time.Second, Rate: 20,
				Command: []string{os.Args[0]}, Env: []string{fmt.Sprint(asIngress, "=", descriptors)}, Dir: t.TempDir()})
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
