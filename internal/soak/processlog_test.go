package soak

import "testing"

// A line of an ingress's log tells a violation only if it is one, and one of a timing invariant only if times are checked.
func TestLogViolationClassifiesLines(t *testing.T) {
	const invariant, timingInvariant = `level=ERROR msg="invariant violated" invariant=retry`, `level=ERROR msg="invariant violated" invariant=in_time`
	for name, c := range map[string]struct {
		line        string
		checkTiming bool
		want        ViolationKind // "": none
	}{
		"ordinary line":                   {"level=INFO msg=counters violations=0", true, ""},
		"invariant":                       {invariant, false, InvariantViolated},
		"invariant, times checked":        {invariant, true, InvariantViolated},
		"timing invariant":                {timingInvariant, false, ""},
		"timing invariant, times checked": {timingInvariant, true, InvariantViolated},
		"panic":                           {"panic: runtime error", false, Crashed},
		"fatal error":                     {"fatal error: all goroutines are asleep", false, Crashed},
		"data race":                       {"WARNING: DATA RACE", false, Crashed},
		"panic inside a line":             {"level=INFO msg=\"no panic: yet\"", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := logViolation(c.line, c.checkTiming); got != c.want {
				t.Fatalf("%q, want %q", got, c.want)
			}
		})
	}
}
