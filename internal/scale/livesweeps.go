package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemontack/internal/standin"
)

const (
	settleDuration       = 2 * time.Second // until windows, blocks and connections have found their size
	loadDuration         = 5 * time.Second
	idleDuration         = 2500 * time.Millisecond
	changeDuration       = 4 * time.Second
	lastChangeWait       = time.Second            // for the last of the changes
	singleChanges        = 10                     // made one by one
	changeInterval       = 200 * time.Millisecond // between them
	maxMedianLateness    = 5 * time.Millisecond   // of half of the arrivals: beyond, the machine is too small for the fleet
	maxP99Lateness       = 20 * time.Millisecond  // of 1 arrival in 100: the times measured then tell of the machine too
	maxSkippedShare      = 0.01                   // of the arrivals that are left out as too late: the same
	maxCPUShare          = 0.6                    // of the machine's processor time that the ingresses take: the same
	changeRateFleet      = 100                    // ingresses, while changes come faster
	maxSingleChangeFleet = 300                    // the largest fleet that is asked about, or has to ask for, single changes
	zoneSweepIngresses   = 60
	backendsPerZone      = 40 // in each of the zones
)

func (r *Run) ingressJobs() []job {
	var list []job
	for _, n := range r.Ingresses {
		list = append(list, job{Point{Sweep: "ingresses", Label: formatNumber(float64(n)), Against: "ingresses", Size: float64(n)},
			20 * time.Second, func(ctx context.Context, p *Point) error { return r.measureIngresses(ctx, p, n) }})
	}
	return list
}

// measureIngresses measures a live fleet of hollow ingresses, idle, under load and while the list changes.
func (r *Run) measureIngresses(ctx context.Context, p *Point, n int) error {
	if r.saturated {
		p.Against = ""
		p.addNote("left out: the machine does not bear the fleet before it")
		return nil
	}
	shape := FleetShape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate}
	f, err := startLiveFleet(ctx, r.monitor, shape, NewBackendModel(liveBackends, r.LiveRate*float64(n), meanServiceTime, false), r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	idle, err := f.measure(ctx, func() error { return sleep(ctx, r.scaled(idleDuration)) })
	if err != nil {
		return err
	}
	if err := f.setRate(ctx, r.LiveRate); err != nil {
		return err
	}
	if err := sleep(ctx, r.scaled(settleDuration)); err != nil {
		return err
	}
	f.recorder.drain()
	load, err := f.measure(ctx, func() error { return sleep(ctx, r.scaled(loadDuration)) })
	if err != nil {
		return err
	}
	times := f.recorder.drain()
	p.add(roleIngress, "state, with list and tenants", "KB", f.memoryPerIngress()/(1<<10), 1)
	if err := f.setRate(ctx, 0); err != nil {
		return err
	}
	addIdleFigures(p, idle, n)
	addLoadFigures(p, load, n)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, times[metricArrival], 50)
	p.addHistogram(roleIngress, "added, no socket (p99)", "ms", time.Millisecond, times[metricAddedLatency], 99)
	if err := f.addStateFigures(p); err != nil {
		return err
	}
	r.checkSaturation(p, load, times[metricLateness], n)
	return r.addChangeFigures(ctx, p, f, changeInterval, singleChanges)
}

// checkSaturation ends the sweep at a fleet that is too large for the machine. Single late arrivals tell of other programs.
func (r *Run) checkSaturation(p *Point, load usage, late *hdrhistogram.Histogram, n int) {
	share := load.cpuTime.Seconds() / load.seconds / float64(r.report.Machine.Cores)
	p.addUnfitted(roleRun, "ingresses, of the machine's cores", "%", 100*share)
	p.addUnfitted(roleRun, "lateness (p50)", "ms", float64(late.ValueAtQuantile(50))/1e6)
	p.addUnfitted(roleRun, "lateness (p99)", "ms", float64(late.ValueAtQuantile(99))/1e6)
	half := time.Duration(late.ValueAtQuantile(50)).Round(time.Millisecond / 10)
	skipped := float64(load.tally.Skipped) / max(1, float64(load.tally.Skipped+load.tally.Requests))
	p.addUnfitted(roleRun, "arrivals left out", "%", 100*skipped)
	if last := time.Duration(late.ValueAtQuantile(99)).Round(time.Millisecond); last > maxP99Lateness {
		p.addNote("the machine was busy: 1 in 100 arrivals was handled over %v late, which shows in the time added and, since"+
			" the counter's answers come late as well, in the calls", last)
	}
	if half <= maxMedianLateness && share <= maxCPUShare && skipped <= maxSkippedShare {
		return
	}
	r.saturated = true
	p.Against = ""
	p.addNote("the machine does not bear %d ingresses: half of the arrivals are handled over %v late, %.1f%% are left out,"+
		" %.0f%% of its cores are taken; not in the slopes", n, half, 100*skipped, 100*share)
}

