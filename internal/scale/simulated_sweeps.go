package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// Limits of the sweeps on a simulated clock. Each part of a point ends at its span of simulated time or at its limit of
// real time, whichever comes first.
const (
	warmUpSpan       = 20 * time.Second // simulated time before requests are measured
	warmUpTimeLimit  = 3 * time.Second  // also limits the parts without requests
	measureSpan      = 60 * time.Second // simulated time of the measured requests
	measureTimeLimit = 8 * time.Second
	idleSpan         = 10 * time.Second // simulated time without requests
	drainSpan        = 5 * time.Second  // simulated time for the requests in flight to end

	sampledIngresses    = 3  // measured ingresses, spread evenly over the indices of the fleet
	changesPerIngress   = 50 // endpoint changes at each measured ingress
	eventsPerClockCheck = 8  // fired timers between two readings of the real clock, which are slow in comparison
)

// whileTimeLeft returns a function that returns true until a limit of real time is reached or ctx ends.
func whileTimeLeft(ctx context.Context, limit time.Duration) func() bool {
	end, calls := time.Now().Add(limit), 0
	return func() bool {
		calls++
		return calls%eventsPerClockCheck != 0 || time.Now().Before(end) && ctx.Err() == nil
	}
}

// simulatedUsage is the CPU time and the work of ingresses on a simulated clock.
type simulatedUsage struct {
	span      time.Duration // simulated time
	threadCPU time.Duration // CPU time of the thread that ran the ingress; excludes most of the garbage collection
	tally     tally
}

// measure advances the ingress by a span of simulated time, within a limit of real time, and returns the usage.
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

// coreShare returns the share of a core that the ingress uses.
func (u simulatedUsage) coreShare() float64 {
	return u.threadCPU.Seconds() / max(1e-9, u.span.Seconds())
}

func (u simulatedUsage) plus(other simulatedUsage) simulatedUsage {
	return simulatedUsage{u.span + other.span, u.threadCPU + other.threadCPU, u.tally.plus(other.tally)}
}

// simulatedMeasurement is the usage of ingresses under load and then without requests.
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

// timeLimitScale converts a limit of real time for a point to the limit for one of its ingresses.
type timeLimitScale func(time.Duration) time.Duration

// warmUp starts requests at a rate, in requests per second, and runs the ingress for long enough to acquire its quota
// leases. It returns all times recorded since the last drain.
func (h *hollowIngress) warmUp(ctx context.Context, rate float64, scale timeLimitScale) histograms {
	h.setRate(rate)
	h.advance(warmUpSpan, whileTimeLeft(ctx, scale(warmUpTimeLimit)))
	return h.recorder.drain()
}

// measureLoadAndIdle measures a warmed-up ingress under load for a simulated span, and then without requests.
func (h *hollowIngress) measureLoadAndIdle(ctx context.Context, loadSpan time.Duration,
	scale timeLimitScale) simulatedMeasurement {
	var measured simulatedMeasurement
	measured.load = h.measure(ctx, loadSpan, scale(measureTimeLimit))
	measured.loadTimes = h.recorder.drain()
	h.setRate(0)
	h.advance(drainSpan, whileTimeLeft(ctx, scale(warmUpTimeLimit)))
	h.recorder.drain()
	measured.idle = h.measure(ctx, idleSpan, scale(warmUpTimeLimit))
	measured.idleTimes = h.recorder.drain()
	return measured
}

func (r *Run) backendJobs() []job {
	return jobsBySize("backends", "backends", r.BackendCounts, 15*time.Second, r.measureBackends)
}

// measureBackends measures a sample of the ingresses of the fleet, one after another, in front of n backends.
func (r *Run) measureBackends(ctx context.Context, p *Point, n int) error {
	shape := fleetShape{Ingresses: r.FleetSize, TenantsPerIngress: defaultTenantCount, RequestRate: r.RequestRate}
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
	// With more backends fewer requests fit into the time limit, so that a larger share of the calls acquires the first
	// lease of a tenant.
	p.excludeFromFit(figureCounterCalls)
	p.addHistogram(roleIngress, "change handled", "µs", time.Microsecond, changeTimes[metricChange], 50)
	addPolicyIdleFigure(p, total.idle, total.idleTimes)
	return nil
}

