package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	compareServiceTime    = 5 * time.Millisecond // time of every request at a backend; the rest of its latency is added latency
	compareDuration       = 8 * time.Second
	compareIdleDuration   = 4 * time.Second
	compareWarmUpDuration = 3 * time.Second
	compareBackendSlots   = 1000 // slots of each backend, so many that no request is queued
	compareSweepTitle     = "real and hollow, the same point"
	compareRatioLabel     = "hollow / real"
)

// Names of figures that only the comparison has.
const (
	figureRequestCost = "request: processor"
	figureIdleCost    = "idle second"
	figureListBytes   = "discovery bytes for the start, each"
	figureMemory      = "memory, each"
)

// compareJobs returns points of real and of hollow ingresses under the same load, and a point of their ratios.
func (r *Run) compareJobs() []job {
	var realPoint, hollowPoint *Point
	n := formatNumber(float64(r.RealIngresses))
	return []job{
		{
			point:    Point{Sweep: compareSweepTitle, Label: n + " real"},
			duration: 35 * time.Second,
			measure: func(ctx context.Context, p *Point) error {
				realPoint = p
				return r.measureRealIngresses(ctx, p)
			},
		}, {
			point:    Point{Sweep: compareSweepTitle, Label: n + " hollow"},
			duration: 20 * time.Second,
			measure: func(ctx context.Context, p *Point) error {
				hollowPoint = p
				return r.measureHollowIngresses(ctx, p)
			},
		}, {
			point: Point{Sweep: compareSweepTitle, Label: compareRatioLabel},
			measure: func(_ context.Context, p *Point) error {
				addRatios(p, realPoint, hollowPoint)
				return nil
			},
		},
	}
}

// addRatios adds the ratios of the hollow figures to the real ones. A point is nil if its measurement was not started.
func addRatios(p, realPoint, hollowPoint *Point) {
	if realPoint == nil || hollowPoint == nil || realPoint.SkipReason != "" || hollowPoint.SkipReason != "" {
		p.SkipReason = "the real or the hollow point was not measured"
		return
	}
	for _, realFigure := range realPoint.Figures {
		if hollowFigure, ok := hollowPoint.findFigure(realFigure.Role, realFigure.Name); ok &&
			hollowFigure.Unit == realFigure.Unit && realFigure.Value != 0 {
			p.addFigureWithoutFit(realFigure.Role, realFigure.Name, realFigure.Unit, hollowFigure.Value/realFigure.Value)
		}
	}
}

func (r *Run) compareShape() fleetShape {
	return fleetShape{Ingresses: r.RealIngresses, TenantsPerIngress: defaultTenantCount, RequestRate: r.RequestRate}
}

// comparison holds the results by which real and hollow ingresses are compared.
type comparison struct {
	requests, rejected, failed, attempts float64
	cpuTime                              time.Duration // CPU time of all ingresses under load
	idleCPUPerSecond                     float64       // seconds of CPU time of each ingress per second without requests
	counterCalls                         float64
	listBytes                            float64 // bytes that discovery sent to each ingress until it was ready
	memory                               float64 // bytes of each ingress
	busiestToMean                        float64 // attempts at the busiest backend, in multiples of the mean of all backends
	addedLatency                         func(quantile float64) (ms float64)
}

func (r *Run) addComparison(p *Point, c comparison) {
	requests := max(1, c.requests)
	samples := uint64(requests)
	p.addFigure(roleIngress, figureRequestCost, "µs", c.cpuTime.Seconds()*1e6/requests, samples)
	p.addFigure(roleIngress, figureIdleCost, "ms", c.idleCPUPerSecond*1000, 1)
	p.addFigure(roleIngress, figureMemory, "KB", toKB(c.memory), 1)
	p.addFigure(roleIngress, figureCounterCalls, "", c.counterCalls/requests, samples)
	p.addFigure(roleIngress, figureListBytes, "KB", toKB(c.listBytes), 1)
	p.addFigure(roleIngress, "added (p50)", "ms", c.addedLatency(50), samples)
	p.addFigure(roleIngress, "added (p99)", "ms", c.addedLatency(99), samples)
	p.addFigure(roleIngress, figureAttempts, "", c.attempts/requests, samples)
	p.addFigure(roleBackends, "attempts at the busiest, in means", "", c.busiestToMean, uint64(c.attempts))
	p.addFigureWithoutFit(roleIngress, "refused", "%", 100*c.rejected/requests)
	p.addFigureWithoutFit(roleIngress, "failed or not answered", "%", 100*c.failed/requests)
	p.addFigureWithoutFit(roleRun, "requests", "", c.requests)
}

