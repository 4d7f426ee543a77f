package scale

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemontack/internal/discovery"
	"lemontack/internal/standin"
)

const (
	startWait     = 15 * time.Second // for the lists and watches of a fleet that starts
	pollEvery     = 50 * time.Millisecond
	askedPerSec   = 100             // calls a second of a discovery that has to be asked
	askedPatience = 2 * time.Second // of its callers
)

// standins are discovery and the counter, in processes of their own.
type standins struct{ discovery, counter *role }

func startStandins(ctx context.Context, w *watcher, s Shape) (*standins, error) {
	var cfg standin.DiscoveryConfig
	if s.Asked {
		cfg.CallsPerSecond, cfg.Patience = askedPerSec, askedPatience
	}
	d, err := startRole(ctx, w, theDiscovery, order{Discovery: cfg})
	if err != nil {
		return nil, err
	}
	c, err := startRole(ctx, w, theCounter, order{})
	if err != nil {
		d.stop()
		return nil, err
	}
	return &standins{d, c}, nil
}

func (s *standins) stop() {
	s.discovery.stop()
	s.counter.stop()
}

func asStandin(targets []discovery.Entry) []standin.Target {
	list := make([]standin.Target, len(targets))
	for i, t := range targets {
		list[i] = standin.Target(t)
	}
	return list
}

// change tells discovery of a change, and returns its version and time.
func (s *standins) change(targets ...discovery.Entry) (listed, error) {
	r, err := s.discovery.tell(order{Do: "change", Targets: asStandin(targets)})
	return listed{r.Rev, r.At}, err
}

// fleet is many hollow ingresses, live.
type fleet struct {
	*standins
	shape   Shape
	back    *Backends
	rec     *Recorder
	hollows []*Hollow
	stopped context.CancelFunc
	running sync.WaitGroup
	state   uint64 // bytes of heap and stacks before the ingresses
}

// startFleet starts the stand-ins and all ingresses of the shape, and returns once each has its list and its watch.
func startFleet(ctx context.Context, w *watcher, s Shape, back *Backends, seed uint64) (*fleet, error) {
	parts, err := startStandins(ctx, w, s)
	if err != nil {
		return nil, err
	}
	life, stop := context.WithCancel(ctx)
	f := &fleet{standins: parts, shape: s, back: back, rec: NewRecorder(), stopped: stop}
	if err := f.begin(life, seed); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) begin(ctx context.Context, seed uint64) error {
	targets := f.back.targets()
	if _, err := f.discovery.tell(order{Do: "list", Targets: asStandin(targets)}); err != nil {
		return err
	}
	known := discovery.EndpointList{}
	if f.shape.Asked {
		known = discovery.EndpointList{Revision: 1, Snapshot: true, Entries: targets}
	}
	f.state = heapInUse()
	log := slog.New(slog.DiscardHandler)
	for me := range f.shape.Ingresses {
		h, err := NewHollow(f.shape, me, f.back, f.rec, seed)
		if err != nil {
			return err
		}
		h.goLive(f.discovery.addr, f.counter.addr, known, log)
		if f.shape.Asked {
			h.fleet(h.parts.discovery.ApplyKnown(known))
		}
		f.hollows = append(f.hollows, h)
		f.running.Go(func() { h.Live(ctx) })
	}
	return f.ready(ctx)
}

// ready waits for the watches of all, and for their lists.
func (f *fleet) ready(ctx context.Context) error {
	for limit := time.Now().Add(startWait); ; {
		r, err := f.discovery.tell(order{Do: "report"})
		if err != nil {
			return err
		}
		lists := 0
		if err := f.each(ctx, func(h *Hollow) { lists += min(1, len(h.log)) }); err != nil {
			return err
		}
		if r.Discovery.OpenWatches >= len(f.hollows) && lists == len(f.hollows) {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d ingresses have a list, %d a watch after %v", lists, len(f.hollows),
				r.Discovery.OpenWatches, startWait)
		}
		if err := pause(ctx, pollEvery); err != nil {
			return err
		}
	}
}

