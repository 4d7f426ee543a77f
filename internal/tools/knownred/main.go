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
	listName = "KNOWN-RED.txt"
	mostRed  = 3        // tests that may be listed
	maxLine  = 64 << 20 // bytes of one record
)

// event is one record of "go test -json".
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// red is a line of the list: a test that fails for a known cause.
type red struct{ test, cause, issue string }

// parseList reads lines of the form "test, cause, issue"; the cause may hold commas. Empty lines and those that begin with #
// are passed over.
func parseList(text string) ([]red, error) {
	var list []red
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, ", ")
		if len(parts) < 3 {
			return nil, fmt.Errorf("%s: %q is not of the form test, cause, issue", listName, line)
		}
		last := len(parts) - 1
		list = append(list, red{parts[0], strings.Join(parts[1:last], ", "), parts[last]})
	}
	if len(list) > mostRed {
		return nil, fmt.Errorf("%s: %d tests, %d at most", listName, len(list), mostRed)
	}
	return list, nil
}

// result is what the records say of all tests.
type result struct {
	failed   []string // top-level tests
	packages map[string]bool
	explains map[string]bool   // packages with a failed test: their own failure needs no other cause
	passed   bool              // some test passed
	broken   []string          // what failed without a test: a build, a panic, a data race outside of a test
	held     map[string]string // output of tests that have not ended, by package and test
}

// read takes the records in. It copies the text of packages, and of tests that fail, to out.
func read(in io.Reader, out io.Writer) (result, error) {
	r := result{packages: map[string]bool{}, explains: map[string]bool{}, held: map[string]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil { // of the go command itself
			fmt.Fprintln(out, lines.Text())
			r.broken = append(r.broken, lines.Text())
			continue
		}
		r.take(e, out)
	}
	for p := range r.packages {
		if !r.explains[p] {
			r.broken = append(r.broken, p)
		}
	}
	slices.Sort(r.broken)
	return r, lines.Err()
}

func (r *result) take(e event, out io.Writer) {
	switch e.Action {
	case "output", "build-output":
		if isQuiet(e) {
			return
		}
		if e.Test == "" {
			io.WriteString(out, e.Output)
		} else {
			r.held[e.Package+" "+e.Test] += e.Output
		}
		if isCrash(e.Output) {
			r.broken = append(r.broken, e.Package+": "+strings.TrimSpace(e.Output))
		}
	case "build-fail":
		r.broken = append(r.broken, e.ImportPath)
	case "pass", "skip":
		delete(r.held, e.Package+" "+e.Test)
		r.passed = r.passed || e.Test != "" && e.Action == "pass"
	case "fail":
		r.tell(e, out)
		switch {
		case e.Test == "":
			r.packages[e.Package] = true
		case !strings.Contains(e.Test, "/"):
			r.failed = append(r.failed, e.Test)
			r.explains[e.Package] = true
		}
	}
}

// tell writes the output of a test that failed, or of the tests that had not ended when their package did.
func (r *result) tell(e event, out io.Writer) {
	for key, text := range r.held {
		if key == e.Package+" "+e.Test || e.Test == "" && strings.HasPrefix(key, e.Package+" ") {
			io.WriteString(out, text)
			delete(r.held, key)
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
func isQuiet(e event) bool {
	text := strings.TrimSpace(e.Output)
	for _, prefix := range []string{"=== RUN", "=== PAUSE", "=== CONT", "=== NAME", "--- PASS"} {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return e.Test != "" && text == "PASS"
}

// judge says what of a result is not in the list. The tests that are listed and failed, or passed, are told on out.
func judge(r result, list []red, out io.Writer) error {
	var errs []error
	for _, what := range r.broken {
		errs = append(errs, fmt.Errorf("failed outside of a test: %s", what))
	}
	for _, test := range r.failed {
		if i := slices.IndexFunc(list, func(k red) bool { return k.test == test }); i < 0 {
			errs = append(errs, fmt.Errorf("failed: %s", test))
		}
	}
	for _, k := range list {
		state := "passes now: take it off the list"
		if slices.Contains(r.failed, k.test) {
			state = "known to fail"
		}
		fmt.Fprintf(out, "%s: %s, %s, %s\n", state, k.test, k.cause, k.issue)
	}
	if !r.passed {
		errs = append(errs, errors.New("no test passed"))
	}
	return errors.Join(errs...)
}

func run() error {
	text, err := os.ReadFile(listName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return err
	}
	r, err := read(os.Stdin, os.Stdout)
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
