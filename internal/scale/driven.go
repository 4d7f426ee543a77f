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

	"lemontack/internal/discovery"
)

const (
	driveBudget   = 8 * time.Second  // of a point's requests, in real time
	warmBudget    = 3 * time.Second  // before, unmeasured
	warmSpan      = 20 * time.Second // the same on the driven clock, at most
	driveSpan     = 60 * time.Second // of the requests measured, at most
	idleSpan      = 10 * time.Second
	spreadOver    = 3 // ingresses of the fleet that are measured, spread over its numbers
	changesDriven = 50
	listWait      = 8 * time.Second // for a list, until it counts as not taken
	listSamples   = 5
	listEnough    = 2 * time.Second // for more samples of a list
	checkEvery    = 8               // events between two looks at the real clock
)

// within is true while the time lasts and the run goes on.
func within(ctx context.Context, d time.Duration) func() bool {
	end, n := time.Now().Add(d), 0
	return func() bool {
		n++
		return n%checkEvery != 0 || time.Now().Before(end) && ctx.Err() == nil
	}
}

// cost is what driven ingresses took.
type cost struct {
	span      time.Duration // on the driven clock
	processor time.Duration // of the thread, without the collector's
	all       time.Duration // of the process
	tally     Tally
}

// drive lets a hollow ingress play for a while and measures the thread that it runs on.
func (h *Hollow) drive(ctx context.Context, span, budget time.Duration) cost {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from, thread, process, tally := h.now, used(thisThread), used(wholeProcess), h.tally
	h.Drive(span, within(ctx, budget))
	return cost{h.now - from, used(thisThread) - thread, used(wholeProcess) - process, h.tally.minus(tally)}
}

// busy is the part of a core that the ingress takes.
func (c cost) busy() float64 { return c.processor.Seconds() / max(1e-9, c.span.Seconds()) }

func (c cost) plus(d cost) cost {
	return cost{c.span + d.span, c.processor + d.processor, c.all + d.all, c.tally.plus(d.tally)}
}

func (r *Run) backendsSweep() []job {
	var list []job
	for _, n := range r.Backends {
		list = append(list, job{Point{Sweep: "backends", Label: number(float64(n)), Against: "backends", Size: float64(n)},
			15 * time.Second, func(ctx context.Context, p *Point) error { return r.backendsPoint(ctx, p, n) }})
	}
	return list
}

