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

	"larchwick/internal/ingress"
	"larchwick/internal/standin"
)

const (
	compareWork     = 5 * time.Millisecond // of every request, so that the rest of its time is what was added
	compareTime     = 8 * time.Second
	compareIdle     = 4 * time.Second
	compareSettle   = 3 * time.Second
	directTime      = 3 * time.Second
	readyTime       = 15 * time.Second
	endTime         = 5 * time.Second // from SIGTERM on: the longest deadline and more
	realCores       = 2
	realMemoryMB    = 256
	realSockets     = 4096
	backendSlots    = 1000 // none waits
	compareSweep    = "real and hollow, the same point"
	hollowOverReal  = "hollow / real"
	requestCost     = "request: processor"
	idleCost        = "idle second"
	callsPerRequest = "counter calls for a request"
	listBytesEach   = "discovery bytes for the start, each"
	stateEach       = "memory, each"
)

func (r *Run) compareSweep() []job {
	var real, hollow *Point
	n := number(float64(r.Real))
	return []job{
		{Point{Sweep: compareSweep, Label: n + " real"}, 45 * time.Second, func(ctx context.Context, p *Point) error {
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
		return errors.New("one of the two was not measured")
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
	load, err := f.during(ctx, func() error { return pause(ctx, r.shortened(compareTime)) })
	if err != nil {
		return err
	}
	added, n := f.rec.take()[addedLatency], float64(r.Real)
	r.compared(p, comparison{requests: float64(load.tally.Requests), refused: float64(load.tally.Refused),
		failed: float64(load.tally.Failed + load.tally.Unanswered), attempts: float64(load.tally.Sends),
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
	added                               func(quantile float64) float64 // ms
}

func (r *Run) compared(p *Point, c comparison) {
	requests := max(1, c.requests)
	p.add(theIngress, requestCost, "µs", c.processor.Seconds()*1e6/requests, uint64(requests))
	p.add(theIngress, idleCost, "ms", c.idle*1000, 1)
	p.add(theIngress, stateEach, "KB", c.memory/(1<<10), 1)
	p.add(theIngress, callsPerRequest, "", c.calls/requests, uint64(requests))
	p.add(theIngress, listBytesEach, "KB", c.listBytes/(1<<10), 1)
	p.add(theIngress, "added (p50)", "ms", c.added(50), uint64(requests))
	p.add(theIngress, "added (p99)", "ms", c.added(99), uint64(requests))
	p.add(theIngress, "attempts for a request", "", c.attempts/requests, uint64(requests))
	p.tell(theIngress, "refused", "%", 100*c.refused/requests)
	p.tell(theIngress, "failed or not answered", "%", 100*c.failed/requests)
	p.tell(theRun, "requests", "", c.requests)
}

// realFleet is a few real processes with stand-ins all round.
type realFleet struct {
	*standins
	dir      string
	backends []*standin.Backend
	targets  []ingress.Target
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
	direct, err := r.direct(ctx, f)
	if err != nil {
		return err
	}
	through, err := r.throughReal(ctx, f, p, &c)
	if err != nil {
		return err
	}
	c.added = func(q float64) float64 {
		return float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1e6
	}
	r.compared(p, c)
	p.note("added is what clients see beyond the backend's %v, less what they see of backends called directly"+
		" (p50 %.2f ms, p99 %.2f ms); memory is resident", compareWork, float64(direct.ValueAtQuantile(50))/1e6,
		float64(direct.ValueAtQuantile(99))/1e6)
	return nil
}

// throughReal plays clients at all real ingresses: first unmeasured, then measured.
func (r *Run) throughReal(ctx context.Context, f *realFleet, p *Point, c *comparison) (*hdrhistogram.Histogram, error) {
	all := newHistogram()
	var callers []*clients
	for i, in := range f.ingress {
		cl := newClients(in.addr, i+1)
		defer cl.close()
		callers = append(callers, cl)
	}
	play := func(d time.Duration, round uint64) {
		var out sync.WaitGroup
		for i, cl := range callers {
			rng := rand.New(rand.NewPCG(r.Seed, uint64(i)<<8|round))
			out.Go(func() { cl.play(ctx, rng, r.compareShape().tenantsOf(i), r.Rate, d, compareWork) })
		}
		out.Wait()
	}
	play(r.shortened(compareSettle), 0)
	sum := func() (requests, refused, failed, wrong float64) {
		for _, cl := range callers {
			requests += float64(cl.requests)
			refused += float64(cl.refused.Load())
			failed += float64(cl.failed.Load())
			wrong += float64(cl.wrong.Load())
		}
		return
	}
	for _, cl := range callers {
		cl.beyond.Reset()
	}
	r0, b0, f0, _ := sum()
	counter, err := f.counter.tell(order{Do: "report"})
	if err != nil {
		return nil, err
	}
	before, err := f.processor()
	if err != nil {
		return nil, err
	}
	attempts := f.attempts()
	play(r.shortened(compareTime), 1)
	after, err := f.processor()
	if err != nil {
		return nil, err
	}
	counted, err := f.counter.tell(order{Do: "report"})
	if err != nil {
		return nil, err
	}
	r1, b1, f1, wrong := sum()
	for _, in := range f.ingress {
		c.memory += float64(resident(in.cmd.Process.Pid)) / float64(len(f.ingress))
	}
	for _, cl := range callers {
		all.Merge(cl.beyond)
	}
	c.requests, c.refused, c.failed, c.processor = r1-r0, b1-b0, f1-f0, after-before
	c.attempts, c.calls = f.attempts()-attempts, float64(counted.Counter.Calls-counter.Counter.Calls)
	if wrong > 0 {
		p.note("%v requests were served with what no backend made for them", wrong)
	}
	return all, nil
}

// direct measures what clients see of a backend without an ingress.
func (r *Run) direct(ctx context.Context, f *realFleet) (*hdrhistogram.Histogram, error) {
	cl := newClients(f.targets[0].Endpoint, 0)
	defer cl.close()
	cl.play(ctx, rand.New(rand.NewPCG(r.Seed, 1<<16)), r.compareShape().tenantsOf(0), r.Rate,
		r.shortened(directTime), compareWork)
	if cl.served.Load() == 0 {
		return nil, errors.Join(ctx.Err(), errors.New("the backend answers nothing"))
	}
	return cl.beyond, nil
}

func (f *realFleet) attempts() float64 {
	n := 0
	for _, b := range f.backends {
		n += b.Stats().Attempts
	}
	return float64(n)
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
	path := filepath.Join(dir, "hitchspring")
	var said bytes.Buffer
	c, err := startChild(ctx, w, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "larchwick/cmd/hitchspring")
		cmd.Stdout, cmd.Stderr = &said, &said
		return cmd
	})
	if err == nil {
		<-c.over
		err = c.err
	}
	if err != nil {
		line, _, _ := strings.Cut(strings.TrimSpace(said.String()), "\n")
		return "", fmt.Errorf("building hitchspring (--binary names one that is built): %w: %s", err, line)
	}
	return path, nil
}

func (f *realFleet) startBackends() error {
	for i := range liveBackends {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("backends: %w", err)
		}
		b := standin.NewBackend(standin.BackendConfig{Slots: backendSlots, Reports: true, Seed: uint64(i),
			Work: func(*rand.Rand) time.Duration { return compareWork }})
		f.backends = append(f.backends, b)
		f.targets = append(f.targets, ingress.Target{UID: fmt.Sprintf("s-%06d", i), Endpoint: ln.Addr().String(),
			Zone: zoneName(i), Model: "m1", Group: i / 16, State: "SERVING", Capacity: 1})
		go b.Serve(ln) // until Close
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
		return nil, fmt.Errorf("starting hitchspring: %w", err)
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
			return fmt.Errorf("hitchspring ended: %v: %s", in.err, lastOf(in.errs.String()))
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
	return fmt.Errorf("hitchspring is not ready after %v", readyTime)
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
	if f.dir != "" {
		os.RemoveAll(f.dir) // a folder of the system's for such
	}
}
