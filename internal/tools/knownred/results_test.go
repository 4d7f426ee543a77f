package main

import (
	"fmt"
	"strings"
	"testing"
)

// The text of a test is printed if it fails, or if its package ends before it does.
func TestOutputIsPrintedOfFailedOrUnfinishedTestsOnly(t *testing.T) {
	text := func(test, output string) string {
		return fmt.Sprintf(`{"Action":"output","Package":"q","Test":%q,"Output":%q}`+"\n", test, output)
	}
	for name, c := range map[string]struct{ records, want string }{
		"passes":     {text("TestA", "hush") + `{"Action":"pass","Package":"q","Test":"TestA"}`, ""},
		"fails":      {text("TestA", "oops") + `{"Action":"fail","Package":"q","Test":"TestA"}`, "oops"},
		"never ends": {text("TestA", "oops") + packageFailRecords, "oops"},
		"a package":  {text("", "ok q"), "ok q"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if _, err := readResults(strings.NewReader(c.records), &out); err != nil || out.String() != c.want {
				t.Fatalf("%q, %v; want %q", out.String(), err, c.want)
			}
		})
	}
}
