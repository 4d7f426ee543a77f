package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

const (
	passes = `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n" +
		`{"Action":"pass","Package":"p"}` + "\n"
	fails = `{"Action":"fail","Package":"q","Test":"TestB/sub"}` + "\n" +
		`{"Action":"fail","Package":"q","Test":"TestB"}` + "\n" +
		`{"Action":"fail","Package":"q"}` + "\n"
	panics   = `{"Action":"output","Package":"q","Test":"TestB","Output":"panic: oops\n"}` + "\n" + fails
	races    = `{"Action":"output","Package":"q","Test":"TestB","Output":"WARNING: DATA RACE\n"}` + "\n" + fails
	noBuild  = `{"Action":"build-fail","ImportPath":"q"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
	dead     = `{"Action":"fail","Package":"q"}` + "\n"
	notJSON  = "go: no such module\n"
	listed   = "# known\n\nTestB, it is slow, really, issue 7\n"
	fourRed  = "A, b, c\nB, b, c\nC, b, c\nD, b, c\n"
	unformed = "TestB fails\n"
)

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	for name, c := range map[string]struct {
		records, list string
		want          string // part of the error; "": none
	}{
		"all pass":             {passes, "", ""},
		"a failure":            {passes + fails, "", "failed: TestB"},
		"a listed failure":     {passes + fails, listed, ""},
		"a listed test panics": {passes + panics, listed, "outside of a test: q: panic"},
		"a listed test races":  {passes + races, listed, "DATA RACE"},
		"a build fails":        {passes + noBuild, listed, "outside of a test: q"},
		"a package dies":       {passes + dead, listed, "outside of a test: q"},
		"no records":           {notJSON, "", "no such module"},
		"nothing ran":          {"", "", "no test passed"},
		"too many listed":      {passes, fourRed, "3 at most"},
		"odd list":             {passes, unformed, "not of the form"},
	} {
		t.Run(name, func(t *testing.T) {
			list, err := parseList(c.list)
			if err == nil {
				var r testResults
				if r, err = readResults(strings.NewReader(c.records), io.Discard); err != nil {
					t.Fatal(err)
				}
				err = judge(r, list, io.Discard)
			}
			if got := fmt.Sprint(err); c.want == "" && err != nil || !strings.Contains(got, c.want) && c.want != "" {
				t.Fatalf("%v, want %q", err, c.want)
			}
		})
	}
}

func TestListedTestsAreReported(t *testing.T) {
	list, err := parseList(listed)
	if err != nil {
		t.Fatal(err)
	}
	for records, want := range map[string]string{passes + fails: "known to fail: TestB, it is slow, really, issue 7",
		passes: "passes now: take it off the list: TestB"} {
		var out strings.Builder
		r, err := readResults(strings.NewReader(records), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		judge(r, list, &out)
		if !strings.HasPrefix(out.String(), want) {
			t.Fatalf("%q, want %q", out.String(), want)
		}
	}
}
