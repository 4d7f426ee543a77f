// Command scalerun measures the cost of an ingress, of discovery and of the counter by the size of the fleet. It starts
// the processes that it needs on loopback addresses, ends by itself in under 10 minutes, prints tables and writes a
// JSON report.
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
	exitInterrupted = 130 // 128 plus the number of SIGINT, as shells report it
)

var errInterrupted = errors.New("interrupted")

func main() {
	if role, ok := scale.StandInRole(); ok { // a run started this process as a stand-in
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

// exitWith prints the error in one line and exits.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, "scalerun:", strings.ReplaceAll(err.Error(), "\n", "; "))
	if errors.Is(err, errInterrupted) {
		os.Exit(exitInterrupted)
	}
	os.Exit(exitFailed)
}

func parseOptions(args []string) (scale.Options, error) {
	var options scale.Options
	parser, err := kong.New(&options,
		kong.Name("scalerun"),
		kong.Description("Measures the cost of an ingress, of discovery and of the counter by the size of the fleet,"+
			" on this machine only, in under 10 minutes."),
		kong.Vars{"sweeps": strings.Join(scale.SweepNames(), ",")})
	if err != nil {
		return options, err
	}
	_, err = parser.Parse(args)
	return options, err
}

// run measures all points and then writes the tables and the report file, also after an interruption.
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

// interruptible returns a context that the first SIGINT or SIGTERM cancels with the cause errInterrupted; a second
// signal terminates the program at once. stop releases the signal handler and waits for the goroutine to end.
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
