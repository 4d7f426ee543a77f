package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// Limits of the sweeps on a simulated clock. A part of a point ends at its span of simulated time or at its limit of
// real time, whichever comes first.
const (
	warmUpSpan       = 20 * time.Second // simulated, before requests are measured
	warmUpTimeLimit  = 3 * time.Second
	measureSpan      = 60 * time.Second // simulated, of the requests measured
	measureTimeLimit = 8 * time.Second
	idleSpan         = 10 * time.Second // simulated, without requests
	drainSpan        = 5 * time.Second  // simulated, for the requests in flight to end

	sampledIngresses    = 3  // of the fleet, evenly over its indices
	changesPerIngress   = 50 // of endpoints, for each of them
	eventsPerClockCheck = 8  // so that reading the real clock costs little
)

// whileTimeLeft returns a function that is true until a time limit is over or ctx ends.
func whileTimeLeft(ctx context.Context, limit time.Duration) func() bool {
	end, calls := time.Now().Add(limit), 0
	return func() bool {
		calls++
		return calls%eventsPerClockCheck != 0 || time.Now().Before(end) && ctx.Err() == nil
	}
}

// simulatedUsage is what ingresses used and did on a simulated clock.
type simulatedUsage struct {
	span      time.Duration // simulated
	threadCPU time.Duration // of the thread that the ingress ran on, which leaves out most of the garbage collector's
	tally     tally
}

// measure lets a hollow ingress run like advance and measures it.
func (h *hollowIngress) measure(ctx context.Context, span, limit time.Duration) simulatedUsage {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start, cpuBefore, tallyBefore := h.now, cpuTime(currentThread), h.tally
	h.advance(span, whileTimeLeft(ctx, limit))
	return simulatedUsage{
		span:      h.now - start,
		threadCPU: cpuTime(currentThread) - cpuBefore,
		tally:     h.tally.minus(tallyBefore),
	}
}

// coreShare returns the share of a core that the ingress takes.
func (u simulatedUsage) coreShare() float64 {
	return u.threadCPU.Seconds() / max(1e-9, u.span.Seconds())
}

func (u simulatedUsage) plus(v simulatedUsage) simulatedUsage {
	return simulatedUsage{u.span + v.span, u.threadCPU + v.threadCPU, u.tally.plus(v.tally)}
}

// simulatedMeasurement is what ingresses used and did under load and then without requests.
type simulatedMeasurement struct {
	load, idle           simulatedUsage
	loadTimes, idleTimes histograms
}

func newSimulatedMeasurement() simulatedMeasurement {
	return simulatedMeasurement{loadTimes: newHistograms(), idleTimes: newHistograms()}
}

func (total *simulatedMeasurement) add(other simulatedMeasurement) {
	total.load, total.idle = total.load.plus(other.load), total.idle.plus(other.idle)
	total.loadTimes.merge(other.loadTimes)
	total.idleTimes.merge(other.idleTimes)
}

// timeLimitScale returns how much of a limit of real time an ingress may use.
type timeLimitScale func(time.Duration) time.Duration

// warmUp starts requests at a rate a second and lets the ingress run until it has its leases. It returns all times
// that have been recorded since the last drain.
func (h *hollowIngress) warmUp(ctx context.Context, rate float64, scale timeLimitScale) histograms {
	h.setRate(rate)
	h.advance(warmUpSpan, whileTimeLeft(ctx, scale(warmUpTimeLimit)))
	return h.recorder.drain()
}

// measureLoadAndIdle measures an ingress that has been warmed up, for a simulated span and then without requests.
func (h *hollowIngress) measureLoadAndIdle(ctx context.Context, loadSpan time.Duration,
	scale timeLimitScale) simulatedMeasurement {
	var m simulatedMeasurement
	m.load = h.measure(ctx, loadSpan, scale(measureTimeLimit))
	m.loadTimes = h.recorder.drain()
	h.setRate(0)
	h.advance(drainSpan, whileTimeLeft(ctx, scale(warmUpTimeLimit)))
	h.recorder.drain()
	m.idle = h.measure(ctx, idleSpan, scale(warmUpTimeLimit))
	m.idleTimes = h.recorder.drain()
	return m
}

func (r *Run) backendJobs() []job {
	return jobsBySize("backends", "backends", r.BackendCounts, 15*time.Second, r.measureBackends)
}

