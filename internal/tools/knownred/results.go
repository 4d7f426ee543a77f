package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxRecordBytes is the maximum length of a record, which contains a whole line of a test's output.
const maxRecordBytes = 64 << 20

// exitStatusPrefix begins the line after the records, which ends with the exit status of "go test".
const exitStatusPrefix = "go test: exit status "

// exitStatusMissing is the exit status of a "go test" that did not end.
const exitStatusMissing = -1

// testEvent is one record of "go test -json".
type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// testKey identifies a test, or a package if test is empty.
type testKey struct{ pkg, test string }

func (e testEvent) key() testKey { return testKey{e.Package, e.Test} }

// packageSet is a set of packages by their import paths.
type packageSet map[string]bool

// testResults are the results of all tests and packages.
type testResults struct {
	failedTests            []string // names of top-level tests
	failedPackages         packageSet
	packagesWithFailedTest packageSet         // packages whose failure is explained by a failed test
	anyPassed              bool               // whether at least one test passed
	exitStatus             int                // of "go test"; exitStatusMissing if it is unknown
	otherFailures          []string           // failures other than of tests: builds, panics, data races, packages
	pendingOutput          map[testKey]string // output of tests that have not ended
}

// readResults reads the records and the exit status. It copies the output of packages and of failed tests to out.
func readResults(in io.Reader, out io.Writer) (testResults, error) {
	results := testResults{
		exitStatus:             exitStatusMissing,
		failedPackages:         packageSet{},
		packagesWithFailedTest: packageSet{},
		pendingOutput:          map[testKey]string{},
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		if status, isStatus := parseExitStatus(lines.Text()); isStatus {
			results.exitStatus = status
			continue
		}
		var event testEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil { // plain text of the go command
			fmt.Fprintln(out, lines.Text())
			results.otherFailures = append(results.otherFailures, lines.Text())
			continue
		}
		results.record(event, out)
	}
	for pkg := range results.failedPackages {
		if !results.packagesWithFailedTest[pkg] {
			results.otherFailures = append(results.otherFailures, pkg)
		}
	}
	slices.Sort(results.otherFailures)
	return results, lines.Err()
}

// parseExitStatus reads the line that ends with the exit status of "go test". It returns false for any other line.
func parseExitStatus(line string) (status int, isStatus bool) {
	text, isStatus := strings.CutPrefix(line, exitStatusPrefix)
	if !isStatus {
		return 0, false
	}
	status, err := strconv.Atoi(text)
	return status, err == nil
}

func (r *testResults) record(event testEvent, out io.Writer) {
	switch event.Action {
	case "output", "build-output":
		r.recordOutput(event, out)
	case "build-fail":
		r.otherFailures = append(r.otherFailures, event.ImportPath)
	case "pass", "skip":
		delete(r.pendingOutput, event.key())
		if event.Test != "" && event.Action == "pass" {
			r.anyPassed = true
		}
	case "fail":
		r.flushOutput(event, out)
		r.recordFailure(event)
	}
}

func (r *testResults) recordOutput(event testEvent, out io.Writer) {
	if isProgress(event) {
		return
	}
	if event.Test == "" {
		io.WriteString(out, event.Output)
	} else {
		r.pendingOutput[event.key()] += event.Output
	}
	if isCrash(event.Output) {
		r.otherFailures = append(r.otherFailures, event.Package+": "+strings.TrimSpace(event.Output))
	}
}

// recordFailure records the failure of a package or a test. It ignores subtests, since their top-level test fails too.
func (r *testResults) recordFailure(event testEvent) {
	if event.Test == "" {
		r.failedPackages[event.Package] = true
		return
	}
	if !strings.Contains(event.Test, "/") {
		r.failedTests = append(r.failedTests, event.Test)
		r.packagesWithFailedTest[event.Package] = true
	}
}

// flushOutput writes the pending output of a failed test, or of the unfinished tests of a failed package.
func (r *testResults) flushOutput(event testEvent, out io.Writer) {
	for key, text := range r.pendingOutput {
		packageEnded := event.Test == "" && key.pkg == event.Package
		if key == event.key() || packageEnded {
			io.WriteString(out, text)
			delete(r.pendingOutput, key)
		}
	}
}

// isCrash reports whether a line of output reports a panic, a fatal error or a data race. These are errors in listed tests too.
func isCrash(text string) bool {
	for _, prefix := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"} {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}

// isProgress reports whether a line of output reports only that a test runs or passes.
func isProgress(event testEvent) bool {
	text := strings.TrimSpace(event.Output)
	for _, prefix := range []string{"=== RUN", "=== PAUSE", "=== CONT", "=== NAME", "--- PASS"} {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return event.Test != "" && text == "PASS"
}
