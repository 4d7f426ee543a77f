package soak

import (
	"bytes"
	"fmt"
	"os"
	"strings"
)

// Texts in the log of an ingress that indicate a violation. Package ingress logs the message about invariants; the others come
// from the Go runtime and its race detector.
const (
	logInvariantViolated = "invariant violated"
	logPanic             = "panic: "       // only at the start of a line
	logFatalError        = "fatal error: " // only at the start of a line
	logDataRace          = "DATA RACE"
)

// timingInvariants are the log attributes, set by package ingress, of the invariants that an ingress on a slow machine can
// violate.
var timingInvariants = []string{"invariant=in_time", "invariant=client_left", "invariant=drain", "invariant=deadline"}

// logViolation returns the kind of violation that a line of an ingress's log reports; empty means none.
func logViolation(line string, checkTiming bool) ViolationKind {
	switch {
	case strings.Contains(line, logInvariantViolated) && (checkTiming || !containsAny(line, timingInvariants)):
		return InvariantViolated
	case strings.HasPrefix(line, logPanic), strings.HasPrefix(line, logFatalError), strings.Contains(line, logDataRace):
		return Crashed
	}
	return ""
}

// checkLog records the violations in the log of all incarnations.
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
