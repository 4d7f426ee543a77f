package wire

import (
	"errors"
	"strings"
	"testing"
)

func TestMalformedInputIsReportedWithLineAndField(t *testing.T) {
	for name, c := range map[string]struct {
		in    string
		want  string // part of the error
		line  int
		field string
	}{
		"time is not a number": {"SYNC\twallUs=x\n", "line 1: field wallUs", 1, "wallUs"},
		"instance is missing":  {"SYNC\twallUs=1\nDROPPED\tcall=1\nYOUR_TURN\n", "line 2: DROPPED: field i: missing", 2, "i"},
		"id is too large":      {"SYNC\twallUs=1\nDROPPED\ti=1\tcall=99999999999\nYOUR_TURN\n", "field call", 2, "call"},
		"total is not finite": {"SYNC\twallUs=1\nCOUNTER_REPLY\ti=1\tcounter=a\tstateCode=done\ttotal=NaN\n",
			"field total", 2, "total"},
		"list is cut off":        {"SYNC\twallUs=1\nMEMBERSHIP\ti=1\tform=full\tmembers=2\nM\tbackend=a\n", "members", 3, ""},
		"settings are not JSON":  {"SYNC\twallUs=1\nBEGIN\ti=1\tfacts={\n", "field facts", 2, "facts"},
		"batch is cut off":       {"SYNC\twallUs=1\nTICK_DUE\ti=1\n", "inside a batch", 2, ""},
		"line is cut off":        {"SYNC\twallUs=1\nTICK_DUE\ti=1", "cut off", 2, ""},
		"message before a batch": {"TICK_DUE\ti=1\n", "before a batch", 1, ""},
		"batch inside a batch":   {"SYNC\twallUs=1\n\nSYNC\twallUs=2\n", "inside a batch", 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%q: got error %v, want one with %q", c.in, err, c.want)
			}
			var parse *ParseError
			if !errors.As(err, &parse) || parse.Line != c.line || parse.Field != c.field {
				t.Fatalf("%q: got %#v, want line %d, field %q", c.in, err, c.line, c.field)
			}
		})
	}
}