// addIdleFigures are those of an ingress without requests.
func addIdleFigures(p *Point, s usage, n int) {
	each := s.seconds * float64(n)
	p.add(roleIngress, "idle second", "ms", s.cpuTime.Seconds()*1000/each, s.tally.TimerEvents)
	p.add(roleDiscovery, "idle second", "ms", s.discoveryCPUTime.Seconds()*1000/s.seconds, 1)
	p.add(roleDiscovery, "idle: bytes a second", "bytes", s.discoveryBytes/s.seconds, 1)
	p.add(roleCounter, "idle second", "ms", s.counterCPUTime.Seconds()*1000/s.seconds, 1)
}

// addLoadFigures are those of requests in a live fleet.
func addLoadFigures(p *Point, s usage, n int) {
	requests := max(1, float64(s.tally.Requests))
	each := s.seconds * float64(n)
	p.add(roleIngress, "request, all of the hollow ingress", "µs", s.cpuTime.Seconds()*1e6/requests, s.tally.Requests)
	p.addUnfitted(roleIngress, "requests a second, each", "", requests/each)
	p.add(roleIngress, figureCounterCalls, "", float64(s.tally.CounterCalls)/requests, s.tally.Requests)
	p.add(roleIngress, "counter bytes a second, each", "bytes", (s.counterIn+s.counterOut)/each, uint64(s.counterCalls))
	p.addUnfitted(roleIngress, "attempts for a request", "", float64(s.tally.Attempts)/requests)
	p.addUnfitted(roleIngress, "refused", "%", 100*float64(s.tally.Rejected)/requests)
	p.addUnfitted(roleIngress, "not answered", "", float64(s.tally.Unanswered))
	p.add(roleCounter, "calls a second", "", s.counterCalls/s.seconds, uint64(s.counterCalls))
	p.add(roleCounter, "bytes a second", "KB", (s.counterIn+s.counterOut)/s.seconds/(1<<10), uint64(s.counterCalls))
	p.add(roleCounter, "busy, of a core", "%", 100*s.counterCPUTime.Seconds()/s.seconds, uint64(s.counterCalls))
	p.addUnfitted(roleCounter, "a call", "µs", s.counterCPUTime.Seconds()*1e6/max(1, s.counterCalls))
}

// addStateFigures are those of the stand-ins.
func (f *liveFleet) addStateFigures(p *Point) error {
	for name, r := range map[string]*standInProcess{roleDiscovery: f.discovery, roleCounter: f.counter} {
		report, err := r.call(standInCommand{Do: "heap"})
		if err != nil {
			return err
		}
		p.add(name, "state", "MB", float64(report.Heap)/(1<<20), 1)
		if name == roleCounter {
			p.add(name, "names", "", float64(report.Counter.Names), 1)
		}
	}
	return nil
}

