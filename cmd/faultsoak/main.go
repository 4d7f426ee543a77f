// Command faultsoak runs ingress processes under overlapping faults, once for each seed, and prints the violations of the
// protocol. It exits with 1 if there was a violation or if a run failed.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"lemontack/internal/soak"
)

// Range of the number of ingresses in a run.
const (
	minProcesses = 10
	maxProcesses = 40
)

var (
	errUsage      = errors.New("invalid arguments")
	errViolations = errors.New("violations of the protocol")
)

// arguments are the values of the flags.
type arguments struct {
	program   string
	firstSeed uint64
	seeds     uint64
	processes int
	duration  time.Duration
	rate      float64
	dir       string
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		os.Exit(1)
	}
}

// run executes one run for each seed. SIGINT and SIGTERM cancel it.
func run() error {
	args, err := parseArguments()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	violations := 0
	for seed := args.firstSeed; seed < args.firstSeed+args.seeds && ctx.Err() == nil; seed++ {
		report, err := runSeed(ctx, args, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		violations += len(report.Violations)
		fmt.Printf("seed %d: %v\n", seed, report)
	}
	if violations > 0 {
		return fmt.Errorf("%d %w", violations, errViolations)
	}
	return ctx.Err()
}

func parseArguments() (arguments, error) {
	var args arguments
	flag.StringVar(&args.program, "ingress", "bin/ingress", "path of the ingress program")
	flag.Uint64Var(&args.firstSeed, "seed", 1, "first seed")
	flag.Uint64Var(&args.seeds, "seeds", 1, "number of seeds, one after another")
	flag.IntVar(&args.processes, "processes", 16, fmt.Sprintf("number of ingresses, %d to %d", minProcesses, maxProcesses))
	flag.DurationVar(&args.duration, "duration", 20*time.Second, "duration of load and faults for each seed")
	flag.Float64Var(&args.rate, "rate", 40, "requests per second to each ingress")
	flag.StringVar(&args.dir, "dir", "", "directory for configurations and logs; a temporary one if empty")
	flag.Parse()
	if args.processes < minProcesses || args.processes > maxProcesses || flag.NArg() > 0 {
		return args, fmt.Errorf("%w: got %d processes and %d further arguments, want %d to %d processes and no further arguments",
			errUsage, args.processes, flag.NArg(), minProcesses, maxProcesses)
	}
	program, err := filepath.Abs(args.program)
	if err != nil {
		return args, fmt.Errorf("absolute path of the ingress program: %w", err)
	}
	args.program = program
	return args, nil
}

func runSeed(ctx context.Context, args arguments, seed uint64) (*soak.Report, error) {
	dir, err := makeDir(args.dir, seed)
	if err != nil {
		return nil, err
	}
	return soak.Run(ctx, soak.Options{Seed: seed, Processes: args.processes, Duration: args.duration, Rate: args.rate,
		Command: []string{args.program}, Dir: dir, CheckTiming: true})
}

// makeDir creates the directory for the files of a seed: in dir, or a temporary directory if dir is empty.
func makeDir(dir string, seed uint64) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "faultsoak")
	}
	dir = filepath.Join(dir, fmt.Sprint("seed-", seed))
	return dir, os.MkdirAll(dir, 0o700)
}
