package main

import (
	"fmt"
	"strings"
	"testing"
)

// The output of a test is printed if the test fails, or if its package fails before the test ends.
func TestOutputIsPrintedOfFailedOrUnfinishedTestsOnly(t *testing.T) {
	text := func(test, output string) string {
		return fmt.Sprintf(`{"Action":"output","Package":"q","Test":%q,"Output":%q}`+"\n", test, output)
	}
	for name, c := range map[string]struct{ records, want string }{
		"passed test":     {text("TestA", "hush") + `{"Action":"pass","Package":"q","Test":"TestA"}`, ""},
		"failed test":     {text("TestA", "oops") + `{"Action":"fail","Package":"q","Test":"TestA"}`, "oops"},
		"unfinished test": {text("TestA", "oops") + packageFailRecords, "oops"},
		"package":         {text("", "ok q"), "ok q"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if _, err := readResults(strings.NewReader(c.records), &out); err != nil || out.String() != c.want {
				t.Fatalf("got %q, %v, want %q", out.String(), err, c.want)
			}
		})
	}
}
