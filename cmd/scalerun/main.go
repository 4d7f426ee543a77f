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

const (
	exitFailed      = 1
	exitInterrupted = 130 // as shells have it: 128 and the number of the signal
)

var errInterrupted = errors.New("interrupted")

func main() {
	if name, ok := scale.StandInRole(); ok { // one of the run's own children
		if err := scale.RunStandIn(name, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "scalerun:", err)
			os.Exit(exitFailed)
		}
		return
	}
	var options scale.Options
	parser, err := newParser(&options)
	if err == nil {
		_, err = parser.Parse(os.Args[1:])
	}
	if err == nil {
		err = run(options, os.Stdout, os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", strings.ReplaceAll(err.Error(), "\n", "; "))
		if errors.Is(err, errInterrupted) {
			os.Exit(exitInterrupted)
		}
		os.Exit(exitFailed)
	}
}

func newParser(options *scale.Options) (*kong.Kong, error) {
	return kong.New(options, kong.Name("scalerun"), kong.Description("Measures what an ingress, discovery and the counter"+
		" cost by the size of the fleet, on this machine alone, in under 10 minutes."),
		kong.Vars{"sweeps": strings.Join(scale.Sweeps(), ",")})
}

// run measures, and writes the tables and the file also where it is interrupted.
func run(options scale.Options, tables, progress io.Writer) error {
	r, err := scale.NewRun(options, progress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		<-signals
		signal.Stop(signals) // a second one ends it at once
		cancel(errInterrupted)
	}()
	report, err := r.Measure(ctx)
	return errors.Join(err, report.Write(tables), report.Save(options.JSON))
}
