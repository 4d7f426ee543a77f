// Command knownred reads the output of "go test -json" on standard input, prints it as text, and judges it: failures of tests
// that KNOWN-RED.txt lists are printed and passed over, any other failure is an error.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

const (
	listFile         = "KNOWN-RED.txt"
	maxKnownFailures = 3        // tests that may be listed
	maxRecordBytes   = 64 << 20 // bytes of one record
)

// testEvent is one record of "go test -json".
type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// knownFailure is a line of the list: a test that fails for a known cause.
type knownFailure struct{ test, cause, issue string }

// parseList reads lines of the form "test, cause, issue"; the cause may hold commas. Empty lines and those that begin with #
// are passed over.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, ", ")
		if len(parts) < 3 {
			return nil, fmt.Errorf("%s: %q is not of the form test, cause, issue", listFile, line)
		}
		last := len(parts) - 1
		list = append(list, knownFailure{parts[0], strings.Join(parts[1:last], ", "), parts[last]})
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d tests, %d at most", listFile, len(list), maxKnownFailures)
	}
	return list, nil
}

// testResults is what the records say of all tests.
type testResults struct {
	failedTests            []string // top-level tests
	failedPackages         map[string]bool
	packagesWithFailedTest map[string]bool   // packages with a failed test: their own failure needs no other cause
	anyPassed              bool              // some test passed
	otherFailures          []string          // what failed without a test: a build, a panic, a data race outside of a test
	pendingOutput          map[string]string // output of tests that have not ended, by package and test
}

// readResults takes the records in. It copies the text of packages, and of tests that fail, to out.
func readResults(in io.Reader, out io.Writer) (testResults, error) {
	r := testResults{failedPackages: map[string]bool{}, packagesWithFailedTest: map[string]bool{}, pendingOutput: map[string]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		var e testEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil { // of the go command itself
			fmt.Fprintln(out, lines.Text())
			r.otherFailures = append(r.otherFailures, lines.Text())
			continue
		}
		r.record(e, out)
	}
	for p := range r.failedPackages {
		if !r.packagesWithFailedTest[p] {
			r.otherFailures = append(r.otherFailures, p)
		}
	}
	slices.Sort(r.otherFailures)
	return r, lines.Err()
}

func (r *testResults) record(e testEvent, out io.Writer) {
	switch e.Action {
	case "output", "build-output":
		if isQuiet(e) {
			return
		}
		if e.Test == "" {
			io.WriteString(out, e.Output)
		} else {
			r.pendingOutput[e.Package+" "+e.Test] += e.Output
		}
		if isCrash(e.Output) {
			r.otherFailures = append(r.otherFailures, e.Package+": "+strings.TrimSpace(e.Output))
		}
	case "build-fail":
		r.otherFailures = append(r.otherFailures, e.ImportPath)
	case "pass", "skip":
		delete(r.pendingOutput, e.Package+" "+e.Test)
		r.anyPassed = r.anyPassed || e.Test != "" && e.Action == "pass"
	case "fail":
		r.flushOutput(e, out)
		switch {
		case e.Test == "":
			r.failedPackages[e.Package] = true
		case !strings.Contains(e.Test, "/"):
			r.failedTests = append(r.failedTests, e.Test)
			r.packagesWithFailedTest[e.Package] = true
		}
	}
}

// flushOutput writes the output of a test that failed, or of the tests that had not ended when their package did.
func (r *testResults) flushOutput(e testEvent, out io.Writer) {
	for key, text := range r.pendingOutput {
		if key == e.Package+" "+e.Test || e.Test == "" && strings.HasPrefix(key, e.Package+" ") {
			io.WriteString(out, text)
			delete(r.pendingOutput, key)
		}
	}
}

// isCrash says whether a line tells of more than a failed test: no list excuses that.
func isCrash(text string) bool {
	for _, prefix := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"} {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}

// isQuiet says whether a line tells only that a test runs or passes.
func isQuiet(e testEvent) bool {
	text := strings.TrimSpace(e.Output)
	for _, prefix := range []string{"=== RUN", "=== PAUSE", "=== CONT", "=== NAME", "--- PASS"} {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return e.Test != "" && text == "PASS"
}

// judge says what of a result is not in the list. The tests that are listed and failed, or passed, are told on out.
func judge(r testResults, list []knownFailure, out io.Writer) error {
	var errs []error
	for _, what := range r.otherFailures {
		errs = append(errs, fmt.Errorf("failed outside of a test: %s", what))
	}
	for _, test := range r.failedTests {
		if i := slices.IndexFunc(list, func(k knownFailure) bool { return k.test == test }); i < 0 {
			errs = append(errs, fmt.Errorf("failed: %s", test))
		}
	}
	for _, k := range list {
		state := "passes now: take it off the list"
		if slices.Contains(r.failedTests, k.test) {
			state = "known to fail"
		}
		fmt.Fprintf(out, "%s: %s, %s, %s\n", state, k.test, k.cause, k.issue)
	}
	if !r.anyPassed {
		errs = append(errs, errors.New("no test passed"))
	}
	return errors.Join(errs...)
}

func run() error {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return err
	}
	r, err := readResults(os.Stdin, os.Stdout)
	if err != nil {
		return err
	}
	return judge(r, list, os.Stdout)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
