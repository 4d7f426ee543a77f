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
	defaultTenantCount = 300 // tenants of each ingress, except in the sweep of tenants
	// defaultBackendCount is the number of backends in the sweeps of ingresses, tenants and changes and in the comparison.
	// It is the same in all of them, since it affects the cost of a request.
	defaultBackendCount = 200
	meanServiceTime     = 20 * time.Millisecond // mean time that a backend takes for a request
	reportReserve       = 5 * time.Second       // part of the time limit that is kept for the report
	quickDivisor        = 4                     // a quick run divides the time of each point by this
)

var (
	errTimeLimitReached = errors.New("time limit reached")
	errPointsFailed     = errors.New("points failed")
)

// Run is one run of the sweeps. The goroutine that calls Measure owns it.
type Run struct {
	Options
	progress         io.Writer
	monitor          *resourceMonitor
	report           *Report
	deadline         time.Time
	machineSaturated bool // whether a fleet of the sweep of ingresses was too large; later ones are then skipped
}

// job is a point of a sweep that has not been measured yet.
type job struct {
	point    Point         // point without figures
	duration time.Duration // estimated time of the measurement
	measure  func(context.Context, *Point) error
}

// jobsBySize returns one job for each size of a sweep.
func jobsBySize(sweep, sizeUnit string, sizes []int, duration time.Duration,
	measure func(context.Context, *Point, int) error) []job {
	var jobs []job
	for _, size := range sizes {
		label := formatNumber(float64(size))
		jobs = append(jobs, job{
			point:    Point{Sweep: sweep, Label: label, SizeUnit: sizeUnit, Size: float64(size)},
			duration: duration,
			measure:  func(ctx context.Context, p *Point) error { return measure(ctx, p, size) },
		})
	}
	return jobs
}

// NewRun checks the options and returns a run, which Measure starts. The run writes a line to progress for each point,
// failure and note.
func NewRun(o Options, progress io.Writer) (*Run, error) {
	if o.Quick {
		o = o.withQuickSizes()
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	machine, err := describeMachine()
	if err != nil {
		return nil, err
	}
	if err := checkResources(o, machine); err != nil {
		return nil, err
	}
	return &Run{
		Options:  o,
		progress: progress,
		monitor:  newResourceMonitor(),
		report: &Report{
			Format:  reportFormat,
			Date:    time.Now().UTC(),
			Seed:    o.Seed,
			Commit:  sourceRevision(),
			Options: o,
			Machine: machine,
			Notes:   reportNotes(),
		},
	}, nil
}

// sourceRevision returns the commit of the code, from the build information or from the working directory; empty if
// neither has it.
func sourceRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return setting.Value
			}
		}
	}
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil { // no repository, or no git
		return ""
	}
	return strings.TrimSpace(string(out))
}

// Measure measures all points, one after another. The report holds all points measured so far even if the run ends
// early; the error then gives the reason in one line.
func (r *Run) Measure(ctx context.Context) (*Report, error) {
	start := time.Now()
	r.deadline = start.Add(time.Duration(r.TimeLimitMinutes * float64(time.Minute)))
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline.Add(-reportReserve), errTimeLimitReached)
	defer cancel()
	stopMonitor := r.startMonitor(stop)
	failed := r.measurePoints(ctx)
	r.monitor.sample()
	stopMonitor()
	r.report.Status = "whole"
	err := context.Cause(ctx)
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d %w", failed, errPointsFailed)
	}
	if err != nil {
		r.report.Status = "partial: " + err.Error()
	}
	r.report.Fits = fitFigures(r.report.Points)
	r.report.Usage = ResourceUsage{
		PeakMemoryBytes: r.monitor.peakMemory,
		PeakProcesses:   r.monitor.peakProcesses,
		CPUSeconds:      cpuTime(currentProcess).Seconds(),
		WallSeconds:     time.Since(start).Seconds(),
	}
	return r.report, err
}

// startMonitor starts the goroutine of the resource monitor, and returns a function that stops it and waits for it.
func (r *Run) startMonitor(stopRun func(error)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background()) // not the run's context, since child processes exit after its end
	ended := make(chan struct{})
	go func() { // stop ends it and waits for it
		defer close(ended)
		r.monitor.run(ctx, uint64(maxMemoryShare*float64(r.report.Machine.MemoryBytes)), stopRun)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// measurePoints measures all points and returns how many failed for a reason other than the end of the run.
func (r *Run) measurePoints(ctx context.Context) (failed int) {
	jobs := r.jobs()
	for i, j := range jobs {
		p := j.point
		r.report.Points = append(r.report.Points, &p)
		if ctx.Err() != nil {
			p.SkipReason = context.Cause(ctx).Error()
			continue
		}
		if time.Until(r.deadline)-reportReserve < j.duration {
			p.SkipReason = "no time left for this point"
			r.logProgress("[%d/%d] %s %s: %s", i+1, len(jobs), p.Sweep, p.Label, p.SkipReason)
			continue
		}
		r.logProgress("[%d/%d] %s %s", i+1, len(jobs), p.Sweep, p.Label)
		if !r.measurePoint(ctx, j, &p) {
			failed++
		}
	}
	return failed
}

// measurePoint measures one point. It returns false if the measurement failed before the run's context ended.
func (r *Run) measurePoint(ctx context.Context, j job, p *Point) bool {
	start := time.Now()
	err := j.measure(ctx, p)
	p.Seconds = time.Since(start).Seconds()
	failed := err != nil && ctx.Err() == nil
	switch {
	case failed:
		p.SkipReason = "failed: " + err.Error()
		r.logProgress("  %s", p.SkipReason)
	case err != nil:
		p.addNote("cut short: %s", context.Cause(ctx))
		p.SizeUnit = ""
	}
	for _, note := range p.Notes {
		r.logProgress("  %s", note)
	}
	return !failed
}

// logProgress writes a line of progress. Write errors are ignored, so that they do not stop the run.
func (r *Run) logProgress(format string, args ...any) {
	fmt.Fprintf(r.progress, format+"\n", args...)
}

// scaleForQuickRun returns the duration of a part of a point in this run, given its duration in a full run.
func (r *Run) scaleForQuickRun(d time.Duration) time.Duration {
	if r.Quick {
		return d / quickDivisor
	}
	return d
}

// jobs returns all points of the requested sweeps, in the order of SweepNames.
func (r *Run) jobs() []job {
	jobsBySweep := map[string]func() []job{
		backendsSweep:  r.backendJobs,
		ingressesSweep: r.ingressJobs,
		tenantsSweep:   r.tenantJobs,
		changesSweep:   r.changeJobs,
		zoneSweep:      r.zoneJobs,
		compareSweep:   r.compareJobs,
	}
	var jobs []job
	for _, name := range SweepNames() {
		if slices.Contains(r.Sweeps, name) {
			jobs = append(jobs, jobsBySweep[name]()...)
		}
	}
	return jobs
}
