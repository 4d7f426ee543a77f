package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// A list is decoded in every form that JSON allows, with its header before or after the entries. Other input is an error.
func TestDecodeListAcceptsEveryFormOfJSON(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev":7,"all":true,"targets":[{"uid":"a","az":"z"},{"uid":"b","boot_ms":5}]}`:       "7 true true a/z/0 b//5",
		"{\n  \"targets\": [\n    {\"uid\": \"a\"}\n  ],\n  \"all\": false,\n  \"rev\": 7\n}": "7 false true a//0",
		`{"targets":[],"odd":{"targets":[{"uid":"x"}]},"rev":7}`:                              "7 false true",
		`{"Rev":7,"TARGETS":[{"UID":"a"}],"note":"]}"}`:                                       "7 false true a//0",
		`{"rev":7,"targets":null}`:                                                            "7 false false",
		`{"rev":null,"targets":[null]}`:                                                       "- false true //0",
		`{"rev":7,"all":true,"targets":[{"uid":"a"},{"uid":"b"`:                               "error a//0",
		`{"rev":7,"targets":{"uid":"a"}}`:                                                     "error",
		`{"rev":7,"targets":[{"uid":5}]}`:                                                     "error",
		`{"rev":7,"targets":[{"uid":"a"} {"uid":"b"}]}`:                                       "error a//0",
		`[{"rev":7}]`:                        "error",
		`"rev"`:                              "error",
		``:                                   "error",
		`{"rev":1e3,"targets":[]}`:           "error",
		`{"rev":7,"all":"yes","targets":[]}`: "error",
		`{"rev":7,"targets":[],"targets":[{"uid":"late"}]}`:                                                   "7 false true late//0",
		strings.Replace(`{"rev":7,"all":true,"targets":[X]}`, "X", strings.Repeat(`{"uid":"a"},`, 2)+"{}", 1): "7 true true a//0 a//0 //0",
	} {
		var decoded []string
		entries := 0
		h, err := decodeList(json.NewDecoder(strings.NewReader(text)), entryHandlers{
			beforeEntry: func() { entries++ },
			onEntry: func(entry Entry) {
				decoded = append(decoded, fmt.Sprintf("%s/%s/%d", entry.UID, entry.Zone, entry.BootMS))
			},
		})
		rev := "-"
		if h.Revision != nil {
			rev = fmt.Sprint(*h.Revision)
		}
		got := fmt.Sprintf("%s %v %v", rev, h.IsSnapshot, h.hasEntries)
		if err != nil {
			got = "error"
		}
		if got = strings.TrimSpace(got + " " + strings.Join(decoded, " ")); got != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
		if entries < len(decoded) {
			t.Errorf("%s: got %d calls of beforeEntry, want at least %d", text, entries, len(decoded))
		}
	}
}
