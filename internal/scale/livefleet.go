package scale

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemontack/internal/standin"
)

const (
	startTimeout         = 15 * time.Second // for the lists and watches of a fleet that starts
	pollInterval         = 50 * time.Millisecond
	polledCallsPerSecond = 100             // calls a second of a discovery that has to be asked
	polledQueueTimeout   = 2 * time.Second // of its callers
)

// standIns are discovery and the counter, in processes of their own.
type standIns struct{ discovery, counter *standInProcess }

func startStandIns(ctx context.Context, w *resourceMonitor, s FleetShape) (*standIns, error) {
	var cfg standin.DiscoveryConfig
	if s.Polled {
		cfg.CallsPerSecond, cfg.Patience = polledCallsPerSecond, polledQueueTimeout
	}
	d, err := startStandIn(ctx, w, roleDiscovery, standInCommand{Discovery: cfg})
	if err != nil {
		return nil, err
	}
	c, err := startStandIn(ctx, w, roleCounter, standInCommand{})
	if err != nil {
		d.stop()
		return nil, err
	}
	return &standIns{d, c}, nil
}

func (s *standIns) stop() {
	s.discovery.stop()
	s.counter.stop()
}

// applyChange tells discovery of a change, and returns its version and time.
func (s *standIns) applyChange(targets ...standin.Target) (appliedRevision, error) {
	r, err := s.discovery.call(standInCommand{Do: "change", Targets: targets})
	return appliedRevision{r.Revision, r.AppliedAt}, err
}

// liveFleet is many hollow ingresses, live.
type liveFleet struct {
	*standIns
	shape          FleetShape
	backends       *BackendModel
	recorder       *Recorder
	hollows        []*HollowIngress
	cancel         context.CancelFunc
	running        sync.WaitGroup
	baselineMemory uint64 // bytes of heap and stacks before the ingresses
}

// startLiveFleet starts the stand-ins and all ingresses of the shape, and returns once each has its list and its watch.
func startLiveFleet(ctx context.Context, w *resourceMonitor, s FleetShape, back *BackendModel, seed uint64) (*liveFleet, error) {
	parts, err := startStandIns(ctx, w, s)
	if err != nil {
		return nil, err
	}
	life, stop := context.WithCancel(ctx)
	f := &liveFleet{standIns: parts, shape: s, backends: back, recorder: NewRecorder(), cancel: stop}
	if err := f.start(life, seed); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *liveFleet) start(ctx context.Context, seed uint64) error {
	targets := f.backends.targets()
	if _, err := f.discovery.call(standInCommand{Do: "list", Targets: targets}); err != nil {
		return err
	}
	var cached endpointUpdate
	if f.shape.Polled {
		cached = newSnapshot(1, targets)
	}
	f.baselineMemory = memoryInUse()
	log := slog.New(slog.DiscardHandler)
	for me := range f.shape.Ingresses {
		h, err := NewHollowIngress(f.shape, me, f.backends, f.recorder, seed)
		if err != nil {
			return err
		}
		h.connect(f.discovery.addr, f.counter.addr, cached, log)
		if f.shape.Polled {
			h.deliverUpdate(h.clients.applyCached(cached))
		}
		f.hollows = append(f.hollows, h)
		f.running.Go(func() { h.Run(ctx) })
	}
	return f.waitReady(ctx)
}

