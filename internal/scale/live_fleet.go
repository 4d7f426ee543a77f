package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	startTimeout = 15 * time.Second // time limit for the ingresses of a fleet to have a list and a watch
	pollInterval = 50 * time.Millisecond
)

// errNotReady reports that a fleet or an ingress was not ready within its time limit.
var errNotReady = errors.New("not ready")

// liveFleet is a fleet of hollow ingresses in real time, with discovery and the counter in processes of their own.
type liveFleet struct {
	*standIns
	shape             fleetShape
	backends          *backendModel
	recorder          *timeRecorder
	ingresses         []*hollowIngress
	cancel            context.CancelFunc // stops the ingresses
	ingressGoroutines sync.WaitGroup     // one goroutine for each ingress
	baselineMemory    uint64             // bytes in use before the ingresses were created
}

// startLiveFleet starts the stand-ins and all ingresses of the shape, and returns once each has its list and its watch.
// The caller must call stop, which waits for all goroutines and processes to end.
func startLiveFleet(ctx context.Context, monitor *resourceMonitor, shape fleetShape, backends *backendModel,
	seed uint64) (*liveFleet, error) {
	services, err := startStandIns(ctx, monitor, shape)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &liveFleet{standIns: services, shape: shape, backends: backends, recorder: newTimeRecorder(), cancel: cancel}
	if err := f.start(ctx, seed); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *liveFleet) start(ctx context.Context, seed uint64) error {
	targets := f.backends.targets()
	if err := f.setList(targets); err != nil {
		return err
	}
	var knownList endpointUpdate
	if f.shape.PollsEndpoints {
		knownList = newSnapshot(1, targets)
	}
	f.baselineMemory = memoryInUse()
	log := slog.New(slog.DiscardHandler)
	for index := range f.shape.Ingresses {
		h, err := newHollowIngress(f.shape, index, f.backends, f.recorder, seed)
		if err != nil {
			return err
		}
		h.connect(f.discovery.addr, f.counter.addr, knownList, log)
		if f.shape.PollsEndpoints {
			h.deliverUpdate(h.live.clients.applyKnownList(knownList))
		}
		f.ingresses = append(f.ingresses, h)
		f.ingressGoroutines.Go(func() { h.run(ctx) }) // ends with ctx; stop waits for it
	}
	return f.waitReady(ctx)
}

