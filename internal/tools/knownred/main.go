// Command knownred reads the output of "go test -json" on standard input, followed by the line "go test: exit status N", and prints
// it as text. Failures of the tests that KNOWN-RED.txt lists are only printed; any other failure makes it exit with 1.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	known, err := parseList(string(text))
	if err != nil {
		return err
	}
	results, err := readResults(os.Stdin, os.Stdout)
	if err != nil {
		return err
	}
	return checkFailures(results, known, os.Stdout)
}