// measureBackends measures some ingresses of the whole fleet, one after another, in front of n backends.
func (r *Run) measureBackends(ctx context.Context, p *Point, n int) error {
	shape := fleetShape{Ingresses: r.FleetSize, TenantsPerIngress: liveTenants, RequestRate: r.RequestRate}
	backends := newBackendModel(n, r.RequestRate*float64(r.FleetSize), meanServiceTime, true)
	if err := r.addListFigures(ctx, p, shape, backends); err != nil {
		return err
	}
	targets, recorder := backends.targets(), newTimeRecorder()
	total, changeTimes := newSimulatedMeasurement(), newHistograms()
	ingresses := min(sampledIngresses, r.FleetSize)
	scale := func(d time.Duration) time.Duration { return r.scaleForQuickRun(d) / time.Duration(ingresses) }
	for i := range ingresses {
		h, err := newHollowIngress(shape, i*r.FleetSize/ingresses, backends, recorder, r.Seed)
		if err != nil {
			return err
		}
		memoryBefore := memoryInUse()
		h.loadEndpoints(targets)
		if i == 0 {
			p.addFigure(roleIngress, "state of the module's list", "MB", toMB(memoryGrowth(memoryBefore)), 1)
		}
		warmUpTimes := h.warmUp(ctx, r.RequestRate, scale)
		if i == 0 {
			p.addHistogram(roleIngress, "list handled", "ms", time.Millisecond, warmUpTimes[metricSnapshot], 50)
		}
		total.add(h.measureLoadAndIdle(ctx, measureSpan, scale))
		for change := 0; change < changesPerIngress && ctx.Err() == nil; change++ {
			h.applyUpdate(newChange(int64(change), backends.drainingChange(change)))
		}
		changeTimes.merge(recorder.drain())
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	r.addRequestFigures(p, total.load, total.loadTimes)
	// The more backends there are, the fewer requests fit the time limit, and the larger is the part of the calls that
	// take the first lease of a tenant.
	p.excludeFromFit(figureCounterCalls)
	p.addHistogram(roleIngress, "change handled", "µs", time.Microsecond, changeTimes[metricChange], 50)
	addModuleIdleFigure(p, total.idle, total.idleTimes)
	return nil
}

// addRequestFigures adds the figures of requests on a simulated clock.
func (r *Run) addRequestFigures(p *Point, u simulatedUsage, times histograms) {
	requests := float64(u.tally.Requests)
	if requests == 0 {
		p.addNote("no request was played in its time")
		return
	}
	handled := 0.0
	for _, m := range []metric{metricArrival, metricAttemptEnd, metricCounterReply} {
		handled += times[m].Mean() * float64(times[m].TotalCount())
	}
	p.addFigure(roleIngress, "request, in the module", "µs", handled/1000/requests, u.tally.Requests)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, times[metricArrival], 50)
	p.addHistogram(roleIngress, "answer handled", "µs", time.Microsecond, times[metricAttemptEnd], 50)
	p.addHistogram(roleIngress, "tick handled", "µs", time.Microsecond, times[metricTimer], 50)
	p.addFigure(roleIngress, fmt.Sprintf("core at %s requests a second", formatNumber(r.RequestRate)), "%",
		100*u.coreShare(), u.tally.Requests)
	p.addHistogram(roleIngress, figureAddedLatency, "ms", time.Millisecond, times[metricAddedLatency], 99)
	p.addFigure(roleIngress, figureCounterCalls, "", float64(u.tally.CounterCalls)/requests, u.tally.Requests)
	p.addFigureWithoutFit(roleIngress, figureAttempts, "", float64(u.tally.Attempts)/requests)
	p.addFigureWithoutFit(roleIngress, "refused", "%", 100*float64(u.tally.Rejected)/requests)
	p.addFigureWithoutFit(roleIngress, "not answered", "", float64(u.tally.Unanswered))
	p.addFigureWithoutFit(roleRun, "requests played", "", requests)
}

// addModuleIdleFigure adds the processor time of an idle second, from the times of the timer events: the thread's own
// clock moves in steps that are too coarse for so little.
func addModuleIdleFigure(p *Point, u simulatedUsage, times histograms) {
	eventMS := float64(times[metricTimer].ValueAtQuantile(50)) / 1e6
	eventsPerSecond := float64(u.tally.TimerEvents) / max(1e-9, u.span.Seconds())
	p.addFigure(roleIngress, "idle second, in the module", "ms", eventMS*eventsPerSecond, u.tally.TimerEvents)
}

func (r *Run) tenantJobs() []job {
	jobs := jobsBySize("tenants of an ingress", "tenants", r.TenantCounts, 10*time.Second, r.measureTenants)
	for i := range jobs {
		jobs[i].point.Size = 0 // known once the tenants of the ingress have been counted
	}
	return jobs
}

// measureTenants measures one ingress of the whole fleet with about n tenants.
func (r *Run) measureTenants(ctx context.Context, p *Point, n int) error {
	shape := fleetShape{Ingresses: r.FleetSize, TenantsPerIngress: n, RequestRate: r.RequestRate}
	backends := newBackendModel(liveBackends, r.RequestRate*float64(r.FleetSize), meanServiceTime, true)
	h, err := newHollowIngress(shape, r.FleetSize/2, backends, newTimeRecorder(), r.Seed)
	if err != nil {
		return err
	}
	p.Size = float64(len(h.tenants)) // not n: the sets of gateways that share a tenant are complete
	h.loadEndpoints(backends.targets())
	memoryBefore := memoryInUse()
	h.warmUp(ctx, r.RequestRate, r.scaleForQuickRun)
	m := h.measureLoadAndIdle(ctx, 2*measureSpan, r.scaleForQuickRun)
	h.clearCounterTable() // its memory is the counter's, not the ingress's
	memory := memoryGrowth(memoryBefore)
	if err := ctx.Err(); err != nil {
		return err
	}
	p.addFigureWithoutFit(roleIngress, "tenants", "", p.Size)
	p.addFigure(roleIngress, "state of the tenants", "MB", toMB(memory), 1)
	p.addFigureWithoutFit(roleIngress, "state of a tenant", "bytes", memory/float64(len(h.tenants)))
	r.addRequestFigures(p, m.load, m.loadTimes)
	addModuleIdleFigure(p, m.idle, m.idleTimes)
	return nil
}