// waitReady waits for the watches of all, and for their lists.
func (f *liveFleet) waitReady(ctx context.Context) error {
	for limit := time.Now().Add(startTimeout); ; {
		r, err := f.discovery.call(standInCommand{Do: "report"})
		if err != nil {
			return err
		}
		lists := 0
		if err := f.forEach(ctx, func(h *HollowIngress) { lists += min(1, len(h.appliedRevisions)) }); err != nil {
			return err
		}
		if r.Discovery.OpenWatches >= len(f.hollows) && lists == len(f.hollows) {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d ingresses have a list, %d a watch after %v", lists, len(f.hollows),
				r.Discovery.OpenWatches, startTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (f *liveFleet) stop() {
	f.cancel()
	f.running.Wait()
	f.standIns.stop()
}

// forEach lets every ingress's own goroutine run do, one after another.
func (f *liveFleet) forEach(ctx context.Context, do func(*HollowIngress)) error {
	for _, h := range f.hollows {
		if err := h.do(ctx, func() { do(h) }); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// snapshot is what all roles have used and done so far.
type snapshot struct {
	at                 time.Time
	cpuTime            time.Duration
	tally              Tally
	discovery, counter StandInReply
}

func (f *liveFleet) takeSnapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now(), cpuTime: cpuTime(wholeProcess)}
	err := f.forEach(ctx, func(h *HollowIngress) { s.tally = s.tally.plus(h.tally) })
	if err != nil {
		return s, err
	}
	if s.discovery, err = f.discovery.call(standInCommand{Do: "report"}); err != nil {
		return s, err
	}
	s.counter, err = f.counter.call(standInCommand{Do: "report"})
	return s, err
}

// usage is what happened between two snapshots.
type usage struct {
	seconds                                           float64
	cpuTime                                           time.Duration // of this process: the ingresses
	tally                                             Tally
	discoveryCPUTime, counterCPUTime                  time.Duration
	counterCalls, counterIn, counterOut               float64
	discoveryMessages, discoveryLists, discoveryBytes float64
}

func (s snapshot) usageSince(t snapshot) usage {
	return usage{seconds: s.at.Sub(t.at).Seconds(), cpuTime: s.cpuTime - t.cpuTime, tally: s.tally.minus(t.tally),
		discoveryCPUTime: s.discovery.CPUTime - t.discovery.CPUTime, counterCPUTime: s.counter.CPUTime - t.counter.CPUTime,
		counterCalls:      float64(s.counter.Counter.Calls - t.counter.Counter.Calls),
		counterIn:         float64(s.counter.Counter.BytesIn - t.counter.Counter.BytesIn),
		counterOut:        float64(s.counter.Counter.BytesOut - t.counter.Counter.BytesOut),
		discoveryMessages: float64(s.discovery.Discovery.Objects - t.discovery.Discovery.Objects),
		discoveryLists:    float64(s.discovery.Discovery.Lists - t.discovery.Discovery.Lists),
		discoveryBytes:    float64(s.discovery.Discovery.Bytes - t.discovery.Discovery.Bytes)}
}

// measure measures while do runs.
func (f *liveFleet) measure(ctx context.Context, do func() error) (usage, error) {
	from, err := f.takeSnapshot(ctx)
	if err != nil {
		return usage{}, err
	}
	if err := do(); err != nil {
		return usage{}, err
	}
	to, err := f.takeSnapshot(ctx)
	return to.usageSince(from), err
}

func (f *liveFleet) setRate(ctx context.Context, rate float64) error {
	return f.forEach(ctx, func(h *HollowIngress) { h.setRate(rate) })
}

// propagation says how long changes took: to each ingress, and until the last one had them. Some may be missing.
func (f *liveFleet) propagation(ctx context.Context, changes []appliedRevision) (each, last *hdrhistogram.Histogram, missing int, err error) {
	each, last = newHistogram(), newHistogram()
	logs := make([][]appliedRevision, 0, len(f.hollows))
	if err := f.forEach(ctx, func(h *HollowIngress) { logs = append(logs, append([]appliedRevision{}, h.appliedRevisions...)) }); err != nil {
		return nil, nil, 0, err
	}
	for _, c := range changes {
		slowest, all := time.Duration(0), true
		for _, log := range logs {
			took, ok := delayUntilApplied(log, c)
			if !ok {
				missing++
				all = false
				continue
			}
			slowest = max(slowest, took)
			each.RecordValue(int64(min(max(took, 1), maxRecordedTime))) // always within its bounds
		}
		if all {
			last.RecordValue(int64(min(max(slowest, 1), maxRecordedTime)))
		}
	}
	return each, last, missing, nil
}

// delayUntilApplied is how long after the change the first list came that holds it.
func delayUntilApplied(log []appliedRevision, c appliedRevision) (time.Duration, bool) {
	for _, l := range log {
		if l.revision >= c.revision {
			return l.at.Sub(c.at), true
		}
	}
	return 0, false
}

// memoryPerIngress is the state of one ingress: heap and stacks, with those of its two clients.
func (f *liveFleet) memoryPerIngress() float64 {
	now := memoryInUse()
	runtime.KeepAlive(f)
	return max(0, float64(now)-float64(f.baselineMemory)) / float64(len(f.hollows))
}