// waitReady waits until each ingress has a list and an open watch.
func (f *liveFleet) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); ; {
		reply, err := f.discovery.call(standInCommand{Action: actionReport})
		if err != nil {
			return err
		}
		lists, watches := 0, reply.Discovery.OpenWatches
		if err := f.forEachIngress(ctx, func(h *hollowIngress) { lists += min(1, len(h.appliedRevisions)) }); err != nil {
			return err
		}
		if watches >= len(f.ingresses) && lists == len(f.ingresses) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d ingresses have a list, %d have a watch: %w after %v", lists, len(f.ingresses), watches,
				errNotReady, startTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (f *liveFleet) stop() {
	f.cancel()
	f.ingressGoroutines.Wait()
	f.standIns.stop()
}

// forEachIngress runs a function on the goroutine of each ingress, one after another.
func (f *liveFleet) forEachIngress(ctx context.Context, do func(*hollowIngress)) error {
	for _, h := range f.ingresses {
		if err := h.runInEventLoop(ctx, func() { do(h) }); err != nil {
			return err
		}
	}
	return nil
}

// setRate sets the rate of arrivals at each ingress, in requests per second.
func (f *liveFleet) setRate(ctx context.Context, rate float64) error {
	return f.forEachIngress(ctx, func(h *hollowIngress) { h.setRate(rate) })
}

// memoryPerIngress returns the mean heap and stack memory of an ingress with its two clients, in bytes.
func (f *liveFleet) memoryPerIngress() float64 {
	growth := memoryGrowth(f.baselineMemory)
	runtime.KeepAlive(f)
	return growth / float64(len(f.ingresses))
}

// sleep waits for d, and returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// fleetReading holds the totals of a fleet and its stand-ins so far.
type fleetReading struct {
	at                 time.Time
	cpuTime            time.Duration // CPU time of this process, which runs the ingresses
	tally              tally         // sum of all ingresses
	discovery, counter standInReply
}

func (f *liveFleet) takeReading(ctx context.Context) (fleetReading, error) {
	reading := fleetReading{at: time.Now(), cpuTime: cpuTime(currentProcess)}
	err := f.forEachIngress(ctx, func(h *hollowIngress) { reading.tally = reading.tally.plus(h.tally) })
	if err != nil {
		return reading, err
	}
	if reading.discovery, err = f.discovery.call(standInCommand{Action: actionReport}); err != nil {
		return reading, err
	}
	reading.counter, err = f.counter.call(standInCommand{Action: actionReport})
	return reading, err
}

// fleetUsage is the usage and work of a fleet and its stand-ins between two readings.
type fleetUsage struct {
	seconds           float64
	cpuTime           time.Duration // CPU time of this process, which runs the ingresses
	tally             tally         // sum of all ingresses
	discoveryCPUTime  time.Duration
	discoveryMessages float64 // lists and changes written
	discoveryBytes    float64
	counterCPUTime    time.Duration
	counterCalls      float64
	counterBytes      float64 // bytes in both directions
}

func (reading fleetReading) usageSince(earlier fleetReading) fleetUsage {
	return fleetUsage{
		seconds:           reading.at.Sub(earlier.at).Seconds(),
		cpuTime:           reading.cpuTime - earlier.cpuTime,
		tally:             reading.tally.minus(earlier.tally),
		discoveryCPUTime:  reading.discovery.CPUTime - earlier.discovery.CPUTime,
		discoveryMessages: float64(reading.discovery.Discovery.Objects - earlier.discovery.Discovery.Objects),
		discoveryBytes:    float64(reading.discovery.Discovery.Bytes - earlier.discovery.Discovery.Bytes),
		counterCPUTime:    reading.counter.CPUTime - earlier.counter.CPUTime,
		counterCalls:      float64(reading.counter.Counter.Calls - earlier.counter.Counter.Calls),
		counterBytes: float64(reading.counter.Counter.BytesIn - earlier.counter.Counter.BytesIn +
			reading.counter.Counter.BytesOut - earlier.counter.Counter.BytesOut),
	}
}

// measure returns the usage during a call of do.
func (f *liveFleet) measure(ctx context.Context, do func() error) (fleetUsage, error) {
	before, err := f.takeReading(ctx)
	if err != nil {
		return fleetUsage{}, err
	}
	if err := do(); err != nil {
		return fleetUsage{}, err
	}
	after, err := f.takeReading(ctx)
	return after.usageSince(before), err
}

// measureFor returns the usage during d.
func (f *liveFleet) measureFor(ctx context.Context, d time.Duration) (fleetUsage, error) {
	return f.measure(ctx, func() error { return sleep(ctx, d) })
}

// idleAndLoad is the usage of a fleet without requests and then under load.
type idleAndLoad struct {
	idle, load     fleetUsage
	times          histograms // times recorded under load
	attemptsBefore []uint64   // attempts at each backend when the measurement under load started
}

// measureIdleAndLoad measures the fleet without requests, and then, after a time to settle, at a rate in requests per
// second of each ingress.
func (f *liveFleet) measureIdleAndLoad(ctx context.Context, rate float64, idleTime, settleTime,
	loadTime time.Duration) (idleAndLoad, error) {
	var measured idleAndLoad
	var err error
	if measured.idle, err = f.measureFor(ctx, idleTime); err != nil {
		return measured, err
	}
	if err := f.setRate(ctx, rate); err != nil {
		return measured, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return measured, err
	}
	f.recorder.drain()
	measured.attemptsBefore = f.backends.attemptCounts()
	if measured.load, err = f.measureFor(ctx, loadTime); err != nil {
		return measured, err
	}
	measured.times = f.recorder.drain()
	return measured, nil
}

// propagation holds the times that changes of endpoints took to reach the ingresses.
type propagation struct {
	perIngress   *hdrhistogram.Histogram // one time for each change and ingress
	fleetWide    *hdrhistogram.Histogram // time until the last ingress applied a change, for changes that reached all
	missingPairs int                     // pairs of a change and an ingress that it did not reach
}

// measurePropagation returns the propagation of the changes so far.
func (f *liveFleet) measurePropagation(ctx context.Context, changes []appliedRevision) (propagation, error) {
	result := propagation{perIngress: newHistogram(), fleetWide: newHistogram()}
	revisionLogs := make([][]appliedRevision, 0, len(f.ingresses))
	err := f.forEachIngress(ctx, func(h *hollowIngress) {
		revisionLogs = append(revisionLogs, append([]appliedRevision{}, h.appliedRevisions...))
	})
	if err != nil {
		return result, err
	}
	for _, change := range changes {
		slowest, complete := time.Duration(0), true
		for _, applied := range revisionLogs {
			delay, ok := delayUntilApplied(applied, change)
			if !ok {
				result.missingPairs++
				complete = false
				continue
			}
			slowest = max(slowest, delay)
			recordTime(result.perIngress, delay)
		}
		if complete {
			recordTime(result.fleetWide, slowest)
		}
	}
	return result, nil
}

// delayUntilApplied returns the time from a change to the first applied revision that contains it, or false if there is
// none.
func delayUntilApplied(applied []appliedRevision, change appliedRevision) (time.Duration, bool) {
	for _, revision := range applied {
		if revision.revision >= change.revision {
			return revision.at.Sub(change.at), true
		}
	}
	return 0, false
}
