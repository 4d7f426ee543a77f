package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemontack/internal/discovery"
)

const (
	settleTime    = 2 * time.Second // until windows, blocks and connections have found their size
	loadTime      = 5 * time.Second
	idleTime      = 2500 * time.Millisecond
	changeTime    = 4 * time.Second
	tailTime      = time.Second            // for the last of the changes
	fewChanges    = 10                     // made one by one
	changeSpace   = 200 * time.Millisecond // between them
	bornLateness  = 5 * time.Millisecond   // of half of the arrivals: beyond, the machine is too small for the fleet
	busyLateness  = 20 * time.Millisecond  // of 1 arrival in 100: the times measured then tell of the machine too
	bornSkipped   = 0.01                   // of the arrivals that are left out as too late: the same
	bornShare     = 0.6                    // of the machine's processor time that the ingresses take: the same
	changingFleet = 100                    // ingresses, while changes come faster
	changingMost  = 300                    // the largest fleet that is asked about, or has to ask for, single changes
	zoneFleet     = 60
	zoneBackends  = 40 // in each of the zones
)

func (r *Run) ingressesSweep() []job {
	var list []job
	for _, n := range r.Ingresses {
		list = append(list, job{Point{Sweep: "ingresses", Label: number(float64(n)), Against: "ingresses", Size: float64(n)},
			20 * time.Second, func(ctx context.Context, p *Point) error { return r.ingressesPoint(ctx, p, n) }})
	}
	return list
}

// ingressesPoint measures a live fleet of hollow ingresses, idle, under load and while the list changes.
func (r *Run) ingressesPoint(ctx context.Context, p *Point, n int) error {
	if r.full {
		p.Against = ""
		p.note("left out: the machine does not bear the fleet before it")
		return nil
	}
	shape := Shape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate}
	f, err := startFleet(ctx, r.watch, shape, NewBackends(liveBackends, r.LiveRate*float64(n), meanWork, false), r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	idle, err := f.during(ctx, func() error { return pause(ctx, r.shortened(idleTime)) })
	if err != nil {
		return err
	}
	if err := f.setRate(ctx, r.LiveRate); err != nil {
		return err
	}
	if err := pause(ctx, r.shortened(settleTime)); err != nil {
		return err
	}
	f.rec.take()
	load, err := f.during(ctx, func() error { return pause(ctx, r.shortened(loadTime)) })
	if err != nil {
		return err
	}
	times := f.rec.take()
	p.add(theIngress, "state, with list and tenants", "KB", f.bytesEach()/(1<<10), 1)
	if err := f.setRate(ctx, 0); err != nil {
		return err
	}
	idleFigures(p, idle, n)
	loadFigures(p, load, n)
	p.times(theIngress, "arrival handled", "µs", time.Microsecond, times[handleArrival], 50)
	p.times(theIngress, "added, no socket (p99)", "ms", time.Millisecond, times[addedLatency], 99)
	if err := f.states(p); err != nil {
		return err
	}
	r.bearing(p, load, times[lateness], n)
	return r.changeFigures(ctx, p, f, changeSpace, fewChanges)
}

// bearing ends the sweep at a fleet that is too large for the machine. Single late arrivals tell of other programs.
func (r *Run) bearing(p *Point, load span, late *hdrhistogram.Histogram, n int) {
	share := load.processor.Seconds() / load.seconds / float64(r.report.Machine.Cores)
	p.tell(theRun, "ingresses, of the machine's cores", "%", 100*share)
	p.tell(theRun, "lateness (p50)", "ms", float64(late.ValueAtQuantile(50))/1e6)
	p.tell(theRun, "lateness (p99)", "ms", float64(late.ValueAtQuantile(99))/1e6)
	half := time.Duration(late.ValueAtQuantile(50)).Round(time.Millisecond / 10)
	skipped := float64(load.tally.Skipped) / max(1, float64(load.tally.Skipped+load.tally.Requests))
	p.tell(theRun, "arrivals left out", "%", 100*skipped)
	if last := time.Duration(late.ValueAtQuantile(99)).Round(time.Millisecond); last > busyLateness {
		p.note("the machine was busy: 1 in 100 arrivals was handled over %v late, which shows in the time added and, since"+
			" the counter's answers come late as well, in the calls", last)
	}
	if half <= bornLateness && share <= bornShare && skipped <= bornSkipped {
		return
	}
	r.full = true
	p.Against = ""
	p.note("the machine does not bear %d ingresses: half of the arrivals are handled over %v late, %.1f%% are left out,"+
		" %.0f%% of its cores are taken; not in the slopes", n, half, 100*skipped, 100*share)
}

