package main

import (
	"cmp"
	"log/slog"
	"os"
)

// logLevelEnv is the name of the environment variable that sets the minimum log level: debug, info (the default), warn or error.
const logLevelEnv = "ROUTER_LOG_LEVEL"

// newLog returns a logger that writes to standard error. For an unknown level it logs a warning and uses the level info, so that
// the ingress starts anyway.
func newLog(level string) *slog.Logger {
	var minLevel slog.Level
	err := minLevel.UnmarshalText([]byte(cmp.Or(level, "info")))
	if err != nil {
		minLevel = slog.LevelInfo
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel}))
	if err != nil {
		log.Warn("unknown log level, using info", "variable", logLevelEnv, "err", err)
	}
	return log
}