// backendsPoint measures ingresses of the whole fleet, one after another, before so many backends.
func (r *Run) backendsPoint(ctx context.Context, p *Point, n int) error {
	shape := Shape{Ingresses: r.Fleet, Tenants: liveTenants, Rate: r.Rate}
	back := NewBackends(n, r.Rate*float64(r.Fleet), meanWork, true)
	if err := r.listFigures(ctx, p, shape, back); err != nil {
		return err
	}
	targets, rec := back.targets(), NewRecorder()
	var sum, idle cost
	var times, ticks, changes [kinds]*hdrhistogram.Histogram
	ingresses := min(spreadOver, r.Fleet)
	for i := range ingresses {
		h, err := NewHollow(shape, i*r.Fleet/ingresses, back, rec, r.Seed)
		if err != nil {
			return err
		}
		before := heapInUse()
		h.Known(targets)
		if i == 0 {
			state := max(0, float64(heapInUse())-float64(before))
			p.add(theIngress, "state of the module's list", "MB", state/(1<<20), 1)
		}
		part := func(d time.Duration) time.Duration { return r.shortened(d) / time.Duration(ingresses) }
		h.setRate(r.Rate)
		h.Drive(warmSpan, within(ctx, part(warmBudget)))
		lists := rec.take()
		if i == 0 {
			p.times(theIngress, "list handled", "ms", time.Millisecond, lists[handleList], 50)
		}
		sum = sum.plus(h.drive(ctx, driveSpan, part(driveBudget)))
		times = merged(times, rec.take())
		h.setRate(0)
		h.Drive(5*time.Second, within(ctx, part(warmBudget))) // what is out ends
		rec.take()
		idle = idle.plus(h.drive(ctx, idleSpan, part(warmBudget)))
		ticks = merged(ticks, rec.take())
		for k := 0; k < changesDriven && ctx.Err() == nil; k++ {
			h.told(discovery.EndpointList{Revision: int64(k), Entries: []discovery.Entry{back.toggled(k)}})
		}
		changes = merged(changes, rec.take())
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	r.requestFigures(p, sum, times)
	p.unfit(counterCalls) // the more backends, the fewer requests are played: first leases are a part of them
	p.times(theIngress, "change handled", "µs", time.Microsecond, changes[handleChange], 50)
	idleSecond(p, idle, ticks)
	return nil
}

func merged(a, b [kinds]*hdrhistogram.Histogram) [kinds]*hdrhistogram.Histogram {
	for k, h := range a {
		if h != nil {
			b[k].Merge(h)
		}
	}
	return b
}

// requestFigures are those of requests on a driven clock.
func (r *Run) requestFigures(p *Point, c cost, times [kinds]*hdrhistogram.Histogram) {
	requests := float64(c.tally.Requests)
	if requests == 0 {
		p.note("no request was played in its time")
		return
	}
	handled := 0.0
	for _, k := range []kind{handleArrival, handleAnswer, handleReply} {
		handled += times[k].Mean() * float64(times[k].TotalCount())
	}
	p.add(theIngress, "request, in the module", "µs", handled/1000/requests, c.tally.Requests)
	p.times(theIngress, "arrival handled", "µs", time.Microsecond, times[handleArrival], 50)
	p.times(theIngress, "answer handled", "µs", time.Microsecond, times[handleAnswer], 50)
	p.times(theIngress, "tick handled", "µs", time.Microsecond, times[handleTick], 50)
	p.add(theIngress, fmt.Sprintf("core at %s requests a second", number(r.Rate)), "%",
		100*c.busy(), c.tally.Requests)
	p.times(theIngress, "added, no socket (p99)", "ms", time.Millisecond, times[addedLatency], 99)
	p.add(theIngress, counterCalls, "", float64(c.tally.Calls)/requests, c.tally.Requests)
	p.tell(theIngress, "attempts for a request", "", float64(c.tally.Sends)/requests)
	p.tell(theIngress, "refused", "%", 100*float64(c.tally.Refused)/requests)
	p.tell(theIngress, "not answered", "", float64(c.tally.Unanswered))
	p.tell(theRun, "requests played", "", requests)
}

// lastLine keeps what was logged last.
type lastLine struct {
	mu   sync.Mutex
	text string
}

func (l *lastLine) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = strings.TrimSpace(string(p))
	return len(p), nil
}

// undated leaves out when and how loud: a note is of its point.
func undated(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
		return slog.Attr{}
	}
	return a
}

func (l *lastLine) last() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

// listFigures takes the whole list through the real client, from a stand-in of discovery. A list that is not taken is
// a finding; the module then gets it as a configuration would bring it.
func (r *Run) listFigures(ctx context.Context, p *Point, s Shape, back *Backends) error {
	set, err := s.parsed(0)
	if err != nil {
		return err
	}
	d, err := startRole(ctx, r.watch, theDiscovery, order{})
	if err != nil {
		return err
	}
	defer d.stop()
	if _, err := d.tell(order{Do: "list", Targets: asStandin(back.targets())}); err != nil {
		return err
	}
	from, err := d.tell(order{Do: "report"})
	if err != nil {
		return err
	}
	var taken []listTaken
	for end := time.Now().Add(listEnough); len(taken) < listSamples && (len(taken) == 0 || time.Now().Before(end)); {
		limit, cancel := context.WithTimeout(ctx, listWait)
		l, warning := takeList(limit, clientConfig{Discovery: d.addr, Settings: set})
		cancel()
		if l.entries == 0 {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.note("list not taken within %v: %s", listWait, warning)
			break
		}
		taken = append(taken, l)
	}
	to, err := d.tell(order{Do: "heap"})
	if err != nil {
		return err
	}
	p.add(theDiscovery, "state", "MB", float64(to.Heap)/(1<<20), 1)
	p.tell(theIngress, "list taken", "of 1", float64(min(1, len(taken))))
	if len(taken) == 0 {
		return nil
	}
	n := uint64(len(taken))
	median := func(name, unit string, of func(listTaken) float64) {
		var v []float64
		for _, l := range taken {
			v = append(v, of(l))
		}
		slices.Sort(v)
		p.add(theIngress, "list taken: "+name, unit, v[len(v)/2], n)
	}
	median("processor", "ms", func(l listTaken) float64 { return l.processor.Seconds() * 1000 })
	median("time", "ms", func(l listTaken) float64 { return l.took.Seconds() * 1000 })
	median("allocated", "MB", func(l listTaken) float64 { return float64(l.allocated) / (1 << 20) })
	p.tell(theIngress, "list taken: held", "backends", float64(taken[0].entries))
	p.add(theDiscovery, "list: bytes", "MB", float64(to.Discovery.Bytes-from.Discovery.Bytes)/float64(n)/(1<<20), n)
	p.add(theDiscovery, "list: processor", "ms", (to.Processor-from.Processor).Seconds()*1000/float64(n), n)
	return nil
}