// idleFigures are those of an ingress without requests.
func idleFigures(p *Point, s span, n int) {
	each := s.seconds * float64(n)
	p.add(theIngress, "idle second", "ms", s.processor.Seconds()*1000/each, s.tally.Ticks)
	p.add(theDiscovery, "idle second", "ms", s.discoveryCPU.Seconds()*1000/s.seconds, 1)
	p.add(theDiscovery, "idle: bytes a second", "bytes", s.discoveryByte/s.seconds, 1)
	p.add(theCounter, "idle second", "ms", s.counterCPU.Seconds()*1000/s.seconds, 1)
}

// loadFigures are those of requests in a live fleet.
func loadFigures(p *Point, s span, n int) {
	requests := max(1, float64(s.tally.Requests))
	each := s.seconds * float64(n)
	p.add(theIngress, "request, all of the hollow ingress", "µs", s.processor.Seconds()*1e6/requests, s.tally.Requests)
	p.tell(theIngress, "requests a second, each", "", requests/each)
	p.add(theIngress, counterCalls, "", float64(s.tally.Calls)/requests, s.tally.Requests)
	p.add(theIngress, "counter bytes a second, each", "bytes", (s.counterIn+s.counterOut)/each, uint64(s.calls))
	p.tell(theIngress, "attempts for a request", "", float64(s.tally.Sends)/requests)
	p.tell(theIngress, "refused", "%", 100*float64(s.tally.Refused)/requests)
	p.tell(theIngress, "not answered", "", float64(s.tally.Unanswered))
	p.add(theCounter, "calls a second", "", s.calls/s.seconds, uint64(s.calls))
	p.add(theCounter, "bytes a second", "KB", (s.counterIn+s.counterOut)/s.seconds/(1<<10), uint64(s.calls))
	p.add(theCounter, "busy, of a core", "%", 100*s.counterCPU.Seconds()/s.seconds, uint64(s.calls))
	p.tell(theCounter, "a call", "µs", s.counterCPU.Seconds()*1e6/max(1, s.calls))
}

// states are those of the stand-ins.
func (f *fleet) states(p *Point) error {
	for name, r := range map[string]*role{theDiscovery: f.discovery, theCounter: f.counter} {
		report, err := r.tell(order{Do: "heap"})
		if err != nil {
			return err
		}
		p.add(name, "state", "MB", float64(report.Heap)/(1<<20), 1)
		if name == theCounter {
			p.add(name, "names", "", float64(report.Counter.Names), 1)
		}
	}
	return nil
}

