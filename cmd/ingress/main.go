// Command ingress accepts requests from clients and forwards them to backends, as the decision module (package policy)
// decides. The environment variable ROUTER_CONFIG names its configuration file. SIGHUP makes it read the file again and
// move to the discovery and counter addresses that it names then; SIGTERM and SIGINT make it shut down gracefully.
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

// configEnv names the environment variable that holds the path of the configuration file.
const configEnv = "ROUTER_CONFIG"

var errNoConfig = errors.New(configEnv + " names no configuration file")

func main() {
	log := newLog(os.Getenv(logLevelEnv))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "ingress:", err)
		os.Exit(1)
	}
}

// run runs the ingress until a signal ends it or it fails.
func run(log *slog.Logger) error {
	// Registered before anything else: by default SIGHUP would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	path := os.Getenv(configEnv)
	if path == "" {
		return errNoConfig
	}
	cfg, granted, err := loadConfig(path, log)
	if err != nil {
		return err
	}
	granted.apply()
	gateway, err := ingress.New(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The loop below waits for this goroutine; ctx ends it.
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hangup: // also during a shutdown, where it must do no harm
			reload(path, gateway, log)
		}
	}
}

// apply sets the limits of the Go runtime. Its soft limit of memory is three quarters of what the process may use: the rest
// is for what the runtime does not count, and for the time until a collection has ended.
func (l limits) apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 / 4 * 3)
	}
}

// reload reads the configuration file again and moves the ingress to the addresses that it names. A file that is rejected
// changes nothing.
func reload(path string, gateway *ingress.Gateway, log *slog.Logger) {
	cfg, _, err := loadConfig(path, log)
	if err != nil {
		log.Error("configuration reload failed, keeping the previous configuration", "err", err)
		return
	}
	log.Info("configuration reloaded", "discovery", cfg.Discovery, "counter", cfg.Counter)
	gateway.UpdateAddresses(cfg.Discovery, cfg.Counter)
}
