package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	settleDuration = 2 * time.Second // time for windows, leases and connections to reach a steady state
	loadDuration   = 5 * time.Second
	idleDuration   = 2500 * time.Millisecond

	singleChangeCount        = 10                     // endpoint changes made one by one
	changeInterval           = 200 * time.Millisecond // interval of single changes
	changeRateDuration       = 4 * time.Second        // duration of a point with a rate of changes
	lastChangeWait           = time.Second            // time for the last changes to reach all ingresses
	changeRateIngresses      = 100                    // ingresses in points with a rate of changes
	maxSingleChangeIngresses = 300                    // size of the largest fleet in points with single changes of polled lists
)

// Beyond these limits a fleet is too large for the machine, and its figures would show the machine's overload instead.
const (
	maxMedianLateness = 5 * time.Millisecond // lateness of arrivals
	maxSkippedShare   = 0.01                 // share of arrivals
	maxCPUShare       = 0.6                  // share of the machine's CPU time that the ingresses use

	// Beyond maxP99Lateness a point only gets a note, since other programs on the machine can delay single arrivals.
	maxP99Lateness = 20 * time.Millisecond
)

func (r *Run) ingressJobs() []job {
	return jobsBySize("ingresses", "ingresses", r.IngressCounts, 20*time.Second, r.measureIngresses)
}

// measureIngresses measures a live fleet of n hollow ingresses: idle, under load and while endpoints change.
func (r *Run) measureIngresses(ctx context.Context, p *Point, n int) error {
	if r.machineSaturated {
		p.SizeUnit = ""
		p.addNote("not measured: the machine was too small for an earlier fleet")
		return nil
	}
	shape := fleetShape{Ingresses: n, TenantsPerIngress: defaultTenantCount, RequestRate: r.LiveRequestRate}
	backends := newBackendModel(defaultBackendCount, r.LiveRequestRate*float64(n), meanServiceTime, false)
	f, err := startLiveFleet(ctx, r.monitor, shape, backends, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	measured, err := f.measureIdleAndLoad(ctx, r.LiveRequestRate, r.scaleForQuickRun(idleDuration),
		r.scaleForQuickRun(settleDuration), r.scaleForQuickRun(loadDuration))
	if err != nil {
		return err
	}
	p.addFigure(roleIngress, "state, with list and tenants", "KB", toKB(f.memoryPerIngress()), 1)
	if err := f.setRate(ctx, 0); err != nil {
		return err
	}
	addIdleFigures(p, measured.idle, n)
	addLoadFigures(p, measured.load, n)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, measured.times[metricArrival], 50)
	p.addHistogram(roleIngress, figureAddedLatency, "ms", time.Millisecond, measured.times[metricAddedLatency], 99)
	if err := f.addStateFigures(p); err != nil {
		return err
	}
	r.checkSaturation(p, measured.load, measured.times[metricLateness], n)
	return r.addChangeFigures(ctx, p, f, changeInterval, singleChangeCount)
}

// checkSaturation adds the load of the machine, and ends the sweep if a fleet of n ingresses is too large for it.
func (r *Run) checkSaturation(p *Point, load fleetUsage, lateness *hdrhistogram.Histogram, n int) {
	cpuShare := load.cpuTime.Seconds() / load.seconds / float64(r.report.Machine.Cores)
	p.addFigureWithoutFit(roleRun, "ingresses, of the machine's cores", "%", 100*cpuShare)
	p.addFigureWithoutFit(roleRun, "lateness (p50)", "ms", quantileMS(lateness, 50))
	p.addFigureWithoutFit(roleRun, "lateness (p99)", "ms", quantileMS(lateness, 99))
	skippedShare := float64(load.tally.SkippedArrivals) / max(1, float64(load.tally.SkippedArrivals+load.tally.Requests))
	p.addFigureWithoutFit(roleRun, "arrivals left out", "%", 100*skippedShare)
	if p99 := time.Duration(lateness.ValueAtQuantile(99)).Round(time.Millisecond); p99 > maxP99Lateness {
		p.addNote("the machine was busy: 1 in 100 arrivals was handled more than %v late, which affects the added latency and,"+
			" because counter replies are late as well, the counter calls", p99)
	}
	median := time.Duration(lateness.ValueAtQuantile(50)).Round(time.Millisecond / 10)
	if median <= maxMedianLateness && cpuShare <= maxCPUShare && skippedShare <= maxSkippedShare {
		return
	}
	r.machineSaturated = true
	p.SizeUnit = ""
	p.addNote("the machine is too small for %d ingresses: half of the arrivals are handled more than %v late, %.1f%% are"+
		" skipped, %.0f%% of its cores are in use; not in the fits", n, median, 100*skippedShare, 100*cpuShare)
}