// changeFigures makes changes so far apart and waits until they are in force.
func (r *Run) changeFigures(ctx context.Context, p *Point, f *fleet, space time.Duration, n int) error {
	var made []listed
	late := 0
	s, err := f.during(ctx, func() error {
		began := time.Now()
		for i := range n {
			due := began.Add(time.Duration(i) * space)
			if err := pause(ctx, time.Until(due)); err != nil {
				return err
			}
			if time.Since(due) > space {
				late++
			}
			c, err := f.change(f.back.toggled(i))
			if err != nil {
				return err
			}
			made = append(made, c)
		}
		return pause(ctx, tailTime)
	})
	if err != nil {
		return err
	}
	each, last, missing, err := f.inForce(ctx, made)
	if err != nil {
		return err
	}
	changes, ingresses := float64(len(made)), float64(len(f.hollows))
	p.times(theIngress, "change in force, each (p50)", "ms", time.Millisecond, each, 50)
	p.times(theIngress, "change in force everywhere (p50)", "ms", time.Millisecond, last, 50)
	p.tell(theIngress, "change in force everywhere (worst)", "ms", float64(last.Max())/1e6)
	p.tell(theIngress, "changes missed", "", float64(missing))
	p.add(theDiscovery, "a change: bytes", "bytes", s.discoveryByte/changes, uint64(n))
	p.add(theDiscovery, "a change: messages", "", s.objects/changes, uint64(n))
	p.add(theDiscovery, "while changing: bytes a second", "KB", s.discoveryByte/s.seconds/(1<<10), uint64(n))
	p.add(theDiscovery, "while changing: of a core", "%", 100*s.discoveryCPU.Seconds()/s.seconds, uint64(n))
	busy := s.processor.Seconds() * 1000 / s.seconds / ingresses
	p.add(theIngress, "while changing: processor a second, each", "ms", busy, uint64(n))
	if late > 0 {
		p.note("%d of %d changes were made later than meant", late, n)
	}
	return nil
}

// changesSweep is, for lists that are pushed and such that are asked for, changes one by one by the size of the fleet,
// then more and more changes a second.
func (r *Run) changesSweep() []job {
	var list []job
	for _, asked := range []bool{false, true} {
		how := "pushed"
		if asked {
			how = "asked"
		}
		for _, n := range r.Ingresses {
			if n <= changingMost && asked { // those that are pushed are part of the sweep of ingresses
				list = append(list, r.changesJob("single changes, "+how, "ingresses", float64(n), n, asked, changeSpace))
			}
		}
		for _, rate := range r.Changes {
			n := min(changingFleet, r.Ingresses[len(r.Ingresses)-1])
			list = append(list, r.changesJob(fmt.Sprintf("changes a second, %s, %d ingresses", how, n), "changes a second",
				rate, n, asked, time.Duration(float64(time.Second)/rate)))
		}
	}
	return list
}

func (r *Run) changesJob(sweep, against string, size float64, n int, asked bool, space time.Duration) job {
	return job{Point{Sweep: sweep, Label: number(size), Against: against, Size: size}, 15 * time.Second,
		func(ctx context.Context, p *Point) error {
			shape := Shape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate, Asked: asked}
			back := NewBackends(liveBackends, r.LiveRate*float64(n), meanWork, false)
			f, err := startFleet(ctx, r.watch, shape, back, r.Seed)
			if err != nil {
				return err
			}
			defer f.stop()
			return r.changeFigures(ctx, p, f, space, max(3, int(r.shortened(changeTime)/space)))
		}}
}

func (r *Run) zoneSweep() []job {
	n := min(zoneFleet, r.Ingresses[len(r.Ingresses)-1])
	point := Point{Sweep: fmt.Sprintf("a zone of %d lost and back, %d ingresses, %d backends", zones, n, zones*zoneBackends),
		Label: "before, lost, back"}
	return []job{{point, 25 * time.Second, func(ctx context.Context, p *Point) error { return r.zonePoint(ctx, p, n) }}}
}