// addChangeFigures makes changes so far apart and waits until they are in force.
func (r *Run) addChangeFigures(ctx context.Context, p *Point, f *liveFleet, space time.Duration, n int) error {
	var made []appliedRevision
	late := 0
	s, err := f.measure(ctx, func() error {
		began := time.Now()
		for i := range n {
			due := began.Add(time.Duration(i) * space)
			if err := sleep(ctx, time.Until(due)); err != nil {
				return err
			}
			if time.Since(due) > space {
				late++
			}
			c, err := f.applyChange(f.backends.toggleDraining(i))
			if err != nil {
				return err
			}
			made = append(made, c)
		}
		return sleep(ctx, lastChangeWait)
	})
	if err != nil {
		return err
	}
	each, last, missing, err := f.propagation(ctx, made)
	if err != nil {
		return err
	}
	changes, ingresses := float64(len(made)), float64(len(f.hollows))
	p.addHistogram(roleIngress, "change in force, each (p50)", "ms", time.Millisecond, each, 50)
	p.addHistogram(roleIngress, "change in force everywhere (p50)", "ms", time.Millisecond, last, 50)
	p.addUnfitted(roleIngress, "change in force everywhere (worst)", "ms", float64(last.Max())/1e6)
	p.addUnfitted(roleIngress, "changes missed", "", float64(missing))
	p.add(roleDiscovery, "a change: bytes", "bytes", s.discoveryBytes/changes, uint64(n))
	p.add(roleDiscovery, "a change: messages", "", s.discoveryMessages/changes, uint64(n))
	p.add(roleDiscovery, "while changing: bytes a second", "KB", s.discoveryBytes/s.seconds/(1<<10), uint64(n))
	p.add(roleDiscovery, "while changing: of a core", "%", 100*s.discoveryCPUTime.Seconds()/s.seconds, uint64(n))
	busy := s.cpuTime.Seconds() * 1000 / s.seconds / ingresses
	p.add(roleIngress, "while changing: processor a second, each", "ms", busy, uint64(n))
	if late > 0 {
		p.addNote("%d of %d changes were made later than meant", late, n)
	}
	return nil
}

// changeJobs is, for lists that are pushed and such that are asked for, changes one by one by the size of the fleet,
// then more and more changes a second.
func (r *Run) changeJobs() []job {
	var list []job
	for _, asked := range []bool{false, true} {
		how := "pushed"
		if asked {
			how = "asked"
		}
		for _, n := range r.Ingresses {
			if n <= maxSingleChangeFleet && asked { // those that are pushed are part of the sweep of ingresses
				list = append(list, r.changeJob("single changes, "+how, "ingresses", float64(n), n, asked, changeInterval))
			}
		}
		for _, rate := range r.Changes {
			n := min(changeRateFleet, r.Ingresses[len(r.Ingresses)-1])
			list = append(list, r.changeJob(fmt.Sprintf("changes a second, %s, %d ingresses", how, n), "changes a second",
				rate, n, asked, time.Duration(float64(time.Second)/rate)))
		}
	}
	return list
}

func (r *Run) changeJob(sweep, against string, size float64, n int, asked bool, space time.Duration) job {
	return job{Point{Sweep: sweep, Label: formatNumber(size), Against: against, Size: size}, 15 * time.Second,
		func(ctx context.Context, p *Point) error {
			shape := FleetShape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate, Polled: asked}
			back := NewBackendModel(liveBackends, r.LiveRate*float64(n), meanServiceTime, false)
			f, err := startLiveFleet(ctx, r.monitor, shape, back, r.Seed)
			if err != nil {
				return err
			}
			defer f.stop()
			return r.addChangeFigures(ctx, p, f, space, max(3, int(r.scaled(changeDuration)/space)))
		}}
}

func (r *Run) zoneJobs() []job {
	n := min(zoneSweepIngresses, r.Ingresses[len(r.Ingresses)-1])
	point := Point{Sweep: fmt.Sprintf("a zone of %d lost and back, %d ingresses, %d backends", zones, n, zones*backendsPerZone),
		Label: "before, lost, back"}
	return []job{{point, 25 * time.Second, func(ctx context.Context, p *Point) error { return r.measureZoneLoss(ctx, p, n) }}}
}

// measureZoneLoss takes a zone away under load and brings it back cold.
func (r *Run) measureZoneLoss(ctx context.Context, p *Point, n int) error {
	load := r.LiveRate * float64(n)
	back := NewBackendModel(zones*backendsPerZone, load, meanServiceTime, false)
	f, err := startLiveFleet(ctx, r.monitor, FleetShape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate}, back, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.setRate(ctx, r.LiveRate); err != nil {
		return err
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return err
	}
	if _, err := r.measureZonePhase(ctx, p, f, "before", loadDuration, nil); err != nil {
		return err
	}
	lost, err := r.measureZonePhase(ctx, p, f, "lost", loadDuration, func() []standin.Target { return back.setLastZoneRemoved(true) })
	if err != nil {
		return err
	}
	restored, err := r.measureZonePhase(ctx, p, f, "back", slowStartWindow, func() []standin.Target { return back.setLastZoneRemoved(false) })
	if err != nil {
		return err
	}
	for i, c := range []appliedRevision{lost, restored} {
		each, last, missing, err := f.propagation(ctx, []appliedRevision{c})
		if err != nil {
			return err
		}
		what := []string{"lost", "back"}[i]
		p.addHistogram(roleIngress, what+": in force, each (p50)", "ms", time.Millisecond, each, 50)
		p.addHistogram(roleIngress, what+": in force everywhere", "ms", time.Millisecond, last, 100)
		p.addUnfitted(roleIngress, what+": missed", "", float64(missing))
	}
	most, budget := back.maxColdAttempts()
	p.addUnfitted(roleIngress, fmt.Sprintf("back: most attempts at one cold backend within %v", slowStartSpan), "", float64(most))
	p.addUnfitted(roleIngress, "back: what such a one bears when it starts", "", budget)
	return nil
}

