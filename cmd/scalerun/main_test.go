package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemontack/internal/scale"
)

// runMainEnv is the environment variable that makes the test binary run main instead of the tests.
const runMainEnv = "SCALERUN_TEST_MAIN"

// TestMain lets the test binary also run as scalerun and as the stand-ins that scalerun starts.
func TestMain(m *testing.M) {
	_, role := scale.StandInRole()
	if _, ok := os.LookupEnv(runMainEnv); ok || role {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestParseOptionsAcceptsFlagsAndNamesInvalidOnes(t *testing.T) {
	for _, c := range []struct {
		args      []string
		wantError string // expected substring; empty means no error
		matches   func(scale.Options) bool
	}{
		{nil, "", func(o scale.Options) bool {
			return slices.Equal(o.Sweeps, scale.SweepNames()) && o.ReportPath == "scale.json" && o.TimeLimitMinutes == 9 &&
				slices.Max(o.BackendCounts) == 200000 && o.FleetSize == 6400
		}},
		{[]string{"--sweep", "zone,compare", "--seed", "7", "--quick"}, "", func(o scale.Options) bool {
			return slices.Equal(o.Sweeps, []string{"zone", "compare"}) && o.Seed == 7 && o.Quick
		}},
		{[]string{"--backends", "200,2000"}, "", func(o scale.Options) bool {
			return slices.Equal(o.BackendCounts, []int{200, 2000})
		}},
		{[]string{"--sweep", "weather"}, "--sweep", nil},
		{[]string{"--seed", "-1"}, "--seed", nil},
		{[]string{"--binary", "/nowhere/at/all"}, "--binary", nil},
		{[]string{"more"}, "unexpected argument", nil},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			o, err := parseOptions(c.args)
			if c.wantError == "" {
				if err != nil || !c.matches(o) {
					t.Errorf("got options %+v, error %v; want no error and the options of the flags", o, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.wantError) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, c.wantError)
			}
		})
	}
}

// scalerunCommand returns a command that runs scalerun with the given flags in an empty directory.
func scalerunCommand(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), exe, args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	cmd.Dir = t.TempDir()
	return cmd
}

// childProcesses returns the ids of the processes that a process has started and not yet waited for.
func childProcesses(t *testing.T, pid int) []int {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	var list []int
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil { // the process has exited since
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		if len(fields) < 2 || fields[1] != strconv.Itoa(pid) {
			continue
		}
		child, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, child)
	}
	return list
}

func TestInterruptedRunStopsItsProcessesAndWritesAReport(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		t.Run(sig.String(), func(t *testing.T) { testInterrupt(t, sig) })
	}
}

func testInterrupt(t *testing.T, sig syscall.Signal) {
	t.Helper()
	cmd := scalerunCommand(t, "--sweep", "ingresses", "--ingresses", "3", "--live-rate", "20", "--json", "part.json")
	var tables bytes.Buffer
	cmd.Stdout = &tables
	progress, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(progress)
	if line, err := lines.ReadString('\n'); err != nil || !strings.HasPrefix(line, "[1/1] ingresses 3") {
		t.Fatalf("got progress %q, error %v; want the line of the first point", line, err)
	}
	var children []int
	for len(children) < 2 { // discovery and the counter
		children = childProcesses(t, cmd.Process.Pid)
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(lines)
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitInterrupted {
		t.Errorf("got exit error %v, want exit code %d", err, exitInterrupted)
	}
	outputLines := strings.Split(strings.TrimSpace(string(rest)), "\n")
	if last := outputLines[len(outputLines)-1]; last != "scalerun: interrupted" {
		t.Errorf("got last line %q, want \"scalerun: interrupted\"", last)
	}
	for _, pid := range children {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d after the run: got %v, want ESRCH", pid, err)
		}
	}
	text, err := os.ReadFile(filepath.Join(cmd.Dir, "part.json"))
	var report scale.Report
	if err == nil {
		err = json.Unmarshal(text, &report)
	}
	if err != nil || !strings.Contains(report.Status, "interrupted") || !strings.Contains(tables.String(), "partial") {
		t.Errorf("got report status %q, error %v, tables %q; want an interrupted, partial run", report.Status, err,
			tables.String())
	}
}

func TestRunWithOptionsOutOfRangePrintsOneErrorLine(t *testing.T) {
	for want, args := range map[string][]string{
		"scalerun: 503 processes are required, but at most 300 are allowed":           {"--real", "500"},
		"scalerun: --minutes: out of range: values above 0 and below 10 are expected": {"--minutes", "60"},
	} {
		out, err := scalerunCommand(t, args...).CombinedOutput()
		if err == nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("%q: got error %v, output %q; want an error and output %q", args, err, out, want)
		}
	}
}

func TestIngressDoesNotImportTheScaleRun(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "lemontack/cmd/ingress",
		"lemontack/cmd/simadapter").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	deps := strings.Fields(string(out))
	if !slices.Contains(deps, "lemontack/policy") {
		t.Fatalf("got no list of packages: %s", out)
	}
	for _, d := range deps {
		for _, module := range []string{"github.com/alecthomas/kong", "github.com/HdrHistogram/hdrhistogram-go",
			"gonum.org/v1/gonum", "lemontack/internal/scale", "lemontack/internal/standin"} {
			if d == module || strings.HasPrefix(d, module+"/") {
				t.Errorf("got import of %s in the ingress or its adapter, want none", d)
			}
		}
	}
}