// zonePoint takes a zone away under load and brings it back cold.
func (r *Run) zonePoint(ctx context.Context, p *Point, n int) error {
	load := r.LiveRate * float64(n)
	back := NewBackends(zones*zoneBackends, load, meanWork, false)
	f, err := startFleet(ctx, r.watch, Shape{Ingresses: n, Tenants: liveTenants, Rate: r.LiveRate}, back, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.setRate(ctx, r.LiveRate); err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	if _, err := r.zonePhase(ctx, p, f, "before", loadTime, nil); err != nil {
		return err
	}
	lost, err := r.zonePhase(ctx, p, f, "lost", loadTime, func() []discovery.Entry { return back.zone(true) })
	if err != nil {
		return err
	}
	restored, err := r.zonePhase(ctx, p, f, "back", warmAfter, func() []discovery.Entry { return back.zone(false) })
	if err != nil {
		return err
	}
	for i, c := range []listed{lost, restored} {
		each, last, missing, err := f.inForce(ctx, []listed{c})
		if err != nil {
			return err
		}
		what := []string{"lost", "back"}[i]
		p.times(theIngress, what+": in force, each (p50)", "ms", time.Millisecond, each, 50)
		p.times(theIngress, what+": in force everywhere", "ms", time.Millisecond, last, 100)
		p.tell(theIngress, what+": missed", "", float64(missing))
	}
	most, budget := back.coldest()
	p.tell(theIngress, fmt.Sprintf("back: most attempts at one cold backend within %v", fallSpan), "", float64(most))
	p.tell(theIngress, "back: what such a one bears when it starts", "", budget)
	return nil
}

// zone takes the last zone away or brings it back cold, and returns what discovery tells of it.
func (b *Backends) zone(lost bool) []discovery.Entry {
	var list []discovery.Entry
	for i := zones - 1; i < len(b.list); i += zones {
		m, state := &b.list[i], "DELETED"
		if !lost {
			state = "SERVING"
			m.started.Store(time.Now().Truncate(time.Millisecond).UnixNano())
		}
		m.gone.Store(lost)
		list = append(list, b.target(i, state))
	}
	return list
}

// coldest is the most attempts that a cold backend got within the fall span, and what it bears at its start.
func (b *Backends) coldest() (int, float64) {
	most := 0
	for i := range b.list {
		m := &b.list[i]
		m.mu.Lock()
		most = max(most, mostWithin(m.cold, fallSpan))
		m.mu.Unlock()
	}
	return most, b.fallBudget(meanWork)
}

// zonePhase makes a change, measures for a while, and says how the load lay on the backends that were there.
func (r *Run) zonePhase(ctx context.Context, p *Point, f *fleet, name string, d time.Duration,
	change func() []discovery.Entry) (listed, error) {
	before := f.back.sent()
	f.rec.take()
	var made listed
	s, err := f.during(ctx, func() error {
		if change != nil {
			var err error
			if made, err = f.change(change()...); err != nil {
				return err
			}
		}
		return pause(ctx, d)
	})
	if err != nil {
		return made, err
	}
	busiest, sum, n := 0.0, 0.0, 0.0
	for i, sent := range f.back.sent() {
		if f.back.list[i].gone.Load() {
			continue
		}
		rate := float64(sent-before[i]) / s.seconds
		busiest, sum, n = max(busiest, rate), sum+rate, n+1
	}
	requests := max(1, float64(s.tally.Requests))
	p.tell("backends", name+": attempts a second, mean", "", sum/max(1, n))
	p.tell("backends", name+": attempts a second, busiest", "", busiest)
	p.tell(theIngress, name+": served", "%", 100*float64(s.tally.Served)/requests)
	p.tell(theIngress, name+": refused", "%", 100*float64(s.tally.Refused)/requests)
	p.tell(theIngress, name+": failed or not answered", "%", 100*float64(s.tally.Failed+s.tally.Unanswered)/requests)
	p.times(theIngress, name+": added, no socket (p99)", "ms", time.Millisecond, f.rec.take()[addedLatency], 99)
	p.tell(theDiscovery, name+": messages", "", s.objects)
	p.tell(theDiscovery, name+": bytes", "KB", s.discoveryByte/(1<<10))
	p.tell(theIngress, name+": processor a second, each", "ms", s.processor.Seconds()*1000/s.seconds/float64(len(f.hollows)))
	p.tell(theCounter, name+": calls a second", "", s.calls/s.seconds)
	return made, nil
}

func (b *Backends) sent() []uint64 {
	list := make([]uint64, len(b.list))
	for i := range b.list {
		list[i] = b.list[i].sends.Load()
	}
	return list
}
