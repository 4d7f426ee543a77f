package scale

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	measureTimeLimit    = 8 * time.Second  // of a point's requests, in real time
	warmUpTimeLimit     = 3 * time.Second  // before, unmeasured
	warmUpSpan          = 20 * time.Second // the same on the driven clock, at most
	measureSpan         = 60 * time.Second // of the requests measured, at most
	idleSpan            = 10 * time.Second
	sampledIngresses    = 3 // ingresses of the fleet that are measured, spread over its numbers
	drivenChanges       = 50
	listTimeout         = 8 * time.Second // for a list, until it counts as not taken
	maxListSamples      = 5
	maxListSamplingTime = 2 * time.Second // for more samples of a list
	eventsPerClockCheck = 8               // events between two looks at the real clock
)

// whileTimeLeft is true while the time lasts and the run goes on.
func whileTimeLeft(ctx context.Context, d time.Duration) func() bool {
	end, n := time.Now().Add(d), 0
	return func() bool {
		n++
		return n%eventsPerClockCheck != 0 || time.Now().Before(end) && ctx.Err() == nil
	}
}

// drivenUsage is what driven ingresses took.
type drivenUsage struct {
	span       time.Duration // on the driven clock
	threadCPU  time.Duration // of the thread, without the collector's
	processCPU time.Duration // of the process
	tally      Tally
}

// measure lets a hollow ingress play for a while and measures the thread that it runs on.
func (h *HollowIngress) measure(ctx context.Context, span, budget time.Duration) drivenUsage {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from, thread, process, tally := h.now, cpuTime(thisThread), cpuTime(wholeProcess), h.tally
	h.Advance(span, whileTimeLeft(ctx, budget))
	return drivenUsage{h.now - from, cpuTime(thisThread) - thread, cpuTime(wholeProcess) - process, h.tally.minus(tally)}
}

// coreShare is the part of a core that the ingress takes.
func (c drivenUsage) coreShare() float64 { return c.threadCPU.Seconds() / max(1e-9, c.span.Seconds()) }

func (c drivenUsage) plus(d drivenUsage) drivenUsage {
	return drivenUsage{c.span + d.span, c.threadCPU + d.threadCPU, c.processCPU + d.processCPU, c.tally.plus(d.tally)}
}

func (r *Run) backendJobs() []job {
	var list []job
	for _, n := range r.Backends {
		list = append(list, job{Point{Sweep: "backends", Label: formatNumber(float64(n)), Against: "backends", Size: float64(n)},
			15 * time.Second, func(ctx context.Context, p *Point) error { return r.measureBackends(ctx, p, n) }})
	}
	return list
}