// addIdleFigures adds the figures of n ingresses without requests.
func addIdleFigures(p *Point, usage fleetUsage, n int) {
	ingressSeconds := usage.seconds * float64(n)
	p.addFigure(roleIngress, "idle second", "ms", usage.cpuTime.Seconds()*1000/ingressSeconds, usage.tally.TimerEvents)
	p.addFigure(roleDiscovery, "idle second", "ms", usage.discoveryCPUTime.Seconds()*1000/usage.seconds, 1)
	p.addFigure(roleDiscovery, "idle: bytes a second", "bytes", usage.discoveryBytes/usage.seconds, 1)
	p.addFigure(roleCounter, "idle second", "ms", usage.counterCPUTime.Seconds()*1000/usage.seconds, 1)
}

// addLoadFigures adds the figures of the requests at n ingresses.
func addLoadFigures(p *Point, usage fleetUsage, n int) {
	requests := max(1, float64(usage.tally.Requests))
	ingressSeconds := usage.seconds * float64(n)
	calls := uint64(usage.counterCalls)
	cpuMicroseconds := usage.cpuTime.Seconds() * 1e6
	p.addFigure(roleIngress, "request, all of the hollow ingress", "µs", cpuMicroseconds/requests, usage.tally.Requests)
	p.addFigureWithoutFit(roleIngress, "requests a second, each", "", requests/ingressSeconds)
	p.addFigure(roleIngress, figureCounterCalls, "", float64(usage.tally.CounterCalls)/requests, usage.tally.Requests)
	p.addFigure(roleIngress, "counter bytes a second, each", "bytes", usage.counterBytes/ingressSeconds, calls)
	p.addFigureWithoutFit(roleIngress, figureAttempts, "", float64(usage.tally.Attempts)/requests)
	p.addFigureWithoutFit(roleIngress, "refused", "%", 100*float64(usage.tally.Rejected)/requests)
	p.addFigureWithoutFit(roleIngress, "not answered", "", float64(usage.tally.Unanswered))
	p.addFigure(roleCounter, "calls a second", "", usage.counterCalls/usage.seconds, calls)
	p.addFigure(roleCounter, "bytes a second", "KB", toKB(usage.counterBytes/usage.seconds), calls)
	p.addFigure(roleCounter, "busy, of a core", "%", 100*usage.counterCPUTime.Seconds()/usage.seconds, calls)
	p.addFigureWithoutFit(roleCounter, "a call", "µs", usage.counterCPUTime.Seconds()*1e6/max(1, usage.counterCalls))
}

// addStateFigures adds the memory of the stand-ins.
func (f *liveFleet) addStateFigures(p *Point) error {
	discovery, err := f.discovery.call(standInCommand{Action: actionReportMemory})
	if err != nil {
		return err
	}
	counter, err := f.counter.call(standInCommand{Action: actionReportMemory})
	if err != nil {
		return err
	}
	p.addFigure(roleDiscovery, "state", "MB", toMB(float64(discovery.Memory)), 1)
	p.addFigure(roleCounter, "state", "MB", toMB(float64(counter.Memory)), 1)
	p.addFigure(roleCounter, "names", "", float64(counter.Counter.Names), 1)
	return nil
}

