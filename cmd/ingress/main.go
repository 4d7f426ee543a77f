// Command ingress accepts requests from clients and forwards them to backends that package policy selects. The environment
// variable ROUTER_CONFIG holds the path of the configuration file. On SIGHUP the ingress reloads the file and switches to its
// addresses of discovery and the counter. On SIGTERM or SIGINT it shuts down gracefully.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"lemontack/internal/ingress"
)

// configEnv is the name of the environment variable that holds the path of the configuration file.
const configEnv = "ROUTER_CONFIG"

var errNoConfig = errors.New(configEnv + " is not set to the path of a configuration file")

func main() {
	log := newLog(os.Getenv(logLevelEnv))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "ingress:", err)
		os.Exit(1)
	}
}

// run runs the ingress until a signal ends it or it fails.
func run(log *slog.Logger) error {
	// SIGHUP is registered first, since its default action terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := os.Getenv(configEnv)
	if path == "" {
		return errNoConfig
	}
	cfg, processLimits, err := loadConfig(path, log)
	if err != nil {
		return err
	}
	processLimits.apply()
	gateway, err := ingress.New(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The goroutine ends with ctx; the loop below waits for it.
	runResult := make(chan error, 1)
	go func() { runResult <- gateway.Run(ctx) }()
	for {
		select {
		case err := <-runResult:
			return err
		case <-hangups: // may also arrive during a shutdown and must then have no effect
			reload(path, gateway, log)
		}
	}
}

// apply sets the limits of the Go runtime. The soft memory limit is three quarters of the memory of the process. The rest is
// reserved for memory that the runtime does not account for and for allocations while a garbage collection is running.
func (l limits) apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	if l.MemoryMiB > 0 {
		debug.SetMemoryLimit(l.MemoryMiB << 20 / 4 * 3)
	}
}

// reload reads the configuration file again and switches the ingress to its addresses of discovery and the counter. An invalid
// file has no effect.
func reload(path string, gateway *ingress.Gateway, log *slog.Logger) {
	cfg, _, err := loadConfig(path, log)
	if err != nil {
		log.Error("configuration reload failed, keeping the previous configuration", "err", err)
		return
	}
	log.Info("configuration reloaded", "discovery", cfg.Discovery, "counter", cfg.Counter)
	gateway.SetAddresses(cfg.Discovery, cfg.Counter)
}
