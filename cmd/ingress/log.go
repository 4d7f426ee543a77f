package main

import (
	"cmp"
	"log/slog"
	"os"
)

// logLevelEnv names the environment variable that sets the minimum level of the log: debug, info (the default), warn or
// error.
const logLevelEnv = "ROUTER_LOG_LEVEL"

// newLog returns the log of the process, which goes to standard error. An unknown level does not keep the ingress from
// starting: it is reported and replaced by info.
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
