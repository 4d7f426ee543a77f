package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	settleDuration = 2 * time.Second // until windows, leases and connections have found their size
	loadDuration   = 5 * time.Second
	idleDuration   = 2500 * time.Millisecond

	singleChangeCount        = 10                     // of endpoints, one by one
	changeInterval           = 200 * time.Millisecond // between them
	changeRateDuration       = 4 * time.Second        // of a point of many changes a second
	lastChangeWait           = time.Second            // for the last changes to reach all ingresses
	changeRateIngresses      = 100                    // ingresses, while the rate of changes rises
	maxSingleChangeIngresses = 300                    // ingresses that poll their lists, while changes are made one by one
)

// Beyond these limits the machine is too small for a fleet: its figures would say more about the machine.
const (
	maxMedianLateness = 5 * time.Millisecond // of arrivals
	maxSkippedShare   = 0.01                 // of arrivals
	maxCPUShare       = 0.6                  // of the machine's processor time, for the ingresses

	// maxP99Lateness leads to a note only: single late arrivals come from other programs on the machine.
	maxP99Lateness = 20 * time.Millisecond
)

func (r *Run) ingressJobs() []job {
	return jobsBySize("ingresses", "ingresses", r.IngressCounts, 20*time.Second, r.measureIngresses)
}

// measureIngresses measures a live fleet of n hollow ingresses: idle, under load and while the list changes.
func (r *Run) measureIngresses(ctx context.Context, p *Point, n int) error {
	if r.machineSaturated {
		p.SizeUnit = ""
		p.addNote("left out: the machine does not bear the fleet before it")
		return nil
	}
	shape := fleetShape{Ingresses: n, TenantsPerIngress: liveTenants, RequestRate: r.LiveRequestRate}
	backends := newBackendModel(liveBackends, r.LiveRequestRate*float64(n), meanServiceTime, false)
	f, err := startLiveFleet(ctx, r.monitor, shape, backends, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	m, err := f.measureIdleAndLoad(ctx, r.LiveRequestRate, r.scaleForQuickRun(idleDuration), r.scaleForQuickRun(settleDuration),
		r.scaleForQuickRun(loadDuration))
	if err != nil {
		return err
	}
	p.addFigure(roleIngress, "state, with list and tenants", "KB", toKB(f.memoryPerIngress()), 1)
	if err := f.setRate(ctx, 0); err != nil {
		return err
	}
	addIdleFigures(p, m.idle, n)
	addLoadFigures(p, m.load, n)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, m.times[metricArrival], 50)
	p.addHistogram(roleIngress, figureAddedLatency, "ms", time.Millisecond, m.times[metricAddedLatency], 99)
	if err := f.addStateFigures(p); err != nil {
		return err
	}
	r.checkSaturation(p, m.load, m.times[metricLateness], n)
	return r.addChangeFigures(ctx, p, f, changeInterval, singleChangeCount)
}

// checkSaturation ends the sweep at a fleet of n ingresses that is too large for the machine.
func (r *Run) checkSaturation(p *Point, load fleetUsage, lateness *hdrhistogram.Histogram, n int) {
	cpuShare := load.cpuTime.Seconds() / load.seconds / float64(r.report.Machine.Cores)
	p.addFigureWithoutFit(roleRun, "ingresses, of the machine's cores", "%", 100*cpuShare)
	p.addFigureWithoutFit(roleRun, "lateness (p50)", "ms", quantileMS(lateness, 50))
	p.addFigureWithoutFit(roleRun, "lateness (p99)", "ms", quantileMS(lateness, 99))
	skippedShare := float64(load.tally.SkippedArrivals) / max(1, float64(load.tally.SkippedArrivals+load.tally.Requests))
	p.addFigureWithoutFit(roleRun, "arrivals left out", "%", 100*skippedShare)
	if p99 := time.Duration(lateness.ValueAtQuantile(99)).Round(time.Millisecond); p99 > maxP99Lateness {
		p.addNote("the machine was busy: 1 in 100 arrivals was handled over %v late, which shows in the time added and, since"+
			" the counter's answers come late as well, in the calls", p99)
	}
	median := time.Duration(lateness.ValueAtQuantile(50)).Round(time.Millisecond / 10)
	if median <= maxMedianLateness && cpuShare <= maxCPUShare && skippedShare <= maxSkippedShare {
		return
	}
	r.machineSaturated = true
	p.SizeUnit = ""
	p.addNote("the machine does not bear %d ingresses: half of the arrivals are handled over %v late, %.1f%% are left out,"+
		" %.0f%% of its cores are taken; not in the slopes", n, median, 100*skippedShare, 100*cpuShare)
}