// measureHollowIngresses measures hollow ingresses under the same load as the real ones.
func (r *Run) measureHollowIngresses(ctx context.Context, p *Point) error {
	backends := newBackendModel(defaultBackendCount, r.RequestRate*float64(r.RealIngresses), meanServiceTime, false)
	backends.slots = compareBackendSlots
	backends.serviceTime = func(*rand.Rand) time.Duration { return compareServiceTime }
	f, err := startLiveFleet(ctx, r.monitor, r.compareShape(), backends, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	discovery, err := f.discovery.call(standInCommand{Action: actionReport})
	if err != nil {
		return err
	}
	measured, err := f.measureIdleAndLoad(ctx, r.RequestRate, r.scaleForQuickRun(compareIdleDuration),
		r.scaleForQuickRun(compareWarmUpDuration), r.scaleForQuickRun(compareDuration))
	if err != nil {
		return err
	}
	addedLatency := measured.times[metricAddedLatency]
	ingresses := float64(r.RealIngresses)
	_, busiestToMean := attemptSpread(measured.attemptsBefore, backends.attemptCounts())
	r.addComparison(p, comparison{
		requests:         float64(measured.load.tally.Requests),
		rejected:         float64(measured.load.tally.Rejected),
		failed:           float64(measured.load.tally.Failed + measured.load.tally.Unanswered),
		attempts:         float64(measured.load.tally.Attempts),
		cpuTime:          measured.load.cpuTime,
		idleCPUPerSecond: measured.idle.cpuTime.Seconds() / measured.idle.seconds / ingresses,
		counterCalls:     measured.load.counterCalls,
		listBytes:        float64(discovery.Discovery.Bytes) / ingresses,
		memory:           f.memoryPerIngress(),
		busiestToMean:    busiestToMean,
		addedLatency:     func(quantile float64) float64 { return quantileMS(addedLatency, quantile) },
	})
	p.addNote("memory: heap and stacks; added latency: from the arrival to the first attempt")
	return nil
}

// measureRealIngresses measures processes of the real ingress.
func (r *Run) measureRealIngresses(ctx context.Context, p *Point) error {
	fleet := &realFleet{}
	defer fleet.stop()
	if err := r.startRealFleet(ctx, fleet); err != nil {
		return err
	}
	discovery, err := fleet.discovery.call(standInCommand{Action: actionReport})
	if err != nil {
		return err
	}
	cpuBefore, err := fleet.cpuTime()
	if err != nil {
		return err
	}
	idleTime := r.scaleForQuickRun(compareIdleDuration)
	if err := sleep(ctx, idleTime); err != nil {
		return err
	}
	cpuAfter, err := fleet.cpuTime()
	if err != nil {
		return err
	}
	c := comparison{
		idleCPUPerSecond: (cpuAfter - cpuBefore).Seconds() / idleTime.Seconds() / float64(r.RealIngresses),
		listBytes:        float64(discovery.Discovery.Bytes) / float64(r.RealIngresses),
	}
	viaIngresses, direct, err := r.runRealLoad(ctx, fleet, p, &c)
	if err != nil {
		return err
	}
	c.addedLatency = func(quantile float64) float64 {
		return quantileMS(viaIngresses, quantile) - quantileMS(direct, quantile)
	}
	r.addComparison(p, c)
	p.addNote("added latency: latency beyond the service time of %v, minus the same of direct calls of a backend at the"+
		" same time (p50 %.2f ms, p99 %.2f ms); memory: resident", compareServiceTime,
		quantileMS(direct, 50), quantileMS(direct, 99))
	return nil
}

// runRealLoad sends requests through all real ingresses, first without and then with measurement. During the measurement
// another generator calls a backend directly, so that other load on the machine affects both. The results are the
// latencies beyond the service time of the requests through ingresses and of the direct ones.
func (r *Run) runRealLoad(ctx context.Context, fleet *realFleet, p *Point, c *comparison) (viaIngresses,
	direct *hdrhistogram.Histogram, err error) {
	directGenerator := newLoadGenerator(fleet.directAddr, 0)
	defer directGenerator.close()
	var generators []*loadGenerator
	for i, ingress := range fleet.ingresses {
		generators = append(generators, newLoadGenerator(ingress.addr, i+1))
		defer generators[i].close()
	}
	r.runGenerators(ctx, generators, compareWarmUpDuration, 0)
	for _, g := range generators {
		g.addedLatency.Reset()
	}
	before, err := fleet.readCounters(generators)
	if err != nil {
		return nil, nil, err
	}
	r.runGenerators(ctx, append(generators, directGenerator), compareDuration, 1)
	after, err := fleet.readCounters(generators)
	if err != nil {
		return nil, nil, err
	}
	if directGenerator.served.Load() == 0 {
		return nil, nil, errors.Join(ctx.Err(), errNoReplies)
	}
	c.setLoadResults(before, after)
	p.addFigureWithoutFit(roleIngress, "connections to backends for a request", "",
		(after.backendConnections-before.backendConnections)/max(1, c.requests))
	for _, ingress := range fleet.ingresses {
		c.memory += float64(residentMemory(ingress.pid())) / float64(len(fleet.ingresses))
	}
	if after.mismatched > 0 {
		p.addNote("%v replies did not have the value of their request", after.mismatched)
	}
	return mergeAddedLatency(p, generators), directGenerator.addedLatency, nil
}

// runGenerators runs all generators, and returns once all requests have ended. Each round draws other random numbers.
func (r *Run) runGenerators(ctx context.Context, generators []*loadGenerator, d time.Duration, round uint64) {
	shape := r.compareShape()
	var running sync.WaitGroup // one goroutine for each generator; it ends after its duration or with ctx
	for _, g := range generators {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(g.index)<<8|round))
		tenants := shape.tenantsOf(max(0, g.index-1))
		running.Go(func() { g.run(ctx, rng, tenants, r.RequestRate, r.scaleForQuickRun(d), compareServiceTime) })
	}
	running.Wait()
}