// addRequestFigures adds the figures of requests on a simulated clock.
func (r *Run) addRequestFigures(p *Point, usage simulatedUsage, times histograms) {
	requests := float64(usage.tally.Requests)
	if requests == 0 {
		p.addNote("no request was handled within the time limit")
		return
	}
	handled := 0.0
	for _, m := range []metric{metricArrival, metricAttemptEnd, metricCounterReply} {
		handled += times[m].Mean() * float64(times[m].TotalCount())
	}
	p.addFigure(roleIngress, "request, in the module", "µs", handled/1000/requests, usage.tally.Requests)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, times[metricArrival], 50)
	p.addHistogram(roleIngress, "answer handled", "µs", time.Microsecond, times[metricAttemptEnd], 50)
	p.addHistogram(roleIngress, "tick handled", "µs", time.Microsecond, times[metricTimer], 50)
	p.addFigure(roleIngress, fmt.Sprintf("core at %s requests a second", formatNumber(r.RequestRate)), "%",
		100*usage.coreShare(), usage.tally.Requests)
	p.addHistogram(roleIngress, figureAddedLatency, "ms", time.Millisecond, times[metricAddedLatency], 99)
	p.addFigure(roleIngress, figureCounterCalls, "", float64(usage.tally.CounterCalls)/requests, usage.tally.Requests)
	p.addFigureWithoutFit(roleIngress, figureAttempts, "", float64(usage.tally.Attempts)/requests)
	p.addFigureWithoutFit(roleIngress, "refused", "%", 100*float64(usage.tally.Rejected)/requests)
	p.addFigureWithoutFit(roleIngress, "not answered", "", float64(usage.tally.Unanswered))
	p.addFigureWithoutFit(roleRun, "requests played", "", requests)
}

// addPolicyIdleFigure adds the cost of an idle second, from the handling times of timer events: the resolution of the
// thread's CPU clock is too coarse for such short times.
func addPolicyIdleFigure(p *Point, usage simulatedUsage, times histograms) {
	eventMS := float64(times[metricTimer].ValueAtQuantile(50)) / 1e6
	eventsPerSecond := float64(usage.tally.TimerEvents) / max(1e-9, usage.span.Seconds())
	p.addFigure(roleIngress, "idle second, in the module", "ms", eventMS*eventsPerSecond, usage.tally.TimerEvents)
}

func (r *Run) tenantJobs() []job {
	jobs := jobsBySize("tenants of an ingress", "tenants", r.TenantCounts, 10*time.Second, r.measureTenants)
	for i := range jobs {
		jobs[i].point.Size = 0 // set once the tenants of the ingress have been counted
	}
	return jobs
}

// measureTenants measures one ingress of the fleet with about n tenants.
func (r *Run) measureTenants(ctx context.Context, p *Point, n int) error {
	shape := fleetShape{Ingresses: r.FleetSize, TenantsPerIngress: n, RequestRate: r.RequestRate}
	backends := newBackendModel(defaultBackendCount, r.RequestRate*float64(r.FleetSize), meanServiceTime, true)
	h, err := newHollowIngress(shape, r.FleetSize/2, backends, newTimeRecorder(), r.Seed)
	if err != nil {
		return err
	}
	p.Size = float64(len(h.tenants)) // not exactly n: tenants are rounded to equal numbers for each first gateway
	h.loadEndpoints(backends.targets())
	memoryBefore := memoryInUse()
	h.warmUp(ctx, r.RequestRate, r.scaleForQuickRun)
	measured := h.measureLoadAndIdle(ctx, 2*measureSpan, r.scaleForQuickRun)
	h.clearCounterTable() // its memory is that of the counter, not of the ingress
	memory := memoryGrowth(memoryBefore)
	if err := ctx.Err(); err != nil {
		return err
	}
	p.addFigureWithoutFit(roleIngress, "tenants", "", p.Size)
	p.addFigure(roleIngress, "state of the tenants", "MB", toMB(memory), 1)
	p.addFigureWithoutFit(roleIngress, "state of a tenant", "bytes", memory/float64(len(h.tenants)))
	r.addRequestFigures(p, measured.load, measured.loadTimes)
	addPolicyIdleFigure(p, measured.idle, measured.idleTimes)
	return nil
}
