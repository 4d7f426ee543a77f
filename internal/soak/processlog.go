package soak

import (
	"bytes"
	"fmt"
	"os"
	"strings"
)

// What is looked for in the log of an ingress. The message and the names of the invariants are those of package ingress,
// the others those of the Go runtime and its race detector.
const (
	logInvariantViolated = "invariant violated"
	logPanic             = "panic: "       // at the beginning of a line
	logFatalError        = "fatal error: " // at the beginning of a line
	logDataRace          = "DATA RACE"
)

// timingInvariants are the invariants, as the log names them, that a slow machine can make an ingress violate.
var timingInvariants = []string{"invariant=in_time", "invariant=client_left", "invariant=drain", "invariant=deadline"}

// logViolation returns the kind of violation that a line of an ingress's log tells; "": none.
func logViolation(line string, checkTiming bool) ViolationKind {
	switch {
	case strings.Contains(line, logInvariantViolated) && (checkTiming || !containsAny(line, timingInvariants)):
		return InvariantViolated
	case strings.HasPrefix(line, logPanic), strings.HasPrefix(line, logFatalError), strings.Contains(line, logDataRace):
		return Crashed
	}
	return ""
}

// checkLog reports the violations that the process logged in all its incarnations.
func (p *ingressProcess) checkLog() error {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	for line := range bytes.Lines(text) {
		line := strings.TrimSpace(string(line))
		if kind := logViolation(line, p.options.CheckTiming); kind != "" {
			p.checker.violations.record(kind, p.index, "%s", line)
		}
	}
	return nil
}

func containsAny(s string, parts []string) bool {
	for _, part := range parts {
		if strings.Contains(s, part) {
			return true
		}
	}
	return false
}
