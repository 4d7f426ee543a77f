package wire

import (
	"errors"
	"strings"
	"testing"
)

// What is legal, however unlike others, is taken.
func TestSettingsThatCannotBeMeantAreNamedInOneLine(t *testing.T) {
	for text, want := range map[string]string{
		`{}`: "",
		`{"classes":[{"name":"x","objectiveUs":1,"deadlineUs":9e14,"effect":"new","lateShare":1}],"familyInfo":{"maxUnits":0.5}}`: "",
		`{"classes":[{"name":"x"},{"name":"x"}]}`:       `class "x" has no name of its own`,
		`{"classes":[{"value":1}]}`:                     `class "" has no name of its own`,
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
				t.Errorf("%s: no error, want one line with %q", text, want)
			}
			continue
		}
		if want == "" || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
}

func TestErrorsOfSettingsAreTyped(t *testing.T) {
	_, _, err := ParseSettings([]byte(`{"invariants":{"coldFrom":21}}`))
	var outOfRange *RangeError
	if !errors.As(err, &outOfRange) || *outOfRange != (RangeError{"invariants.coldFrom", 21, 1}) {
		t.Errorf("a number out of its range: %#v", err)
	}
	_, _, err = ParseSettings([]byte(`{"classes":[{"name":"x"},{"name":"x"}]}`))
	var className *ClassNameError
	if !errors.As(err, &className) || className.Name != "x" {
		t.Errorf("two classes of one name: %#v", err)
	}
}