// measureBackends measures ingresses of the whole fleet, one after another, before so many backends.
func (r *Run) measureBackends(ctx context.Context, p *Point, n int) error {
	shape := FleetShape{Ingresses: r.Fleet, Tenants: liveTenants, Rate: r.Rate}
	back := NewBackendModel(n, r.Rate*float64(r.Fleet), meanServiceTime, true)
	if err := r.addListFigures(ctx, p, shape, back); err != nil {
		return err
	}
	targets, rec := back.targets(), NewRecorder()
	var sum, idle drivenUsage
	var times, ticks, changes [metricCount]*hdrhistogram.Histogram
	ingresses := min(sampledIngresses, r.Fleet)
	for i := range ingresses {
		h, err := NewHollowIngress(shape, i*r.Fleet/ingresses, back, rec, r.Seed)
		if err != nil {
			return err
		}
		before := memoryInUse()
		h.LoadEndpoints(targets)
		if i == 0 {
			state := max(0, float64(memoryInUse())-float64(before))
			p.add(roleIngress, "state of the module's list", "MB", state/(1<<20), 1)
		}
		part := func(d time.Duration) time.Duration { return r.scaled(d) / time.Duration(ingresses) }
		h.setRate(r.Rate)
		h.Advance(warmUpSpan, whileTimeLeft(ctx, part(warmUpTimeLimit)))
		lists := rec.drain()
		if i == 0 {
			p.addHistogram(roleIngress, "list handled", "ms", time.Millisecond, lists[metricSnapshot], 50)
		}
		sum = sum.plus(h.measure(ctx, measureSpan, part(measureTimeLimit)))
		times = mergeHistograms(times, rec.drain())
		h.setRate(0)
		h.Advance(5*time.Second, whileTimeLeft(ctx, part(warmUpTimeLimit))) // what is out ends
		rec.drain()
		idle = idle.plus(h.measure(ctx, idleSpan, part(warmUpTimeLimit)))
		ticks = mergeHistograms(ticks, rec.drain())
		for k := 0; k < drivenChanges && ctx.Err() == nil; k++ {
			h.applyUpdate(newChange(int64(k), back.toggleDraining(k)))
		}
		changes = mergeHistograms(changes, rec.drain())
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	r.addRequestFigures(p, sum, times)
	p.excludeFromFit(figureCounterCalls) // the more backends, the fewer requests are played: first leases are a part of them
	p.addHistogram(roleIngress, "change handled", "µs", time.Microsecond, changes[metricChange], 50)
	addModuleIdleFigure(p, idle, ticks)
	return nil
}

func mergeHistograms(a, b [metricCount]*hdrhistogram.Histogram) [metricCount]*hdrhistogram.Histogram {
	for k, h := range a {
		if h != nil {
			b[k].Merge(h)
		}
	}
	return b
}

// addRequestFigures are those of requests on a driven clock.
func (r *Run) addRequestFigures(p *Point, c drivenUsage, times [metricCount]*hdrhistogram.Histogram) {
	requests := float64(c.tally.Requests)
	if requests == 0 {
		p.addNote("no request was played in its time")
		return
	}
	handled := 0.0
	for _, k := range []metric{metricArrival, metricAttemptEnd, metricCounterReply} {
		handled += times[k].Mean() * float64(times[k].TotalCount())
	}
	p.add(roleIngress, "request, in the module", "µs", handled/1000/requests, c.tally.Requests)
	p.addHistogram(roleIngress, "arrival handled", "µs", time.Microsecond, times[metricArrival], 50)
	p.addHistogram(roleIngress, "answer handled", "µs", time.Microsecond, times[metricAttemptEnd], 50)
	p.addHistogram(roleIngress, "tick handled", "µs", time.Microsecond, times[metricTimer], 50)
	p.add(roleIngress, fmt.Sprintf("core at %s requests a second", formatNumber(r.Rate)), "%",
		100*c.coreShare(), c.tally.Requests)
	p.addHistogram(roleIngress, "added, no socket (p99)", "ms", time.Millisecond, times[metricAddedLatency], 99)
	p.add(roleIngress, figureCounterCalls, "", float64(c.tally.CounterCalls)/requests, c.tally.Requests)
	p.addUnfitted(roleIngress, "attempts for a request", "", float64(c.tally.Attempts)/requests)
	p.addUnfitted(roleIngress, "refused", "%", 100*float64(c.tally.Rejected)/requests)
	p.addUnfitted(roleIngress, "not answered", "", float64(c.tally.Unanswered))
	p.addUnfitted(roleRun, "requests played", "", requests)
}

// lastLogLine keeps what was logged last.
type lastLogLine struct {
	mu   sync.Mutex
	text string
}

func (l *lastLogLine) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = strings.TrimSpace(string(p))
	return len(p), nil
}

// dropTimeAndLevel leaves out when and how loud: a note is of its point.
func dropTimeAndLevel(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
		return slog.Attr{}
	}
	return a
}

func (l *lastLogLine) line() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

// addListFigures takes the whole list through the real client, from a stand-in of discovery. A list that is not taken is
// a finding; the module then gets it as a configuration would bring it.
func (r *Run) addListFigures(ctx context.Context, p *Point, s FleetShape, back *BackendModel) error {
	set, err := s.policySettings(0)
	if err != nil {
		return err
	}
	d, err := startStandIn(ctx, r.monitor, roleDiscovery, standInCommand{})
	if err != nil {
		return err
	}
	defer d.stop()
	if _, err := d.call(standInCommand{Do: "list", Targets: back.targets()}); err != nil {
		return err
	}
	from, err := d.call(standInCommand{Do: "report"})
	if err != nil {
		return err
	}
	var taken []listFetch
	for end := time.Now().Add(maxListSamplingTime); len(taken) < maxListSamples && (len(taken) == 0 || time.Now().Before(end)); {
		limit, cancel := context.WithTimeout(ctx, listTimeout)
		l, warning := fetchList(limit, clientConfig{discoveryAddr: d.addr, settings: set})
		cancel()
		if l.endpoints == 0 {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.addNote("list not taken within %v: %s", listTimeout, warning)
			break
		}
		taken = append(taken, l)
	}
	to, err := d.call(standInCommand{Do: "heap"})
	if err != nil {
		return err
	}
	p.add(roleDiscovery, "state", "MB", float64(to.Heap)/(1<<20), 1)
	p.addUnfitted(roleIngress, "list taken", "of 1", float64(min(1, len(taken))))
	if len(taken) == 0 {
		return nil
	}
	n := uint64(len(taken))
	median := func(name, unit string, of func(listFetch) float64) {
		var v []float64
		for _, l := range taken {
			v = append(v, of(l))
		}
		slices.Sort(v)
		p.add(roleIngress, "list taken: "+name, unit, v[len(v)/2], n)
	}
	median("processor", "ms", func(l listFetch) float64 { return l.cpuTime.Seconds() * 1000 })
	median("time", "ms", func(l listFetch) float64 { return l.duration.Seconds() * 1000 })
	median("allocated", "MB", func(l listFetch) float64 { return float64(l.allocated) / (1 << 20) })
	p.addUnfitted(roleIngress, "list taken: held", "backends", float64(taken[0].endpoints))
	p.add(roleDiscovery, "list: bytes", "MB", float64(to.Discovery.Bytes-from.Discovery.Bytes)/float64(n)/(1<<20), n)
	p.add(roleDiscovery, "list: processor", "ms", (to.CPUTime-from.CPUTime).Seconds()*1000/float64(n), n)
	return nil
}