// setLastZoneRemoved takes the last zone away or brings it back cold, and returns what discovery tells of it.
func (b *BackendModel) setLastZoneRemoved(lost bool) []standin.Target {
	var list []standin.Target
	for i := zones - 1; i < len(b.backends); i += zones {
		m, state := &b.backends[i], "DELETED"
		if !lost {
			state = "SERVING"
			m.startedAt.Store(time.Now().Truncate(time.Millisecond).UnixNano())
		}
		m.removed.Store(lost)
		list = append(list, b.target(i, state))
	}
	return list
}

// maxColdAttempts is the most attempts that a cold backend got within the fall span, and what it bears at its start.
func (b *BackendModel) maxColdAttempts() (int, float64) {
	most := 0
	for i := range b.backends {
		m := &b.backends[i]
		m.mu.Lock()
		most = max(most, maxWithinWindow(m.coldAttempts, slowStartSpan))
		m.mu.Unlock()
	}
	return most, b.coldAttemptLimit(meanServiceTime)
}

// measureZonePhase makes a change, measures for a while, and says how the load lay on the backends that were there.
func (r *Run) measureZonePhase(ctx context.Context, p *Point, f *liveFleet, name string, d time.Duration,
	change func() []standin.Target) (appliedRevision, error) {
	before := f.backends.attemptCounts()
	f.recorder.drain()
	var made appliedRevision
	s, err := f.measure(ctx, func() error {
		if change != nil {
			var err error
			if made, err = f.applyChange(change()...); err != nil {
				return err
			}
		}
		return sleep(ctx, d)
	})
	if err != nil {
		return made, err
	}
	busiest, sum, n := 0.0, 0.0, 0.0
	for i, sent := range f.backends.attemptCounts() {
		if f.backends.backends[i].removed.Load() {
			continue
		}
		rate := float64(sent-before[i]) / s.seconds
		busiest, sum, n = max(busiest, rate), sum+rate, n+1
	}
	requests := max(1, float64(s.tally.Requests))
	p.addUnfitted("backends", name+": attempts a second, mean", "", sum/max(1, n))
	p.addUnfitted("backends", name+": attempts a second, busiest", "", busiest)
	p.addUnfitted(roleIngress, name+": served", "%", 100*float64(s.tally.Served)/requests)
	p.addUnfitted(roleIngress, name+": refused", "%", 100*float64(s.tally.Rejected)/requests)
	p.addUnfitted(roleIngress, name+": failed or not answered", "%", 100*float64(s.tally.Failed+s.tally.Unanswered)/requests)
	p.addHistogram(roleIngress, name+": added, no socket (p99)", "ms", time.Millisecond, f.recorder.drain()[metricAddedLatency], 99)
	p.addUnfitted(roleDiscovery, name+": messages", "", s.discoveryMessages)
	p.addUnfitted(roleDiscovery, name+": bytes", "KB", s.discoveryBytes/(1<<10))
	p.addUnfitted(roleIngress, name+": processor a second, each", "ms", s.cpuTime.Seconds()*1000/s.seconds/float64(len(f.hollows)))
	p.addUnfitted(roleCounter, name+": calls a second", "", s.counterCalls/s.seconds)
	return made, nil
}

func (b *BackendModel) attemptCounts() []uint64 {
	list := make([]uint64, len(b.backends))
	for i := range b.backends {
		list[i] = b.backends[i].attempts.Load()
	}
	return list
}
