package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

const (
	liveTenants     = 300 // of each hollow ingress that is live
	liveBackends    = 200 // but in the sweep of backends: what a request costs in the module grows with them
	meanServiceTime = 20 * time.Millisecond
	reportReserve   = 5 * time.Second // of the time bound, for the report
)

// Sweeps are all that there are, in their order.
func Sweeps() []string {
	return []string{"backends", "ingresses", "tenants", "changes", "zone", "compare"}
}

// Options are what a run is asked for; the tags are for the command line, where sweeps stands for all Sweeps.
type Options struct {
	Sweep     []string  `help:"Sweeps to run, of ${enum}." enum:"${sweeps}" default:"${sweeps}" json:"sweep"`
	Seed      uint64    `help:"Seed of all that is drawn." default:"1" json:"seed"`
	JSON      string    `help:"File for all figures." name:"json" default:"scale.json" json:"json"`
	Minutes   float64   `help:"Bound of the run; what is left then is skipped." default:"9" json:"minutes"`
	Backends  []int     `help:"Numbers of backends." default:"200,1000,5000,20000,60000,200000" json:"backends"`
	Ingresses []int     `help:"Numbers of live ingresses." default:"10,30,100,200,300,500,800" json:"ingresses"`
	Tenants   []int     `help:"Tenants of one ingress." default:"100,300,1000,3000,10000,30000" json:"tenants"`
	Changes   []float64 `help:"Changes a second." default:"1,10,50" json:"changes"`
	Fleet     int       `help:"Ingresses of the fleet where one is measured alone." default:"6400" json:"fleet"`
	Rate      float64   `help:"Requests a second of one ingress." default:"328" json:"rate"`
	LiveRate  float64   `help:"The same where many are live at once." default:"100" json:"live_rate"`
	Real      int       `help:"Real processes to compare with hollow ones." default:"3" json:"real"`
	Binary    string    `help:"A built ingress; else the run builds one." type:"existingfile" optional:"" json:"binary"`
	Quick     bool      `help:"Small sizes and short points, to try the run: about a minute." json:"quick"`
}

// withQuickSizes is the run of small sizes.
func (o Options) withQuickSizes() Options {
	o.Backends, o.Ingresses, o.Tenants = []int{200, 1000, 5000}, []int{5, 10, 20}, []int{100, 300, 1000}
	o.Changes, o.Real, o.Minutes = []float64{1, 10, 50}, min(o.Real, 2), min(o.Minutes, 3)
	return o
}

// validate says in one line what can't be run.
func (o Options) validate() error {
	sizes := []struct {
		name string
		list []int
		most int
	}{{"backends", o.Backends, 1 << 21}, {"ingresses", o.Ingresses, 1 << 14}, {"tenants", o.Tenants, 1 << 21},
		{"fleet", []int{o.Fleet}, 1 << 14}, {"real", []int{o.Real}, 1 << 14}}
	for _, s := range sizes {
		if len(s.list) == 0 || slices.Min(s.list) < 1 || slices.Max(s.list) > s.most {
			return fmt.Errorf("--%s: sizes from 1 to %d are wanted", s.name, s.most)
		}
	}
	if len(o.Changes) == 0 || !(slices.Min(o.Changes) > 0) || !(slices.Max(o.Changes) <= 1000) {
		return errors.New("--changes: over 0 and up to 1000 a second are wanted")
	}
	for name, rate := range map[string]float64{"rate": o.Rate, "live-rate": o.LiveRate} {
		if !(rate > 0 && rate <= 1e5) {
			return fmt.Errorf("--%s: over 0 and up to 100000 a second are wanted", name)
		}
	}
	if !(o.Minutes > 0 && o.Minutes < 10) {
		return errors.New("--minutes: over 0 and under 10 are wanted")
	}
	return nil
}

// Run is one run of the sweeps.
type Run struct {
	Options
	progress  io.Writer
	monitor   *resourceMonitor
	report    *Report
	deadline  time.Time
	saturated bool // the machine bears no larger fleet
}

// job is one point of a sweep, still to be measured.
type job struct {
	point    Point
	duration time.Duration // about
	measure  func(context.Context, *Point) error
}

