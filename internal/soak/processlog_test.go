package soak

import "testing"

// Only invariants, panics, fatal errors and data races are violations; timing invariants only if timing is checked.
func TestLogViolationClassifiesLines(t *testing.T) {
	const invariant, timingInvariant = `level=ERROR msg="invariant violated" invariant=retry`,
		`level=ERROR msg="invariant violated" invariant=in_time`
	for name, c := range map[string]struct {
		line        string
		checkTiming bool
		want        ViolationKind // empty means none
	}{
		"ordinary line":                    {"level=INFO msg=counters violations=0", true, ""},
		"invariant":                        {invariant, false, InvariantViolated},
		"invariant, timing checked":        {invariant, true, InvariantViolated},
		"timing invariant":                 {timingInvariant, false, ""},
		"timing invariant, timing checked": {timingInvariant, true, InvariantViolated},
		"panic":                            {"panic: runtime error", false, Crashed},
		"fatal error":                      {"fatal error: all goroutines are asleep", false, Crashed},
		"data race":                        {"WARNING: DATA RACE", false, Crashed},
		"panic inside a line":              {"level=INFO msg=\"no panic: yet\"", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := logViolation(c.line, c.checkTiming); got != c.want {
				t.Fatalf("got kind %q, want %q", got, c.want)
			}
		})
	}
}
