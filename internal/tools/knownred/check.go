package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

var errNoTestPassed = errors.New("no test passed, want at least one")

// checkFailures returns an error for each failure that is not in the list, and an error if no test passed. It prints to out for
// each test in the list whether it failed.
func checkFailures(results testResults, known []knownFailure, out io.Writer) error {
	var errs []error
	for _, failure := range results.otherFailures {
		errs = append(errs, fmt.Errorf("failed outside of a test: %s", failure))
	}
	for _, test := range results.failedTests {
		isKnown := slices.ContainsFunc(known, func(k knownFailure) bool { return k.test == test })
		if !isKnown {
			errs = append(errs, fmt.Errorf("failed: %s", test))
		}
	}
	for _, k := range known {
		state := "passes now; remove it from the list"
		if slices.Contains(results.failedTests, k.test) {
			state = "known to fail"
		}
		fmt.Fprintf(out, "%s: %s, %s, %s\n", state, k.test, k.cause, k.issue)
	}
	if !results.anyPassed {
		errs = append(errs, errNoTestPassed)
	}
	return errors.Join(errs...)
}
