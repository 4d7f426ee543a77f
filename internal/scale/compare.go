package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemontack/internal/discovery"
	"lemontack/internal/standin"
)

const (
	compareWork    = 5 * time.Millisecond // of every request, so that the rest of its time is what was added
	compareTime    = 8 * time.Second
	compareIdle    = 4 * time.Second
	compareSettle  = 3 * time.Second
	readyTime      = 15 * time.Second
	endTime        = 5 * time.Second // from SIGTERM on: the longest deadline and more
	realCores      = 2
	realMemoryMB   = 256
	realSockets    = 4096
	backendSlots   = 1000 // none waits
	compareSweep   = "real and hollow, the same point"
	hollowOverReal = "hollow / real"
	requestCost    = "request: processor"
	idleCost       = "idle second"
	listBytesEach  = "discovery bytes for the start, each"
	stateEach      = "memory, each"
)

func (r *Run) compareSweep() []job {
	var real, hollow *Point
	n := number(float64(r.Real))
	return []job{
		{Point{Sweep: compareSweep, Label: n + " real"}, 35 * time.Second, func(ctx context.Context, p *Point) error {
			real = p
			return r.realPoint(ctx, p)
		}},
		{Point{Sweep: compareSweep, Label: n + " hollow"}, 20 * time.Second, func(ctx context.Context, p *Point) error {
			hollow = p
			return r.hollowPoint(ctx, p)
		}},
		{Point{Sweep: compareSweep, Label: hollowOverReal}, 0, func(_ context.Context, p *Point) error {
			return ratios(p, real, hollow)
		}}}
}

// ratios says what part of a real ingress's figures a hollow one shows.
func ratios(p, real, hollow *Point) error {
	if real == nil || hollow == nil || real.Skipped != "" || hollow.Skipped != "" {
		p.Skipped = "one of the two was not measured"
		return nil
	}
	for _, f := range real.Figures {
		if g, ok := hollow.find(f.Role, f.Name); ok && g.Unit == f.Unit && f.Value != 0 {
			p.tell(f.Role, f.Name, f.Unit, g.Value/f.Value)
		}
	}
	return nil
}

func (r *Run) compareShape() Shape {
	return Shape{Ingresses: r.Real, Tenants: liveTenants, Rate: r.Rate}
}

