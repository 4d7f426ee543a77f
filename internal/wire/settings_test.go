package wire

import (
	"errors"
	"strings"
	"testing"
)

// An invalid value is reported in one line that names it. Valid but unusual settings are accepted.
func TestInvalidSettingsAreReportedInOneLine(t *testing.T) {
	for text, want := range map[string]string{
		`{}`: "",
		`{"classes":[{"name":"x","objectiveUs":1,"deadlineUs":9e14,"effect":"new","lateShare":1}],"familyInfo":{"maxUnits":0.5}}`: "",
		`{"classes":[{"name":"x"},{"name":"x"}]}`:       `class "x": name is empty or not unique`,
		`{"classes":[{"value":1}]}`:                     `class "": name is empty or not unique`,
		`{"classes":[{"name":"x","deadlineUs":-1}]}`:    "x.deadlineUs is -1",
		`{"classes":[{"name":"x","deadlineUs":1e300}]}`: "x.deadlineUs is 1e+300",
		`{"classes":[{"name":"x","lateShare":1.5}]}`:    "x.lateShare is 1.5",
		`{"familyInfo":{"maxUnits":-4}}`:                "familyInfo.maxUnits is -4",
		`{"permissions":{"maxAttempts":-1}}`:            "permissions.maxAttempts is -1",
		`{"permissions":{"connectTimeoutUs":-250000}}`:  "permissions.connectTimeoutUs is -250000",
		`{"invariants":{"coldFrom":21}}`:                "invariants.coldFrom is 21, want 0 to 1",
		`{"invariants":{"warmAfterUs":1e16}}`:           "invariants.warmAfterUs is 1e+16",
		`{"familyInfo":{"counterTimeoutUs":"80 ms"}}`:   "settings: json",
		`{"permissions":{"maxAttempts":1e999}}`:         "settings: json",
	} {
		_, _, err := ParseSettings([]byte(text))
		if err == nil {
			if want != "" {
				t.Errorf("%s: got no error, want one line with %q", text, want)
			}
			continue
		}
		if want == "" || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", text, err, want)
		}
	}
}

func TestSettingsErrorsAreTyped(t *testing.T) {
	_, _, err := ParseSettings([]byte(`{"invariants":{"coldFrom":21}}`))
	var outOfRange *RangeError
	if !errors.As(err, &outOfRange) || *outOfRange != (RangeError{"invariants.coldFrom", 21, 1}) {
		t.Errorf("number out of range: got error %#v, want a RangeError for invariants.coldFrom", err)
	}
	_, _, err = ParseSettings([]byte(`{"classes":[{"name":"x"},{"name":"x"}]}`))
	var className *ClassNameError
	if !errors.As(err, &className) || className.Name != "x" {
		t.Errorf("two classes of the same name: got error %#v, want a ClassNameError for x", err)
	}
}
