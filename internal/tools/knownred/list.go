package main

import (
	"fmt"
	"strings"
)

const (
	listFile         = "KNOWN-RED.txt"
	maxKnownFailures = 3 // maximum number of tests in the list, so that it remains an exception
)

// knownFailure is an entry of the list: a test that fails for a known cause.
type knownFailure struct{ test, cause, issue string }

// parseList parses lines of the form "test, cause, issue"; the cause may contain commas. It skips empty lines and lines that
// start with #.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		failure, err := parseKnownFailure(line)
		if err != nil {
			return nil, err
		}
		list = append(list, failure)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%s: got %d tests, want %d at most", listFile, len(list), maxKnownFailures)
	}
	return list, nil
}

func parseKnownFailure(line string) (knownFailure, error) {
	parts := strings.Split(line, ", ")
	if len(parts) < 3 {
		return knownFailure{}, fmt.Errorf("%s: %q is not of the form test, cause, issue", listFile, line)
	}
	last := len(parts) - 1
	return knownFailure{
		test:  parts[0],
		cause: strings.Join(parts[1:last], ", "),
		issue: parts[last],
	}, nil
}
