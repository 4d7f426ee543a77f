// Command scalerun measures what an ingress, discovery and the counter cost by the size of the fleet. It starts all
// that it needs on loopback addresses, ends by itself in under 10 minutes, and leaves tables and a JSON file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"lemontack/internal/scale"
)

// Exit codes other than 0.
const (
	exitFailed      = 1
	exitInterrupted = 130 // as of shells: 128 and the number of SIGINT
)

var errInterrupted = errors.New("interrupted")

func main() {
	if role, ok := scale.StandInRole(); ok { // the run has started this process
		if err := scale.RunStandIn(role, os.Stdin, os.Stdout); err != nil {
			exitWith(err)
		}
		return
	}
	options, err := parseOptions(os.Args[1:])
	if err != nil {
		exitWith(err)
	}
	if err := run(options, os.Stdout, os.Stderr); err != nil {
		exitWith(err)
	}
}

// exitWith ends the program with the error in one line.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, "scalerun:", strings.ReplaceAll(err.Error(), "\n", "; "))
	if errors.Is(err, errInterrupted) {
		os.Exit(exitInterrupted)
	}
	os.Exit(exitFailed)
}

// parseOptions reads the command line.
func parseOptions(args []string) (scale.Options, error) {
	var options scale.Options
	parser, err := kong.New(&options,
		kong.Name("scalerun"),
		kong.Description("Measures what an ingress, discovery and the counter cost by the size of the fleet, on this"+
			" machine alone, in under 10 minutes."),
		kong.Vars{"sweeps": strings.Join(scale.SweepNames(), ",")})
	if err != nil {
		return options, err
	}
	_, err = parser.Parse(args)
	return options, err
}

// run measures, and writes the tables and the file also where it is interrupted.
func run(options scale.Options, tables, progress io.Writer) error {
	r, err := scale.NewRun(options, progress)
	if err != nil {
		return err
	}
	ctx, stop := interruptible(context.Background())
	defer stop()
	report, err := r.Measure(ctx)
	return errors.Join(err, report.Write(tables), report.Save(options.ReportPath))
}

// interruptible returns a context that the first SIGINT or SIGTERM ends with errInterrupted; a second signal ends the
// program at once. stop releases what it takes.
func interruptible(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() { // ends with ctx; stop waits for it
		defer close(done)
		select {
		case <-signals:
			signal.Stop(signals)
			cancel(errInterrupted)
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel(nil)
		<-done
	}
}