// hollowPoint measures hollow ingresses at the point at which the real ones are measured.
func (r *Run) hollowPoint(ctx context.Context, p *Point) error {
	back := NewBackends(liveBackends, r.Rate*float64(r.Real), meanWork, false)
	back.slots = backendSlots
	back.work = func(*rand.Rand) time.Duration { return compareWork }
	f, err := startFleet(ctx, r.watch, r.compareShape(), back, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	listed, err := f.discovery.tell(order{Do: "report"})
	if err != nil {
		return err
	}
	idle, err := f.during(ctx, func() error { return pause(ctx, r.shortened(compareIdle)) })
	if err != nil {
		return err
	}
	if err := f.setRate(ctx, r.Rate); err != nil {
		return err
	}
	if err := pause(ctx, r.shortened(compareSettle)); err != nil {
		return err
	}
	f.rec.take()
	sent := back.sent()
	load, err := f.during(ctx, func() error { return pause(ctx, r.shortened(compareTime)) })
	if err != nil {
		return err
	}
	added, n := f.rec.take()[addedLatency], float64(r.Real)
	_, busiest := spreadOf(sent, back.sent())
	r.compared(p, comparison{requests: float64(load.tally.Requests), refused: float64(load.tally.Refused),
		failed: float64(load.tally.Failed + load.tally.Unanswered), attempts: float64(load.tally.Sends), busiest: busiest,
		idle: idle.processor.Seconds() / idle.seconds / n, processor: load.processor, calls: load.calls,
		listBytes: float64(listed.Discovery.Bytes) / n, memory: f.bytesEach(),
		added: func(q float64) float64 { return float64(added.ValueAtQuantile(q)) / 1e6 }})
	p.note("memory is heap and stacks; added is from the arrival to the first attempt")
	return nil
}

// comparison is what both kinds of ingress are compared by.
type comparison struct {
	requests, refused, failed, attempts float64
	idle                                float64 // processor seconds a second, each
	processor                           time.Duration
	calls, listBytes, memory            float64
	busiest                             float64                        // backend's attempts, in the mean of all
	added                               func(quantile float64) float64 // ms
}

func (r *Run) compared(p *Point, c comparison) {
	requests := max(1, c.requests)
	p.add(theIngress, requestCost, "µs", c.processor.Seconds()*1e6/requests, uint64(requests))
	p.add(theIngress, idleCost, "ms", c.idle*1000, 1)
	p.add(theIngress, stateEach, "KB", c.memory/(1<<10), 1)
	p.add(theIngress, counterCalls, "", c.calls/requests, uint64(requests))
	p.add(theIngress, listBytesEach, "KB", c.listBytes/(1<<10), 1)
	p.add(theIngress, "added (p50)", "ms", c.added(50), uint64(requests))
	p.add(theIngress, "added (p99)", "ms", c.added(99), uint64(requests))
	p.add(theIngress, "attempts for a request", "", c.attempts/requests, uint64(requests))
	p.add("backends", "attempts at the busiest, in means", "", c.busiest, uint64(c.attempts))
	p.tell(theIngress, "refused", "%", 100*c.refused/requests)
	p.tell(theIngress, "failed or not answered", "%", 100*c.failed/requests)
	p.tell(theRun, "requests", "", c.requests)
}

// realFleet is a few real processes with stand-ins all round.
type realFleet struct {
	*standins
	dir      string
	backends []*standin.Backend
	targets  []discovery.Entry
	direct   string // address of a further backend, on no list
	spare    *standin.Backend
	ingress  []*realIngress
}

type realIngress struct {
	*child
	addr string
	errs bytes.Buffer // standard error, read after its end
}

func (r *Run) realPoint(ctx context.Context, p *Point) error {
	f := &realFleet{}
	defer f.stop()
	if err := r.startReal(ctx, f); err != nil {
		return err
	}
	listed, err := f.discovery.tell(order{Do: "report"})
	if err != nil {
		return err
	}
	before, err := f.processor()
	if err != nil {
		return err
	}
	idleFor := r.shortened(compareIdle)
	if err := pause(ctx, idleFor); err != nil {
		return err
	}
	after, err := f.processor()
	if err != nil {
		return err
	}
	c := comparison{idle: (after - before).Seconds() / idleFor.Seconds() / float64(r.Real),
		listBytes: float64(listed.Discovery.Bytes) / float64(r.Real)}
	through, direct, err := r.throughReal(ctx, f, p, &c)
	if err != nil {
		return err
	}
	c.added = func(q float64) float64 {
		return float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1e6
	}
	r.compared(p, c)
	p.note("added is what clients see beyond the backend's %v, less what they see of a backend called directly at the"+
		" same time (p50 %.2f ms, p99 %.2f ms); memory is resident", compareWork,
		float64(direct.ValueAtQuantile(50))/1e6, float64(direct.ValueAtQuantile(99))/1e6)
	return nil
}

// mark is what real ingresses, their clients and what stands round them have done so far.
type mark struct {
	requests, refused, failed, wrong float64
	processor                        time.Duration
	calls                            int
	attempts                         []uint64 // at each backend
	conns                            float64
}

func (f *realFleet) mark(callers []*clients) (m mark, err error) {
	for _, cl := range callers {
		m.requests += float64(cl.requests)
		m.refused += float64(cl.refused.Load())
		m.failed += float64(cl.failed.Load())
		m.wrong += float64(cl.wrong.Load())
	}
	for _, b := range f.backends {
		s := b.Stats()
		m.attempts, m.conns = append(m.attempts, uint64(s.Attempts)), m.conns+float64(s.Conns)
	}
	if m.processor, err = f.processor(); err != nil {
		return m, err
	}
	report, err := f.counter.tell(order{Do: "report"})
	m.calls = report.Counter.Calls
	return m, err
}

// throughReal plays clients at all real ingresses: first unmeasured, then measured, beside others that call a backend
// directly, so that whatever else the machine does meets both.
func (r *Run) throughReal(ctx context.Context, f *realFleet, p *Point, c *comparison) (through,
	direct *hdrhistogram.Histogram, err error) {
	straight, shape := newClients(f.direct, 0), r.compareShape()
	defer straight.close()
	var callers []*clients
	for i, in := range f.ingress {
		callers = append(callers, newClients(in.addr, i+1))
		defer callers[i].close()
	}
	play := func(out *sync.WaitGroup, cl *clients, d time.Duration, round uint64) {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(cl.number)<<8|round))
		tenants := shape.tenantsOf(max(0, cl.number-1))
		out.Go(func() { cl.play(ctx, rng, tenants, r.Rate, r.shortened(d), compareWork) })
	}
	var settling, playing sync.WaitGroup
	for _, cl := range callers {
		play(&settling, cl, compareSettle, 0)
	}
	settling.Wait()
	for _, cl := range callers {
		cl.beyond.Reset()
	}
	before, err := f.mark(callers)
	if err != nil {
		return nil, nil, err
	}
	for _, cl := range append(callers, straight) {
		play(&playing, cl, compareTime, 1)
	}
	playing.Wait()
	after, err := f.mark(callers)
	if err != nil {
		return nil, nil, err
	}
	if straight.served.Load() == 0 {
		return nil, nil, errors.Join(ctx.Err(), errors.New("the backend answers nothing"))
	}
	c.between(before, after)
	p.tell(theIngress, "connections to backends for a request", "", (after.conns-before.conns)/max(1, c.requests))
	for _, in := range f.ingress {
		c.memory += float64(resident(in.cmd.Process.Pid)) / float64(len(f.ingress))
	}
	if after.wrong > 0 {
		p.note("%v requests were served with what no backend made for them", after.wrong)
	}
	return merge(p, callers), straight.beyond, nil
}

