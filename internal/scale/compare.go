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

	"lemontack/internal/standin"
)

const (
	compareServiceTime    = 5 * time.Millisecond // of every request, so that the rest of its time is what was added
	compareDuration       = 8 * time.Second
	compareIdleDuration   = 4 * time.Second
	compareWarmUpDuration = 3 * time.Second
	readyTimeout          = 15 * time.Second
	shutdownTimeout       = 5 * time.Second // from SIGTERM on: the longest deadline and more
	realIngressCores      = 2
	realIngressMemoryMB   = 256
	realIngressSockets    = 4096
	compareBackendSlots   = 1000 // none waits
	compareSweepName      = "real and hollow, the same point"
	compareRatioLabel     = "hollow / real"
	figureRequestCost     = "request: processor"
	figureIdleCost        = "idle second"
	figureListBytes       = "discovery bytes for the start, each"
	figureMemory          = "memory, each"
)

func (r *Run) compareJobs() []job {
	var real, hollow *Point
	n := formatNumber(float64(r.Real))
	return []job{
		{Point{Sweep: compareSweepName, Label: n + " real"}, 35 * time.Second, func(ctx context.Context, p *Point) error {
			real = p
			return r.measureReal(ctx, p)
		}},
		{Point{Sweep: compareSweepName, Label: n + " hollow"}, 20 * time.Second, func(ctx context.Context, p *Point) error {
			hollow = p
			return r.measureHollow(ctx, p)
		}},
		{Point{Sweep: compareSweepName, Label: compareRatioLabel}, 0, func(_ context.Context, p *Point) error {
			return addRatios(p, real, hollow)
		}}}
}

// addRatios says what part of a real ingress's figures a hollow one shows.
func addRatios(p, real, hollow *Point) error {
	if real == nil || hollow == nil || real.Skipped != "" || hollow.Skipped != "" {
		p.Skipped = "one of the two was not measured"
		return nil
	}
	for _, f := range real.Figures {
		if g, ok := hollow.find(f.Role, f.Name); ok && g.Unit == f.Unit && f.Value != 0 {
			p.addUnfitted(f.Role, f.Name, f.Unit, g.Value/f.Value)
		}
	}
	return nil
}

func (r *Run) compareShape() FleetShape {
	return FleetShape{Ingresses: r.Real, Tenants: liveTenants, Rate: r.Rate}
}

// measureHollow measures hollow ingresses at the point at which the real ones are measured.
func (r *Run) measureHollow(ctx context.Context, p *Point) error {
	back := NewBackendModel(liveBackends, r.Rate*float64(r.Real), meanServiceTime, false)
	back.slots = compareBackendSlots
	back.serviceTime = func(*rand.Rand) time.Duration { return compareServiceTime }
	f, err := startLiveFleet(ctx, r.monitor, r.compareShape(), back, r.Seed)
	if err != nil {
		return err
	}
	defer f.stop()
	listed, err := f.discovery.call(standInCommand{Do: "report"})
	if err != nil {
		return err
	}
	idle, err := f.measure(ctx, func() error { return sleep(ctx, r.scaled(compareIdleDuration)) })
	if err != nil {
		return err
	}
	if err := f.setRate(ctx, r.Rate); err != nil {
		return err
	}
	if err := sleep(ctx, r.scaled(compareWarmUpDuration)); err != nil {
		return err
	}
	f.recorder.drain()
	sent := back.attemptCounts()
	load, err := f.measure(ctx, func() error { return sleep(ctx, r.scaled(compareDuration)) })
	if err != nil {
		return err
	}
	added, n := f.recorder.drain()[metricAddedLatency], float64(r.Real)
	_, busiest := attemptSpread(sent, back.attemptCounts())
	r.addComparison(p, comparison{requests: float64(load.tally.Requests), rejected: float64(load.tally.Rejected),
		failed: float64(load.tally.Failed + load.tally.Unanswered), attempts: float64(load.tally.Attempts), busiest: busiest,
		idleCPUPerSecond: idle.cpuTime.Seconds() / idle.seconds / n, cpuTime: load.cpuTime, counterCalls: load.counterCalls,
		listBytes: float64(listed.Discovery.Bytes) / n, memory: f.memoryPerIngress(),
		addedLatency: func(q float64) float64 { return float64(added.ValueAtQuantile(q)) / 1e6 }})
	p.addNote("memory is heap and stacks; added is from the arrival to the first attempt")
	return nil
}

