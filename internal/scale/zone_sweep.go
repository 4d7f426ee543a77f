package scale

import (
	"context"
	"fmt"
	"time"

	"lemontack/internal/standin"
)

const (
	zoneSweepIngresses = 60
	backendsPerZone    = 40
)

func (r *Run) zoneJobs() []job {
	n := min(zoneSweepIngresses, r.IngressCounts[len(r.IngressCounts)-1])
	sweep := fmt.Sprintf("a zone of %d lost and back, %d ingresses, %d backends", zoneCount, n, zoneCount*backendsPerZone)
	return []job{{
		point:    Point{Sweep: sweep, Label: "before, lost, back"},
		duration: 25 * time.Second,
		measure:  func(ctx context.Context, p *Point) error { return r.measureZoneLoss(ctx, p, n) },
	}}
}

// measureZoneLoss removes all backends of a zone under load, and then starts them again cold.
func (r *Run) measureZoneLoss(ctx context.Context, p *Point, n int) error {
	backends := newBackendModel(zoneCount*backendsPerZone, r.LiveRequestRate*float64(n), meanServiceTime, false)
	shape := fleetShape{Ingresses: n, TenantsPerIngress: defaultTenantCount, RequestRate: r.LiveRequestRate}
	f, err := startLiveFleet(ctx, r.monitor, shape, backends, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.setRate(ctx, r.LiveRequestRate); err != nil {
		return err
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return err
	}
	if _, err := f.measureZonePhase(ctx, p, "before", loadDuration, nil); err != nil {
		return err
	}
	removal, err := f.measureZonePhase(ctx, p, "lost", loadDuration, backends.removeLastZone)
	if err != nil {
		return err
	}
	restoration, err := f.measureZonePhase(ctx, p, "back", slowStartWindow, backends.restoreLastZone)
	if err != nil {
		return err
	}
	if err := f.addPropagationFigures(ctx, p, "lost", removal); err != nil {
		return err
	}
	if err := f.addPropagationFigures(ctx, p, "back", restoration); err != nil {
		return err
	}
	name := fmt.Sprintf("back: most attempts at one cold backend within %v", slowStartBudgetPeriod)
	p.addFigureWithoutFit(roleIngress, name, "", float64(backends.maxColdAttempts()))
	p.addFigureWithoutFit(roleIngress, "back: what such a one bears when it starts", "",
		backends.coldAttemptLimit(meanServiceTime))
	return nil
}

// addPropagationFigures adds the times that a change took to reach the ingresses.
func (f *liveFleet) addPropagationFigures(ctx context.Context, p *Point, phase string, change appliedRevision) error {
	delays, err := f.measurePropagation(ctx, []appliedRevision{change})
	if err != nil {
		return err
	}
	p.addHistogram(roleIngress, phase+": in force, each (p50)", "ms", time.Millisecond, delays.perIngress, 50)
	p.addHistogram(roleIngress, phase+": in force everywhere", "ms", time.Millisecond, delays.fleetWide, 100)
	p.addFigureWithoutFit(roleIngress, phase+": missed", "", float64(delays.missingPairs))
	return nil
}

// measureZonePhase makes a change, if there is one, measures for d, and adds the figures of the phase, with the spread
// of the load over the backends that were not removed.
func (f *liveFleet) measureZonePhase(ctx context.Context, p *Point, phase string, d time.Duration,
	change func() []standin.Target) (appliedRevision, error) {
	attemptsBefore := f.backends.attemptCounts()
	f.recorder.drain()
	var applied appliedRevision
	usage, err := f.measure(ctx, func() error {
		if change != nil {
			var err error
			if applied, err = f.applyChange(change()...); err != nil {
				return err
			}
		}
		return sleep(ctx, d)
	})
	if err != nil {
		return applied, err
	}
	busiest, sum, servingCount := 0.0, 0.0, 0.0
	for i, attempts := range f.backends.attemptCounts() {
		if f.backends.backends[i].removed.Load() {
			continue
		}
		rate := float64(attempts-attemptsBefore[i]) / usage.seconds
		busiest, sum, servingCount = max(busiest, rate), sum+rate, servingCount+1
	}
	requests := max(1, float64(usage.tally.Requests))
	p.addFigureWithoutFit(roleBackends, phase+": attempts a second, mean", "", sum/max(1, servingCount))
	p.addFigureWithoutFit(roleBackends, phase+": attempts a second, busiest", "", busiest)
	p.addFigureWithoutFit(roleIngress, phase+": served", "%", 100*float64(usage.tally.Served)/requests)
	p.addFigureWithoutFit(roleIngress, phase+": refused", "%", 100*float64(usage.tally.Rejected)/requests)
	failures := float64(usage.tally.Failed + usage.tally.Unanswered)
	p.addFigureWithoutFit(roleIngress, phase+": failed or not answered", "%", 100*failures/requests)
	addedLatency := f.recorder.drain()[metricAddedLatency]
	p.addHistogram(roleIngress, phase+": "+figureAddedLatency, "ms", time.Millisecond, addedLatency, 99)
	p.addFigureWithoutFit(roleDiscovery, phase+": messages", "", usage.discoveryMessages)
	p.addFigureWithoutFit(roleDiscovery, phase+": bytes", "KB", toKB(usage.discoveryBytes))
	ingressMS := usage.cpuTime.Seconds() * 1000 / usage.seconds / float64(len(f.ingresses))
	p.addFigureWithoutFit(roleIngress, phase+": processor a second, each", "ms", ingressMS)
	p.addFigureWithoutFit(roleCounter, phase+": calls a second", "", usage.counterCalls/usage.seconds)
	return applied, nil
}