// listTaken is what a whole list cost an ingress.
type listTaken struct {
	entries         int
	took, processor time.Duration
	allocated       uint64
}

// takeList starts the real client and waits for its first whole list; when ctx ends without one it returns what the
// client said instead.
func takeList(ctx context.Context, cfg clientConfig) (listTaken, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var said lastLine
	lists := make(chan discovery.EndpointList)
	post := func(ev any) {
		if f, ok := ev.(discovery.EndpointList); ok && f.Snapshot {
			select {
			case lists <- f:
			case <-ctx.Done():
			}
		}
	}
	parts := newLiveClients(cfg, post, slog.New(slog.NewTextHandler(&said, &slog.HandlerOptions{ReplaceAttr: undated})))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, processor := time.Now(), used(wholeProcess)
	over := make(chan struct{})
	go func() {
		defer close(over)
		parts.run(ctx)
	}()
	var l listTaken
	select {
	case f := <-lists:
		l = listTaken{entries: len(f.Entries), took: time.Since(began), processor: used(wholeProcess) - processor}
		runtime.ReadMemStats(&after)
		l.allocated = after.TotalAlloc - before.TotalAlloc
	case <-ctx.Done():
	}
	cancel()
	<-over
	return l, said.last()
}

// idleSecond is what the ticks of a second take: too little for the thread's own clock, which moves in coarser steps.
func idleSecond(p *Point, c cost, times [kinds]*hdrhistogram.Histogram) {
	tick := float64(times[handleTick].ValueAtQuantile(50)) / 1e6
	second := float64(c.tally.Ticks) / max(1e-9, c.span.Seconds())
	p.add(theIngress, "idle second, in the module", "ms", tick*second, c.tally.Ticks)
}

func (r *Run) tenantsSweep() []job {
	var list []job
	for _, n := range r.Tenants {
		list = append(list, job{Point{Sweep: "tenants of an ingress", Label: number(float64(n)), Against: "tenants"},
			10 * time.Second, func(ctx context.Context, p *Point) error { return r.tenantsPoint(ctx, p, n) }})
	}
	return list
}

// tenantsPoint measures one ingress of the whole fleet by how many tenants come through it.
func (r *Run) tenantsPoint(ctx context.Context, p *Point, n int) error {
	shape := Shape{Ingresses: r.Fleet, Tenants: n, Rate: r.Rate}
	back, rec := NewBackends(liveBackends, r.Rate*float64(r.Fleet), meanWork, true), NewRecorder()
	h, err := NewHollow(shape, r.Fleet/2, back, rec, r.Seed)
	if err != nil {
		return err
	}
	p.Size = float64(len(h.tenants)) // sets are whole, so that it is not just what was asked for
	h.Known(back.targets())
	before := heapInUse()
	h.setRate(r.Rate)
	h.Drive(warmSpan, within(ctx, r.shortened(warmBudget)))
	rec.take()
	sum := h.drive(ctx, 2*driveSpan, r.shortened(driveBudget))
	times := rec.take()
	h.setRate(0)
	h.Drive(5*time.Second, within(ctx, r.shortened(warmBudget)))
	rec.take()
	idle := h.drive(ctx, idleSpan, r.shortened(warmBudget))
	ticks := rec.take()
	clear(h.totals) // the counter's, not the ingress's
	h.totals = map[string]float64{}
	state := max(0, float64(heapInUse())-float64(before))
	if err := ctx.Err(); err != nil {
		return err
	}
	p.tell(theIngress, "tenants", "", p.Size)
	p.add(theIngress, "state of the tenants", "MB", state/(1<<20), 1)
	p.tell(theIngress, "state of a tenant", "bytes", state/float64(len(h.tenants)))
	r.requestFigures(p, sum, times)
	idleSecond(p, idle, ticks)
	return nil
}
