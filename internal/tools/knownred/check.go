package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

// testsFailedStatus is the exit status of "go test" if a test or a build has failed.
const testsFailedStatus = 1

// Errors of a run that does not count, whatever its records say.
var (
	errNoTestPassed      = errors.New("no test passed, want at least one")
	errNoExitStatus      = errors.New("go test did not report its exit status, so it may not have ended")
	errUnexplainedStatus = errors.New("go test failed, but its records show no failure")
)

// checkFailures returns an error for each failure that is not in the list, and an error if no test passed or if "go test" ended in
// another way than its records show. It prints to out for each test in the list whether it failed.
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
	return errors.Join(append(errs, results.checkExitStatus())...)
}

// checkExitStatus returns an error if "go test" did not end, or failed without a failure in its records.
func (r *testResults) checkExitStatus() error {
	switch {
	case r.exitStatus == exitStatusMissing:
		return errNoExitStatus
	case r.exitStatus > testsFailedStatus:
		return fmt.Errorf("go test ended with exit status %d", r.exitStatus)
	case r.exitStatus == testsFailedStatus && len(r.failedTests) == 0 && len(r.otherFailures) == 0:
		return errUnexplainedStatus
	}
	return nil
}
