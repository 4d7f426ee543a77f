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

const asProgram = "SCALERUN_TEST_MAIN"

// The test's own binary plays the program and its children.
func TestMain(m *testing.M) {
	_, role := scale.StandInRole()
	if _, ok := os.LookupEnv(asProgram); ok || role {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string // of the error
		ok   func(scale.Options) bool
	}{
		{nil, "", func(o scale.Options) bool {
			return slices.Equal(o.Sweep, scale.Sweeps()) && o.JSON == "scale.json" && o.Minutes == 9 &&
				slices.Max(o.Backends) == 200000 && o.Fleet == 6400
		}},
		{[]string{"--sweep", "zone,compare", "--seed", "7", "--quick"}, "", func(o scale.Options) bool {
			return slices.Equal(o.Sweep, []string{"zone", "compare"}) && o.Seed == 7 && o.Quick
		}},
		{[]string{"--backends", "200,2000"}, "", func(o scale.Options) bool {
			return slices.Equal(o.Backends, []int{200, 2000})
		}},
		{[]string{"--sweep", "weather"}, "--sweep", nil},
		{[]string{"--seed", "-1"}, "--seed", nil},
		{[]string{"--binary", "/nowhere/at/all"}, "--binary", nil},
		{[]string{"more"}, "unexpected argument", nil},
	} {
		var o scale.Options
		p, err := newParser(&o)
		if err != nil {
			t.Fatal(err)
		}
		_, err = p.Parse(c.args)
		switch {
		case c.want == "" && (err != nil || !c.ok(o)):
			t.Errorf("%q: %+v, %v", c.args, o, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%q: error %v, want one line with %q", c.args, err, c.want)
		}
	}
}

// program starts scalerun with these flags.
func program(t *testing.T, args ...string) *exec.Cmd {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), exe, args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Dir = t.TempDir()
	return cmd
}

// childrenOf lists the processes that this one has started and not yet waited for.
func childrenOf(t *testing.T, pid int) []int {
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	var list []int
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil { // it has ended since
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

// Ctrl-C ends all that was started, leaves what was measured, and says so in one line.
func TestInterrupt(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		cmd := program(t, "--sweep", "ingresses", "--ingresses", "3", "--live-rate", "20", "--json", "part.json")
		var tables bytes.Buffer
		cmd.Stdout = &tables
		progress, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(progress)
		if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "[1/1] ingresses 3") {
			t.Fatalf("progress %q, %v", line, err)
		}
		var children []int
		for len(children) < 2 { // discovery and the counter
			children = childrenOf(t, cmd.Process.Pid)
			time.Sleep(time.Millisecond)
		}
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		rest, _ := io.ReadAll(in)
		var end *exec.ExitError
		if err := cmd.Wait(); !errors.As(err, &end) || end.ExitCode() != exitInterrupted {
			t.Errorf("%v: ended with %v, want code %d", sig, err, exitInterrupted)
		}
		lines := strings.Split(strings.TrimSpace(string(rest)), "\n")
		if last := lines[len(lines)-1]; last != "scalerun: interrupted" {
			t.Errorf("%v: last line %q", sig, last)
		}
		for _, pid := range children {
			if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
				t.Errorf("%v: process %d is left: %v", sig, pid, err)
			}
		}
		text, err := os.ReadFile(filepath.Join(cmd.Dir, "part.json"))
		var report scale.Report
		if err == nil {
			err = json.Unmarshal(text, &report)
		}
		if err != nil || !strings.Contains(report.Ended, "interrupted") || !strings.Contains(tables.String(), "partial") {
			t.Errorf("%v: report %q, %v; tables %q", sig, report.Ended, err, tables.String())
		}
	}
}

// What can't be run is one line and nothing else.
func TestRefusal(t *testing.T) {
	for want, args := range map[string][]string{
		"scalerun: 503 processes are asked for, 300 at most":  {"--real", "500"},
		"scalerun: --minutes: over 0 and under 10 are wanted": {"--minutes", "60"},
	} {
		out, err := program(t, args...).CombinedOutput()
		if err == nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("%q: %v, %q, want %q", args, err, out, want)
		}
	}
}

// The ingress itself stays free of the modules that the scale run is made with.
func TestIngressStaysFree(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "lemontack/cmd/ingress",
		"lemontack/cmd/simadapter").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	deps := strings.Fields(string(out))
	if !slices.Contains(deps, "lemontack/policy") {
		t.Fatalf("no list of packages: %s", out)
	}
	for _, d := range deps {
		for _, module := range []string{"github.com/alecthomas/kong", "github.com/HdrHistogram/hdrhistogram-go",
			"gonum.org/v1/gonum", "lemontack/internal/scale", "lemontack/internal/standin"} {
			if d == module || strings.HasPrefix(d, module+"/") {
				t.Errorf("the ingress imports %s", d)
			}
		}
	}
}