// merge puts the times of all together, and notes what failed.
func merge(p *Point, callers []*clients) *hdrhistogram.Histogram {
	all := newHistogram()
	for _, cl := range callers {
		all.Merge(cl.beyond)
		if cl.failure != "" {
			p.note("%d requests failed at %s, the last with %q", cl.failed.Load(), cl.addr, cl.failure)
		}
	}
	return all
}

func (c *comparison) between(before, after mark) {
	c.requests, c.refused = after.requests-before.requests, after.refused-before.refused
	c.failed, c.processor = after.failed-before.failed, after.processor-before.processor
	c.attempts, c.busiest = spreadOf(before.attempts, after.attempts)
	c.calls = float64(after.calls - before.calls)
}

// spreadOf is the sum of what came since, and the most at one backend in what each has in the mean.
func spreadOf(before, after []uint64) (sum, busiest float64) {
	for i := range after {
		n := float64(after[i] - before[i])
		sum, busiest = sum+n, max(busiest, n)
	}
	return sum, busiest / max(1, sum/float64(len(after)))
}

func (f *realFleet) processor() (time.Duration, error) {
	var sum time.Duration
	for _, in := range f.ingress {
		d, err := processorTime(in.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// startReal starts backends, discovery, the counter and the real ingresses, and waits until these answer.
func (r *Run) startReal(ctx context.Context, f *realFleet) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "scalerun-"); err != nil {
		return err
	}
	binary := r.Binary
	if binary == "" {
		if binary, err = build(ctx, r.watch, f.dir); err != nil {
			return err
		}
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if f.standins, err = startStandins(ctx, r.watch, r.compareShape()); err != nil {
		return err
	}
	if _, err := f.discovery.tell(order{Do: "list", Targets: asStandin(f.targets)}); err != nil {
		return err
	}
	for me := range r.Real {
		in, err := r.startIngress(ctx, f, binary, me)
		if err != nil {
			return err
		}
		f.ingress = append(f.ingress, in)
	}
	for _, in := range f.ingress {
		if err := in.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

func build(ctx context.Context, w *watcher, dir string) (string, error) {
	path := filepath.Join(dir, "ingress")
	var said bytes.Buffer
	c, err := startChild(ctx, w, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "lemontack/cmd/ingress")
		cmd.Stdout, cmd.Stderr = &said, &said
		return cmd
	})
	if err == nil {
		<-c.over
		err = c.err
	}
	if err != nil {
		line, _, _ := strings.Cut(strings.TrimSpace(said.String()), "\n")
		return "", fmt.Errorf("building the ingress (--binary names one that is built): %w: %s", err, line)
	}
	return path, nil
}

func (f *realFleet) startBackends() error {
	for i := range liveBackends + 1 { // the last one is called directly
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("backends: %w", err)
		}
		b := standin.NewBackend(standin.BackendConfig{Slots: backendSlots, Reports: true, Seed: uint64(i),
			Work: func(*rand.Rand) time.Duration { return compareWork }})
		go b.Serve(ln) // until stop
		if i == liveBackends {
			f.direct, f.spare = ln.Addr().String(), b
			break
		}
		f.backends = append(f.backends, b)
		f.targets = append(f.targets, discovery.Entry{UID: fmt.Sprintf("s-%06d", i), Endpoint: ln.Addr().String(),
			Zone: zoneName(i), Model: "m1", Group: i / 16, State: "SERVING", Capacity: 1})
	}
	return nil
}

// startIngress writes a configuration and starts a process with it.
func (r *Run) startIngress(ctx context.Context, f *realFleet, binary string, me int) (*realIngress, error) {
	settings, err := r.compareShape().settings(me)
	if err != nil {
		return nil, err
	}
	in := &realIngress{}
	if in.addr, err = freeAddr(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(object{"listen": in.addr, "discovery": f.discovery.addr, "counter": f.counter.addr,
		"seed": fmt.Sprintf("%x", r.Seed+uint64(me)), "settings": json.RawMessage(settings),
		"limits": object{"cores": realCores, "memory_mb": realMemoryMB, "sockets": realSockets}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("ingress-%d.json", me))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	in.child, err = startChild(ctx, r.watch, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, binary)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
		cmd.Stderr = &in.errs
		return cmd
	})
	if err != nil {
		return nil, fmt.Errorf("starting the ingress: %w", err)
	}
	return in, nil
}

// freeAddr is a loopback address that nobody listens at just now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// ready waits until the ingress answers PING, as a front does.
func (in *realIngress) ready(ctx context.Context) error {
	for limit := time.Now().Add(readyTime); time.Now().Before(limit); {
		select {
		case <-in.over:
			return fmt.Errorf("the ingress ended: %v: %s", in.err, lastOf(in.errs.String()))
		default:
		}
		c := newClients(in.addr, 0)
		answer := c.ask(ctx, []byte("*1\r\n$4\r\nPING\r\n"))
		c.close()
		if answer == "+PONG" {
			return nil
		}
		if err := pause(ctx, pollEvery); err != nil {
			return err
		}
	}
	return fmt.Errorf("the ingress is not ready after %v", readyTime)
}

func lastOf(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// stop ends the ingresses as an operator does, then what stood round them.
func (f *realFleet) stop() {
	for _, in := range f.ingress {
		in.cmd.Process.Signal(syscall.SIGTERM) // one that has ended is what is wanted
	}
	for _, in := range f.ingress {
		in.await(endTime)
	}
	if f.standins != nil {
		f.standins.stop()
	}
	for _, b := range f.backends {
		b.Close()
	}
	if f.spare != nil {
		f.spare.Close()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir) // a folder of the system's for such
	}
}
