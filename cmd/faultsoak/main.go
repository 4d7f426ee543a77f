// Command faultsoak runs fleets of real ingresses under faults that overlap, seed by seed, and reports the rules that broke.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"lemontack/internal/soak"
)

const (
	fewest = 10
	most   = 40
)

func run() error {
	binary := flag.String("ingress", "bin/ingress", "the ingress's program")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds, one after another")
	processes := flag.Int("processes", 16, "ingresses, 10 to 40")
	duration := flag.Duration("duration", 20*time.Second, "of load and faults, for each seed")
	rate := flag.Float64("rate", 40, "requests a second for each ingress")
	dir := flag.String("dir", "", "folder for configurations and logs; a new one if empty")
	flag.Parse()
	if *processes < fewest || *processes > most || flag.NArg() > 0 {
		return fmt.Errorf("%d processes, %d to %d are wanted, and no arguments", *processes, fewest, most)
	}
	program, err := filepath.Abs(*binary)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken := 0
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		logs, err := folder(*dir, s)
		if err != nil {
			return err
		}
		report, err := soak.Run(ctx, soak.Options{Seed: s, Processes: *processes, Duration: *duration, Rate: *rate,
			Command: []string{program}, Dir: logs, CheckTiming: true})
		if err != nil {
			return fmt.Errorf("seed %d: %w", s, err)
		}
		broken += len(report.Violations)
		fmt.Printf("seed %d: %v\n", s, report)
	}
	if broken > 0 {
		return fmt.Errorf("%d violations", broken)
	}
	return ctx.Err()
}

// folder is where the files of a seed go.
func folder(dir string, seed uint64) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "faultsoak")
	}
	dir = filepath.Join(dir, fmt.Sprint("seed-", seed))
	return dir, os.MkdirAll(dir, 0o700)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		os.Exit(1)
	}
}
