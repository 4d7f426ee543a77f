package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

const (
	passRecords = `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n" +
		`{"Action":"pass","Package":"p"}` + "\n"
	failRecords = `{"Action":"fail","Package":"q","Test":"TestB/sub"}` + "\n" +
		`{"Action":"fail","Package":"q","Test":"TestB"}` + "\n" +
		`{"Action":"fail","Package":"q"}` + "\n"
	panicRecords       = `{"Action":"output","Package":"q","Test":"TestB","Output":"panic: oops\n"}` + "\n" + failRecords
	raceRecords        = `{"Action":"output","Package":"q","Test":"TestB","Output":"WARNING: DATA RACE\n"}` + "\n" + failRecords
	buildFailRecords   = `{"Action":"build-fail","ImportPath":"q"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
	packageFailRecords = `{"Action":"fail","Package":"q"}` + "\n"
	plainText          = "go: no such module\n"
	passedStatus       = exitStatusPrefix + "0\n"
	failedStatus       = exitStatusPrefix + "1\n"
	killedStatus       = exitStatusPrefix + "137\n"
	knownList          = "# known\n\nTestB, it is slow, really, issue 7\n"
	longList           = "A, b, c\nB, b, c\nC, b, c\nD, b, c\n"
	malformedList      = "TestB fails\n"
)

func TestOnlyUnlistedFailuresAreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		records, list string
		want          string // part of the error; empty means no error
	}{
		"all tests pass":                   {passRecords + passedStatus, "", ""},
		"an unlisted test fails":           {passRecords + failRecords + failedStatus, "", "failed: TestB"},
		"a listed test fails":              {passRecords + failRecords + failedStatus, knownList, ""},
		"a listed test panics":             {passRecords + panicRecords + failedStatus, knownList, "outside of a test: q: panic"},
		"a listed test races":              {passRecords + raceRecords + failedStatus, knownList, "DATA RACE"},
		"a build fails":                    {passRecords + buildFailRecords + failedStatus, knownList, "outside of a test: q"},
		"a package fails without a test":   {passRecords + packageFailRecords + failedStatus, knownList, "outside of a test: q"},
		"text of the go command":           {plainText + failedStatus, "", "no such module"},
		"no records":                       {passedStatus, "", "no test passed"},
		"records end early":                {passRecords, "", "may not have ended"},
		"a listed test, records end early": {passRecords + failRecords, knownList, "may not have ended"},
		"go test is killed":                {passRecords + killedStatus, "", "exit status 137"},
		"a listed test, go test is killed": {passRecords + failRecords + killedStatus, knownList, "exit status 137"},
		"a failure without a record":       {passRecords + failedStatus, "", "show no failure"},
		"too many listed tests":            {passRecords + passedStatus, longList, "3 at most"},
		"malformed list":                   {passRecords + passedStatus, malformedList, "not of the form"},
	} {
		t.Run(name, func(t *testing.T) {
			list, err := parseList(c.list)
			if err == nil {
				var r testResults
				if r, err = readResults(strings.NewReader(c.records), io.Discard); err != nil {
					t.Fatal(err)
				}
				err = checkFailures(r, list, io.Discard)
			}
			if got := fmt.Sprint(err); c.want == "" && err != nil || !strings.Contains(got, c.want) && c.want != "" {
				t.Fatalf("got error %v, want %q", err, c.want)
			}
		})
	}
}

func TestListedTestIsReportedAsFailingOrPassing(t *testing.T) {
	list, err := parseList(knownList)
	if err != nil {
		t.Fatal(err)
	}
	for records, want := range map[string]string{passRecords + failRecords: "known to fail: TestB, it is slow, really, issue 7",
		passRecords: "passes now; remove it from the list: TestB"} {
		var out strings.Builder
		r, err := readResults(strings.NewReader(records), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		checkFailures(r, list, &out)
		if !strings.HasPrefix(out.String(), want) {
			t.Fatalf("got %q, want prefix %q", out.String(), want)
		}
	}
}