func (f *fleet) stop() {
	f.stopped()
	f.running.Wait()
	f.standins.stop()
}

// each lets every ingress's own goroutine run do, one after another.
func (f *fleet) each(ctx context.Context, do func(*Hollow)) error {
	for _, h := range f.hollows {
		if err := h.ask(ctx, func() { do(h) }); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
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
	processor          time.Duration
	tally              Tally
	discovery, counter RoleReport
}

func (f *fleet) snap(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now(), processor: used(wholeProcess)}
	err := f.each(ctx, func(h *Hollow) { s.tally = s.tally.plus(h.tally) })
	if err != nil {
		return s, err
	}
	if s.discovery, err = f.discovery.tell(order{Do: "report"}); err != nil {
		return s, err
	}
	s.counter, err = f.counter.tell(order{Do: "report"})
	return s, err
}

// span is what happened between two snapshots.
type span struct {
	seconds                       float64
	processor                     time.Duration // of this process: the ingresses
	tally                         Tally
	discoveryCPU, counterCPU      time.Duration
	calls, counterIn, counterOut  float64
	objects, lists, discoveryByte float64
}

func (s snapshot) since(t snapshot) span {
	return span{seconds: s.at.Sub(t.at).Seconds(), processor: s.processor - t.processor, tally: s.tally.minus(t.tally),
		discoveryCPU: s.discovery.Processor - t.discovery.Processor, counterCPU: s.counter.Processor - t.counter.Processor,
		calls:         float64(s.counter.Counter.Calls - t.counter.Counter.Calls),
		counterIn:     float64(s.counter.Counter.BytesIn - t.counter.Counter.BytesIn),
		counterOut:    float64(s.counter.Counter.BytesOut - t.counter.Counter.BytesOut),
		objects:       float64(s.discovery.Discovery.Objects - t.discovery.Discovery.Objects),
		lists:         float64(s.discovery.Discovery.Lists - t.discovery.Discovery.Lists),
		discoveryByte: float64(s.discovery.Discovery.Bytes - t.discovery.Discovery.Bytes)}
}

// during measures while do runs.
func (f *fleet) during(ctx context.Context, do func() error) (span, error) {
	from, err := f.snap(ctx)
	if err != nil {
		return span{}, err
	}
	if err := do(); err != nil {
		return span{}, err
	}
	to, err := f.snap(ctx)
	return to.since(from), err
}

func (f *fleet) setRate(ctx context.Context, rate float64) error {
	return f.each(ctx, func(h *Hollow) { h.setRate(rate) })
}

// inForce says how long changes took: to each ingress, and until the last one had them. Some may be missing.
func (f *fleet) inForce(ctx context.Context, changes []listed) (each, last *hdrhistogram.Histogram, missing int, err error) {
	each, last = newHistogram(), newHistogram()
	logs := make([][]listed, 0, len(f.hollows))
	if err := f.each(ctx, func(h *Hollow) { logs = append(logs, append([]listed{}, h.log...)) }); err != nil {
		return nil, nil, 0, err
	}
	for _, c := range changes {
		slowest, all := time.Duration(0), true
		for _, log := range logs {
			took, ok := heard(log, c)
			if !ok {
				missing++
				all = false
				continue
			}
			slowest = max(slowest, took)
			each.RecordValue(int64(min(max(took, 1), longestTime))) // always within its bounds
		}
		if all {
			last.RecordValue(int64(min(max(slowest, 1), longestTime)))
		}
	}
	return each, last, missing, nil
}

// heard is how long after the change the first list came that holds it.
func heard(log []listed, c listed) (time.Duration, bool) {
	for _, l := range log {
		if l.rev >= c.rev {
			return l.at.Sub(c.at), true
		}
	}
	return 0, false
}

// bytesEach is the state of one ingress: heap and stacks, with those of its two clients.
func (f *fleet) bytesEach() float64 {
	now := heapInUse()
	runtime.KeepAlive(f)
	return max(0, float64(now)-float64(f.state)) / float64(len(f.hollows))
}