// comparison is what both kinds of ingress are compared by.
type comparison struct {
	requests, rejected, failed, attempts float64
	idleCPUPerSecond                     float64 // processor seconds a second, each
	cpuTime                              time.Duration
	counterCalls, listBytes, memory      float64
	busiest                              float64                        // backend's attempts, in the mean of all
	addedLatency                         func(quantile float64) float64 // ms
}

func (r *Run) addComparison(p *Point, c comparison) {
	requests := max(1, c.requests)
	p.add(roleIngress, figureRequestCost, "µs", c.cpuTime.Seconds()*1e6/requests, uint64(requests))
	p.add(roleIngress, figureIdleCost, "ms", c.idleCPUPerSecond*1000, 1)
	p.add(roleIngress, figureMemory, "KB", c.memory/(1<<10), 1)
	p.add(roleIngress, figureCounterCalls, "", c.counterCalls/requests, uint64(requests))
	p.add(roleIngress, figureListBytes, "KB", c.listBytes/(1<<10), 1)
	p.add(roleIngress, "added (p50)", "ms", c.addedLatency(50), uint64(requests))
	p.add(roleIngress, "added (p99)", "ms", c.addedLatency(99), uint64(requests))
	p.add(roleIngress, "attempts for a request", "", c.attempts/requests, uint64(requests))
	p.add("backends", "attempts at the busiest, in means", "", c.busiest, uint64(c.attempts))
	p.addUnfitted(roleIngress, "refused", "%", 100*c.rejected/requests)
	p.addUnfitted(roleIngress, "failed or not answered", "%", 100*c.failed/requests)
	p.addUnfitted(roleRun, "requests", "", c.requests)
}

// realFleet is a few real processes with stand-ins all round.
type realFleet struct {
	*standIns
	dir           string
	backends      []*standin.Backend
	targets       []standin.Target
	directAddr    string // address of a further backend, on no list
	directBackend *standin.Backend
	ingresses     []*realIngress
}

type realIngress struct {
	*childProcess
	addr   string
	stderr bytes.Buffer // standard error, read after its end
}

func (r *Run) measureReal(ctx context.Context, p *Point) error {
	f := &realFleet{}
	defer f.stop()
	if err := r.startRealFleet(ctx, f); err != nil {
		return err
	}
	listed, err := f.discovery.call(standInCommand{Do: "report"})
	if err != nil {
		return err
	}
	before, err := f.cpuTime()
	if err != nil {
		return err
	}
	idleFor := r.scaled(compareIdleDuration)
	if err := sleep(ctx, idleFor); err != nil {
		return err
	}
	after, err := f.cpuTime()
	if err != nil {
		return err
	}
	c := comparison{idleCPUPerSecond: (after - before).Seconds() / idleFor.Seconds() / float64(r.Real),
		listBytes: float64(listed.Discovery.Bytes) / float64(r.Real)}
	through, direct, err := r.runRealLoad(ctx, f, p, &c)
	if err != nil {
		return err
	}
	c.addedLatency = func(q float64) float64 {
		return float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1e6
	}
	r.addComparison(p, c)
	p.addNote("added is what clients see beyond the backend's %v, less what they see of a backend called directly at the"+
		" same time (p50 %.2f ms, p99 %.2f ms); memory is resident", compareServiceTime,
		float64(direct.ValueAtQuantile(50))/1e6, float64(direct.ValueAtQuantile(99))/1e6)
	return nil
}

// realCounters is what real ingresses, their clients and what stands round them have done so far.
type realCounters struct {
	requests, rejected, failed, mismatched float64
	cpuTime                                time.Duration
	counterCalls                           int
	attempts                               []uint64 // at each backend
	backendConnections                     float64
}