// addIdleFigures adds the figures of n ingresses without requests.
func addIdleFigures(p *Point, u fleetUsage, n int) {
	ingressSeconds := u.seconds * float64(n)
	p.addFigure(roleIngress, "idle second", "ms", u.cpuTime.Seconds()*1000/ingressSeconds, u.tally.TimerEvents)
	p.addFigure(roleDiscovery, "idle second", "ms", u.discoveryCPUTime.Seconds()*1000/u.seconds, 1)
	p.addFigure(roleDiscovery, "idle: bytes a second", "bytes", u.discoveryBytes/u.seconds, 1)
	p.addFigure(roleCounter, "idle second", "ms", u.counterCPUTime.Seconds()*1000/u.seconds, 1)
}

// addLoadFigures adds the figures of the requests at n ingresses.
func addLoadFigures(p *Point, u fleetUsage, n int) {
	requests := max(1, float64(u.tally.Requests))
	ingressSeconds := u.seconds * float64(n)
	calls := uint64(u.counterCalls)
	cpuMicroseconds := u.cpuTime.Seconds() * 1e6
	p.addFigure(roleIngress, "request, all of the hollow ingress", "µs", cpuMicroseconds/requests, u.tally.Requests)
	p.addFigureWithoutFit(roleIngress, "requests a second, each", "", requests/ingressSeconds)
	p.addFigure(roleIngress, figureCounterCalls, "", float64(u.tally.CounterCalls)/requests, u.tally.Requests)
	p.addFigure(roleIngress, "counter bytes a second, each", "bytes", u.counterBytes/ingressSeconds, calls)
	p.addFigureWithoutFit(roleIngress, figureAttempts, "", float64(u.tally.Attempts)/requests)
	p.addFigureWithoutFit(roleIngress, "refused", "%", 100*float64(u.tally.Rejected)/requests)
	p.addFigureWithoutFit(roleIngress, "not answered", "", float64(u.tally.Unanswered))
	p.addFigure(roleCounter, "calls a second", "", u.counterCalls/u.seconds, calls)
	p.addFigure(roleCounter, "bytes a second", "KB", toKB(u.counterBytes/u.seconds), calls)
	p.addFigure(roleCounter, "busy, of a core", "%", 100*u.counterCPUTime.Seconds()/u.seconds, calls)
	p.addFigureWithoutFit(roleCounter, "a call", "µs", u.counterCPUTime.Seconds()*1e6/max(1, u.counterCalls))
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

// addChangeFigures makes n changes at an interval and measures how they reach the ingresses.
func (r *Run) addChangeFigures(ctx context.Context, p *Point, f *liveFleet, interval time.Duration, n int) error {
	var changes []appliedRevision
	lateChanges := 0
	u, err := f.measure(ctx, func() (err error) {
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
	p.addFigure(roleDiscovery, "a change: bytes", "bytes", u.discoveryBytes/count, uint64(n))
	p.addFigure(roleDiscovery, "a change: messages", "", u.discoveryMessages/count, uint64(n))
	p.addFigure(roleDiscovery, "while changing: bytes a second", "KB", toKB(u.discoveryBytes/u.seconds), uint64(n))
	p.addFigure(roleDiscovery, "while changing: of a core", "%", 100*u.discoveryCPUTime.Seconds()/u.seconds, uint64(n))
	ingressMS := u.cpuTime.Seconds() * 1000 / u.seconds / ingresses
	p.addFigure(roleIngress, "while changing: processor a second, each", "ms", ingressMS, uint64(n))
	if lateChanges > 0 {
		p.addNote("%d of %d changes were made later than meant", lateChanges, n)
	}
	return nil
}

// applyChanges makes n changes at an interval and waits until the last should have reached all ingresses. delayed is the
// number of changes that were made over an interval late.
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

// changeJobs are, for lists that are pushed and for lists that are polled, single changes by the size of the fleet and
// then rising rates of changes.
func (r *Run) changeJobs() []job {
	var jobs []job
	for _, polled := range []bool{false, true} {
		deliveryMode := "pushed"
		if polled {
			deliveryMode = "asked"
		}
		for _, n := range r.IngressCounts {
			if n <= maxSingleChangeIngresses && polled { // where lists are pushed, the sweep of ingresses measures these
				jobs = append(jobs, r.changeJob("single changes, "+deliveryMode, "ingresses", float64(n), n, polled, changeInterval))
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

// changeJob is a point of n ingresses with changes at an interval.
func (r *Run) changeJob(sweep, sizeUnit string, size float64, ingresses int, polled bool, interval time.Duration) job {
	measure := func(ctx context.Context, p *Point) error {
		shape := fleetShape{Ingresses: ingresses, TenantsPerIngress: liveTenants, RequestRate: r.LiveRequestRate, PollsEndpoints: polled}
		backends := newBackendModel(liveBackends, r.LiveRequestRate*float64(ingresses), meanServiceTime, false)
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
