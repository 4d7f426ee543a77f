package rig

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// maxRun is the longest time of a run.
const maxRun = 117 * time.Second

var (
	stopMu sync.Mutex
	stops  []func()
)

// OnStop registers a function that ends what the case has started. It is also called if the case is ended by a signal or takes
// too long.
func OnStop(stop func()) {
	stopMu.Lock()
	defer stopMu.Unlock()
	stops = append(stops, stop)
}

func exit(code int) {
	stopMu.Lock() // never released: the process ends
	for _, stop := range stops {
		stop()
	}
	os.Exit(code)
}

// Main runs a case and ends the process with its exit code.
func Main(run func() (int, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRun):
		}
		fmt.Fprintln(os.Stderr, "the case was ended early")
		exit(NotRun)
	}()
	go watchLag() // ends with the process
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = NotRun
	}
	exit(code)
}