func (f *realFleet) readCounters(callers []*loadGenerator) (m realCounters, err error) {
	for _, cl := range callers {
		m.requests += float64(cl.sent)
		m.rejected += float64(cl.rejected.Load())
		m.failed += float64(cl.failed.Load())
		m.mismatched += float64(cl.mismatched.Load())
	}
	for _, b := range f.backends {
		s := b.Stats()
		m.attempts, m.backendConnections = append(m.attempts, uint64(s.Attempts)), m.backendConnections+float64(s.Conns)
	}
	if m.cpuTime, err = f.cpuTime(); err != nil {
		return m, err
	}
	report, err := f.counter.call(standInCommand{Do: "report"})
	m.counterCalls = report.Counter.Calls
	return m, err
}

// runRealLoad plays clients at all real ingresses: first unmeasured, then measured, beside others that call a backend
// directly, so that whatever else the machine does meets both.
func (r *Run) runRealLoad(ctx context.Context, f *realFleet, p *Point, c *comparison) (through,
	direct *hdrhistogram.Histogram, err error) {
	straight, shape := newLoadGenerator(f.directAddr, 0), r.compareShape()
	defer straight.close()
	var callers []*loadGenerator
	for i, in := range f.ingresses {
		callers = append(callers, newLoadGenerator(in.addr, i+1))
		defer callers[i].close()
	}
	play := func(out *sync.WaitGroup, cl *loadGenerator, d time.Duration, round uint64) {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(cl.index)<<8|round))
		tenants := shape.tenantsOf(max(0, cl.index-1))
		out.Go(func() { cl.run(ctx, rng, tenants, r.Rate, r.scaled(d), compareServiceTime) })
	}
	var settling, playing sync.WaitGroup
	for _, cl := range callers {
		play(&settling, cl, compareWarmUpDuration, 0)
	}
	settling.Wait()
	for _, cl := range callers {
		cl.addedLatency.Reset()
	}
	before, err := f.readCounters(callers)
	if err != nil {
		return nil, nil, err
	}
	for _, cl := range append(callers, straight) {
		play(&playing, cl, compareDuration, 1)
	}
	playing.Wait()
	after, err := f.readCounters(callers)
	if err != nil {
		return nil, nil, err
	}
	if straight.served.Load() == 0 {
		return nil, nil, errors.Join(ctx.Err(), errors.New("the backend answers nothing"))
	}
	c.setLoad(before, after)
	p.addUnfitted(roleIngress, "connections to backends for a request", "", (after.backendConnections-before.backendConnections)/max(1, c.requests))
	for _, in := range f.ingresses {
		c.memory += float64(residentMemory(in.cmd.Process.Pid)) / float64(len(f.ingresses))
	}
	if after.mismatched > 0 {
		p.addNote("%v requests were served with what no backend made for them", after.mismatched)
	}
	return mergeAddedLatency(p, callers), straight.addedLatency, nil
}

// mergeAddedLatency puts the times of all together, and notes what failed.
func mergeAddedLatency(p *Point, callers []*loadGenerator) *hdrhistogram.Histogram {
	all := newHistogram()
	for _, cl := range callers {
		all.Merge(cl.addedLatency)
		if cl.lastError != "" {
			p.addNote("%d requests failed at %s, the last with %q", cl.failed.Load(), cl.addr, cl.lastError)
		}
	}
	return all
}

func (c *comparison) setLoad(before, after realCounters) {
	c.requests, c.rejected = after.requests-before.requests, after.rejected-before.rejected
	c.failed, c.cpuTime = after.failed-before.failed, after.cpuTime-before.cpuTime
	c.attempts, c.busiest = attemptSpread(before.attempts, after.attempts)
	c.counterCalls = float64(after.counterCalls - before.counterCalls)
}

// attemptSpread is the sum of what came since, and the most at one backend in what each has in the mean.
func attemptSpread(before, after []uint64) (sum, busiest float64) {
	for i := range after {
		n := float64(after[i] - before[i])
		sum, busiest = sum+n, max(busiest, n)
	}
	return sum, busiest / max(1, sum/float64(len(after)))
}