// mergeAddedLatency merges the latencies of all generators, and adds a note for each generator with failures.
func mergeAddedLatency(p *Point, generators []*loadGenerator) *hdrhistogram.Histogram {
	merged := newHistogram()
	for _, g := range generators {
		merged.Merge(g.addedLatency)
		if g.lastError != "" {
			p.addNote("%d requests failed at %s, the last with %q", g.failed.Load(), g.addr, g.lastError)
		}
	}
	return merged
}

// setLoadResults sets the results that follow from the counters before and after the measured load.
func (c *comparison) setLoadResults(before, after realCounters) {
	c.requests = after.requests - before.requests
	c.rejected = after.rejected - before.rejected
	c.failed = after.failed - before.failed
	c.cpuTime = after.cpuTime - before.cpuTime
	c.counterCalls = float64(after.counterCalls - before.counterCalls)
	c.attempts, c.busiestToMean = attemptSpread(before.attempts, after.attempts)
}

// attemptSpread returns the number of attempts at all backends between two readings, and the number at the busiest
// backend in multiples of the mean.
func attemptSpread(before, after []uint64) (sum, busiest float64) {
	for i := range after {
		n := float64(after[i] - before[i])
		sum, busiest = sum+n, max(busiest, n)
	}
	return sum, busiest / max(1, sum/float64(len(after)))
}