// NewRun checks what is asked for, and does nothing yet.
func NewRun(o Options, progress io.Writer) (*Run, error) {
	if o.Quick {
		o = o.withQuickSizes()
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	m, err := describeMachine()
	if err != nil {
		return nil, err
	}
	if err := checkResources(o, m); err != nil {
		return nil, err
	}
	r := &Run{Options: o, progress: progress, monitor: newResourceMonitor(),
		report: &Report{Format: reportFormat, Date: time.Now().UTC(), Seed: o.Seed, Commit: sourceRevision(), Flags: o, Machine: m,
			Notes: reportNotes()}}
	return r, nil
}

// sourceRevision is that of the code, if the build or the folder tell it.
func sourceRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil { // not a clone
		return ""
	}
	return strings.TrimSpace(string(out))
}

var errPointsFailed = errors.New("points failed")

// Measure measures all points, one after another. The report holds what has been measured, also where it ends early; the
// error says why in one line.
func (r *Run) Measure(ctx context.Context) (*Report, error) {
	began := time.Now()
	r.deadline = began.Add(time.Duration(r.Minutes * float64(time.Minute)))
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline.Add(-reportReserve), errors.New("the time is up"))
	defer cancel()
	watched := make(chan struct{})
	life, over := context.WithCancel(context.Background())
	go func() {
		defer close(watched)
		r.monitor.run(life, uint64(maxMemoryShare*float64(r.report.Machine.Memory)), stop)
	}()
	failed := r.measurePoints(ctx)
	r.monitor.sample()
	over()
	<-watched
	r.report.Ended = "whole"
	err := context.Cause(ctx)
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d %w", failed, errPointsFailed)
	}
	if err != nil {
		r.report.Ended = "partial: " + err.Error()
	}
	r.report.Fits = fits(r.report.Points)
	r.report.Used = ResourceUsage{r.monitor.peakMemory, r.monitor.peakProcesses, cpuTime(wholeProcess).Seconds(), time.Since(began).Seconds()}
	return r.report, err
}

func (r *Run) measurePoints(ctx context.Context) (failed int) {
	jobs := r.jobs()
	for i, j := range jobs {
		p := j.point
		r.report.Points = append(r.report.Points, &p)
		switch {
		case ctx.Err() != nil:
			p.Skipped = context.Cause(ctx).Error()
			continue
		case time.Until(r.deadline)-reportReserve < j.duration:
			p.Skipped = "no time is left for it"
			r.logProgress("[%d/%d] %s %s: %s", i+1, len(jobs), p.Sweep, p.Label, p.Skipped)
			continue
		}
		r.logProgress("[%d/%d] %s %s", i+1, len(jobs), p.Sweep, p.Label)
		began := time.Now()
		err := j.measure(ctx, &p)
		p.Seconds = time.Since(began).Seconds()
		if err != nil && ctx.Err() != nil {
			p.Notes = append(p.Notes, "cut short: "+context.Cause(ctx).Error())
			p.Against = ""
		} else if err != nil {
			failed++
			p.Skipped = "failed: " + err.Error()
			r.logProgress("  %s", p.Skipped)
		}
		for _, n := range p.Notes {
			r.logProgress("  %s", n)
		}
	}
	return failed
}

func (r *Run) logProgress(form string, args ...any) {
	fmt.Fprintf(r.progress, form+"\n", args...) // progress that can't be shown stops nothing
}

// scaled is how long a point may take: less in a quick run.
func (r *Run) scaled(d time.Duration) time.Duration {
	if r.Quick {
		return d / 4
	}
	return d
}

// jobs are all points, in the order of the sweeps.
func (r *Run) jobs() []job {
	sweeps := map[string]func() []job{"backends": r.backendJobs, "ingresses": r.ingressJobs,
		"tenants": r.tenantJobs, "changes": r.changeJobs, "zone": r.zoneJobs, "compare": r.compareJobs}
	var list []job
	for _, name := range Sweeps() {
		if slices.Contains(r.Sweep, name) {
			list = append(list, sweeps[name]()...)
		}
	}
	return list
}