func (f *realFleet) cpuTime() (time.Duration, error) {
	var sum time.Duration
	for _, in := range f.ingresses {
		d, err := processCPUTime(in.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// startRealFleet starts backends, discovery, the counter and the real ingresses, and waits until these answer.
func (r *Run) startRealFleet(ctx context.Context, f *realFleet) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "scalerun-"); err != nil {
		return err
	}
	binary := r.Binary
	if binary == "" {
		if binary, err = buildIngress(ctx, r.monitor, f.dir); err != nil {
			return err
		}
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if f.standIns, err = startStandIns(ctx, r.monitor, r.compareShape()); err != nil {
		return err
	}
	if _, err := f.discovery.call(standInCommand{Do: "list", Targets: f.targets}); err != nil {
		return err
	}
	for me := range r.Real {
		in, err := r.startRealIngress(ctx, f, binary, me)
		if err != nil {
			return err
		}
		f.ingresses = append(f.ingresses, in)
	}
	for _, in := range f.ingresses {
		if err := in.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func buildIngress(ctx context.Context, w *resourceMonitor, dir string) (string, error) {
	path := filepath.Join(dir, "ingress")
	var said bytes.Buffer
	c, err := startChild(ctx, w, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "lemontack/cmd/ingress")
		cmd.Stdout, cmd.Stderr = &said, &said
		return cmd
	})
	if err == nil {
		<-c.exited
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
		b := standin.NewBackend(standin.BackendConfig{Slots: compareBackendSlots, Reports: true, Seed: uint64(i),
			Work: func(*rand.Rand) time.Duration { return compareServiceTime }})
		go b.Serve(ln) // until stop
		if i == liveBackends {
			f.directAddr, f.directBackend = ln.Addr().String(), b
			break
		}
		f.backends = append(f.backends, b)
		f.targets = append(f.targets, standin.Target{UID: fmt.Sprintf("s-%06d", i), Endpoint: ln.Addr().String(),
			Zone: zoneName(i), Model: "m1", Group: i / 16, State: "SERVING", Capacity: 1})
	}
	return nil
}

// startRealIngress writes a configuration and starts a process with it.
func (r *Run) startRealIngress(ctx context.Context, f *realFleet, binary string, me int) (*realIngress, error) {
	settings, err := r.compareShape().settings(me)
	if err != nil {
		return nil, err
	}
	in := &realIngress{}
	if in.addr, err = unusedAddr(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(object{"listen": in.addr, "discovery": f.discovery.addr, "counter": f.counter.addr,
		"seed": fmt.Sprintf("%x", r.Seed+uint64(me)), "settings": json.RawMessage(settings),
		"limits": object{"cores": realIngressCores, "memory_mb": realIngressMemoryMB, "sockets": realIngressSockets}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("ingress-%d.json", me))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	in.childProcess, err = startChild(ctx, r.monitor, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, binary)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
		cmd.Stderr = &in.stderr
		return cmd
	})
	if err != nil {
		return nil, fmt.Errorf("starting the ingress: %w", err)
	}
	return in, nil
}

// unusedAddr is a loopback address that nobody listens at just now.
func unusedAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// waitReady waits until the ingress answers PING, as a front does.
func (in *realIngress) waitReady(ctx context.Context) error {
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); {
		select {
		case <-in.exited:
			return fmt.Errorf("the ingress ended: %v: %s", in.err, lastLineOf(in.stderr.String()))
		default:
		}
		c := newLoadGenerator(in.addr, 0)
		answer := c.call(ctx, []byte("*1\r\n$4\r\nPING\r\n"))
		c.close()
		if answer == "+PONG" {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("the ingress is not ready after %v", readyTimeout)
}

func lastLineOf(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// stop ends the ingresses as an operator does, then what stood round them.
func (f *realFleet) stop() {
	for _, in := range f.ingresses {
		in.cmd.Process.Signal(syscall.SIGTERM) // one that has ended is what is wanted
	}
	for _, in := range f.ingresses {
		in.waitOrKill(shutdownTimeout)
	}
	if f.standIns != nil {
		f.standIns.stop()
	}
	for _, b := range f.backends {
		b.Close()
	}
	if f.directBackend != nil {
		f.directBackend.Close()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir) // a folder of the system's for such
	}
}