// listFetch is what a whole list cost an ingress.
type listFetch struct {
	endpoints         int
	duration, cpuTime time.Duration
	allocated         uint64
}

// fetchList starts the real client and waits for its first whole list; when ctx ends without one it returns what the
// client said instead.
func fetchList(ctx context.Context, cfg clientConfig) (listFetch, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var said lastLogLine
	lists := make(chan endpointUpdate)
	post := func(ev clientEvent) {
		if update, ok := ev.(endpointUpdate); ok && update.isSnapshot() {
			select {
			case lists <- update:
			case <-ctx.Done():
			}
		}
	}
	clients := newControlClients(cfg, post, slog.New(slog.NewTextHandler(&said, &slog.HandlerOptions{ReplaceAttr: dropTimeAndLevel})))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, processor := time.Now(), cpuTime(wholeProcess)
	over := make(chan struct{})
	go func() {
		defer close(over)
		clients.run(ctx)
	}()
	var l listFetch
	select {
	case list := <-lists:
		l = listFetch{endpoints: list.size(), duration: time.Since(began), cpuTime: cpuTime(wholeProcess) - processor}
		runtime.ReadMemStats(&after)
		l.allocated = after.TotalAlloc - before.TotalAlloc
	case <-ctx.Done():
	}
	cancel()
	<-over
	return l, said.line()
}

// addModuleIdleFigure is what the ticks of a second take: too little for the thread's own clock, which moves in coarser steps.
func addModuleIdleFigure(p *Point, c drivenUsage, times [metricCount]*hdrhistogram.Histogram) {
	tick := float64(times[metricTimer].ValueAtQuantile(50)) / 1e6
	second := float64(c.tally.TimerEvents) / max(1e-9, c.span.Seconds())
	p.add(roleIngress, "idle second, in the module", "ms", tick*second, c.tally.TimerEvents)
}

func (r *Run) tenantJobs() []job {
	var list []job
	for _, n := range r.Tenants {
		list = append(list, job{Point{Sweep: "tenants of an ingress", Label: formatNumber(float64(n)), Against: "tenants"},
			10 * time.Second, func(ctx context.Context, p *Point) error { return r.measureTenants(ctx, p, n) }})
	}
	return list
}

// measureTenants measures one ingress of the whole fleet by how many tenants come through it.
func (r *Run) measureTenants(ctx context.Context, p *Point, n int) error {
	shape := FleetShape{Ingresses: r.Fleet, Tenants: n, Rate: r.Rate}
	back, rec := NewBackendModel(liveBackends, r.Rate*float64(r.Fleet), meanServiceTime, true), NewRecorder()
	h, err := NewHollowIngress(shape, r.Fleet/2, back, rec, r.Seed)
	if err != nil {
		return err
	}
	p.Size = float64(len(h.tenants)) // sets are whole, so that it is not just what was asked for
	h.LoadEndpoints(back.targets())
	before := memoryInUse()
	h.setRate(r.Rate)
	h.Advance(warmUpSpan, whileTimeLeft(ctx, r.scaled(warmUpTimeLimit)))
	rec.drain()
	sum := h.measure(ctx, 2*measureSpan, r.scaled(measureTimeLimit))
	times := rec.drain()
	h.setRate(0)
	h.Advance(5*time.Second, whileTimeLeft(ctx, r.scaled(warmUpTimeLimit)))
	rec.drain()
	idle := h.measure(ctx, idleSpan, r.scaled(warmUpTimeLimit))
	ticks := rec.drain()
	clear(h.counterTotals) // the counter's, not the ingress's
	h.counterTotals = map[string]float64{}
	state := max(0, float64(memoryInUse())-float64(before))
	if err := ctx.Err(); err != nil {
		return err
	}
	p.addUnfitted(roleIngress, "tenants", "", p.Size)
	p.add(roleIngress, "state of the tenants", "MB", state/(1<<20), 1)
	p.addUnfitted(roleIngress, "state of a tenant", "bytes", state/float64(len(h.tenants)))
	r.addRequestFigures(p, sum, times)
	addModuleIdleFigure(p, idle, ticks)
	return nil
}