// addChangeFigures makes n changes at an interval, and adds the figures of their propagation and cost.
func (r *Run) addChangeFigures(ctx context.Context, p *Point, f *liveFleet, interval time.Duration, n int) error {
	var changes []appliedRevision
	lateChanges := 0
	usage, err := f.measure(ctx, func() (err error) {
		changes, lateChanges, err = f.applyChanges(ctx, interval, n)
		return err
	})
	if err != nil {
		return err
	}
	delays, err := f.measurePropagation(ctx, changes)
	if err != nil {
		return err
	}
	count, ingresses := float64(len(changes)), float64(len(f.ingresses))
	p.addHistogram(roleIngress, "change in force, each (p50)", "ms", time.Millisecond, delays.perIngress, 50)
	p.addHistogram(roleIngress, "change in force everywhere (p50)", "ms", time.Millisecond, delays.fleetWide, 50)
	p.addFigureWithoutFit(roleIngress, "change in force everywhere (worst)", "ms", float64(delays.fleetWide.Max())/1e6)
	p.addFigureWithoutFit(roleIngress, "changes missed", "", float64(delays.missingPairs))
	p.addFigure(roleDiscovery, "a change: bytes", "bytes", usage.discoveryBytes/count, uint64(n))
	p.addFigure(roleDiscovery, "a change: messages", "", usage.discoveryMessages/count, uint64(n))
	p.addFigure(roleDiscovery, "while changing: bytes a second", "KB", toKB(usage.discoveryBytes/usage.seconds), uint64(n))
	p.addFigure(roleDiscovery, "while changing: of a core", "%", 100*usage.discoveryCPUTime.Seconds()/usage.seconds, uint64(n))
	ingressMS := usage.cpuTime.Seconds() * 1000 / usage.seconds / ingresses
	p.addFigure(roleIngress, "while changing: processor a second, each", "ms", ingressMS, uint64(n))
	if lateChanges > 0 {
		p.addNote("%d of %d changes were made later than scheduled", lateChanges, n)
	}
	return nil
}

// applyChanges makes n changes at an interval, and then waits for the last ones to reach all ingresses. lateChanges is
// the number of changes that were made more than an interval late.
func (f *liveFleet) applyChanges(ctx context.Context, interval time.Duration, n int) (changes []appliedRevision,
	lateChanges int, err error) {
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * interval)
		if err := sleep(ctx, time.Until(due)); err != nil {
			return changes, lateChanges, err
		}
		if time.Since(due) > interval {
			lateChanges++
		}
		change, err := f.applyChange(f.backends.drainingChange(i))
		if err != nil {
			return changes, lateChanges, err
		}
		changes = append(changes, change)
	}
	return changes, lateChanges, sleep(ctx, lastChangeWait)
}

// changeJobs returns, for pushed and then for polled lists, a point of each rate of changes. For polled lists, points of
// single changes by the size of the fleet come first.
func (r *Run) changeJobs() []job {
	var jobs []job
	for _, polled := range []bool{false, true} {
		deliveryMode := "pushed"
		if polled {
			deliveryMode = "asked"
		}
		for _, n := range r.IngressCounts {
			if n <= maxSingleChangeIngresses && polled { // the sweep of ingresses measures those of pushed lists
				jobs = append(jobs, r.changeJob("single changes, "+deliveryMode, "ingresses", float64(n), n, polled,
					changeInterval))
			}
		}
		for _, rate := range r.ChangeRates {
			n := min(changeRateIngresses, r.IngressCounts[len(r.IngressCounts)-1])
			sweep := fmt.Sprintf("changes a second, %s, %d ingresses", deliveryMode, n)
			interval := time.Duration(float64(time.Second) / rate)
			jobs = append(jobs, r.changeJob(sweep, "changes a second", rate, n, polled, interval))
		}
	}
	return jobs
}

// changeJob returns a point of a number of ingresses with changes at an interval.
func (r *Run) changeJob(sweep, sizeUnit string, size float64, ingresses int, polled bool, interval time.Duration) job {
	measure := func(ctx context.Context, p *Point) error {
		shape := fleetShape{Ingresses: ingresses, TenantsPerIngress: defaultTenantCount, RequestRate: r.LiveRequestRate,
			PollsEndpoints: polled}
		backends := newBackendModel(defaultBackendCount, r.LiveRequestRate*float64(ingresses), meanServiceTime, false)
		f, err := startLiveFleet(ctx, r.monitor, shape, backends, r.Seed)
		if err != nil {
			return err
		}
		defer f.stop()
		return r.addChangeFigures(ctx, p, f, interval, max(3, int(r.scaleForQuickRun(changeRateDuration)/interval)))
	}
	return job{
		point:    Point{Sweep: sweep, Label: formatNumber(size), SizeUnit: sizeUnit, Size: size},
		duration: 15 * time.Second,
		measure:  measure,
	}
}
