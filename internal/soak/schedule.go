package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/faults"
	"lemontack/internal/standin"
)

const (
	faultGap     = 150 * time.Millisecond // between the beginnings of two faults, in the mean
	shortestTime = 200 * time.Millisecond // of a fault that lasts
	longestTime  = 2500 * time.Millisecond
)

// fault is one kind of trouble: it begins, lasts and ends by itself.
type fault struct {
	name string
	play func(ctx context.Context, rng *rand.Rand, lasts time.Duration)
}

// injectFaults begins one fault after another until ctx ends; they overlap. All have ended when it returns.
func (r *run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	kinds := r.faultKinds()
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(faultGap)))
		f := kinds[rng.IntN(len(kinds))]
		lasts := shortestTime + time.Duration(rng.Int64N(int64(longestTime-shortestTime)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		r.noteFault(f.name)
		all.Go(func() { f.play(ctx, own, lasts) })
	}
}

func (r *run) faultKinds() []fault {
	return []fault{
		{"backend silent", r.proxyFault(faults.Silent)},
		{"backend down", r.proxyFault(faults.Refuse)},
		{"backend connections reset", r.cutBackend},
		{"backend slow to reach", r.slowBackend},
		{"backend hangs", r.mannerFault(hanging)},
		{"backend fails", r.mannerFault(failing)},
		{"backend drains", r.drainBackend},
		{"side cut off", r.cutSide},
		{"counter silent", r.counterFault(standin.Silent)},
		{"counter down", r.counterFault(standin.Down)},
		{"discovery silent", r.discoveryFault(standin.Silent)},
		{"discovery down", r.discoveryFault(standin.Down)},
		{"watches hushed", r.watchFault(func(a *agent) { a.SilenceWatches() })},
		{"watches broken", r.watchFault(func(a *agent) { a.BreakWatches() })},
		{"ingress held up", r.holdUp},
		{"ingress held up", r.holdUp},
		{"ingress frozen", r.freeze},
		{"crowd of idle clients", r.crowd},
		{"ingress restarted", r.restart},
		{"ingress killed", r.killOne},
		{"new configuration", r.reload},
	}
}

func (r *run) anyIngress(rng *rand.Rand) *ingressProcess { return r.fleet[rng.IntN(len(r.fleet))] }

// throughProxy disturbs what a proxy carries for a while.
func (r *run) throughProxy(ctx context.Context, side, i int, lasts time.Duration, begin, end func(*faults.Proxy)) {
	r.world.disturb(side, i)
	begin(r.world.proxies[side][i])
	pause(ctx, lasts)
	end(r.world.proxies[side][i])
	r.world.disturb(side, i)
}

func (r *run) proxyFault(mode faults.Mode) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
		r.throughProxy(ctx, rng.IntN(sideCount), rng.IntN(backendCount), lasts,
			func(p *faults.Proxy) { p.SetMode(mode) }, func(p *faults.Proxy) { p.SetMode(faults.Pass) })
	}
}

func (r *run) cutBackend(_ context.Context, rng *rand.Rand, _ time.Duration) {
	r.world.proxies[rng.IntN(sideCount)][rng.IntN(backendCount)].ResetConnections()
}

func (r *run) slowBackend(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	delay, piece := time.Duration(rng.IntN(30))*time.Millisecond, 20+rng.IntN(200)
	r.throughProxy(ctx, rng.IntN(sideCount), rng.IntN(backendCount), lasts,
		func(p *faults.Proxy) { p.SetThrottle(delay, piece) }, func(p *faults.Proxy) { p.SetThrottle(0, 0) })
}

// cutSide cuts one side off from a part of the backends.
func (r *run) cutSide(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	side := rng.IntN(sideCount)
	var all sync.WaitGroup
	for i := range backendCount {
		if rng.Float64() < 0.6 {
			all.Go(func() {
				r.throughProxy(ctx, side, i, lasts, func(p *faults.Proxy) { p.SetMode(faults.Silent) },
					func(p *faults.Proxy) { p.SetMode(faults.Pass) })
			})
		}
	}
	all.Wait()
}

func (r *run) mannerFault(m manner) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
		b := r.world.backends[rng.IntN(backendCount)]
		b.setManner(m)
		pause(ctx, lasts)
		b.setManner(usual)
	}
}

// drainBackend drains one of the first half of the backends, so that some are always there.
func (r *run) drainBackend(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	i := rng.IntN(backendCount / 2)
	r.world.setState(i, stateDraining)
	pause(ctx, lasts+2*time.Second)
	r.world.setState(i, stateServing)
}

func (r *run) counterFault(s standin.State) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *rand.Rand, lasts time.Duration) {
		r.world.counter.SetState(s)
		pause(ctx, lasts)
		r.world.counter.SetState(standin.Up)
	}
}

func (r *run) discoveryFault(s standin.State) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
		side := rng.IntN(sideCount)
		r.world.vex(side)
		r.world.agents[side].SetState(s)
		pause(ctx, lasts)
		r.world.agents[side].SetState(standin.Up)
		r.world.vex(side)
	}
}

func (r *run) watchFault(breakThem func(*agent)) func(context.Context, *rand.Rand, time.Duration) {
	return func(_ context.Context, rng *rand.Rand, _ time.Duration) {
		side := rng.IntN(sideCount)
		r.world.vex(side)
		breakThem(r.world.agents[side])
	}
}

// holdUp stops a process for as long as the protocol lets machines be held up, at most.
func (r *run) holdUp(_ context.Context, rng *rand.Rand, _ time.Duration) {
	r.stopFor(r.anyIngress(rng), time.Duration(rng.Int64N(int64(heldUpMost*9/10))))
}

// stopFor stops a process for a time.
func (r *run) stopFor(p *ingressProcess, lasts time.Duration) {
	if !p.change.TryLock() {
		return
	}
	defer p.change.Unlock()
	began := time.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
	if now := time.Now(); now.Sub(began) > heldUpMost {
		r.ledger.froze(p.index, began, now)
	}
}

func (r *run) restart(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	r.anew(ctx, r.anyIngress(rng), (*ingressProcess).terminate)
}

func (r *run) killOne(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	r.anew(ctx, r.anyIngress(rng), (*ingressProcess).kill)
}

// anew ends a process and starts it again.
func (r *run) anew(ctx context.Context, p *ingressProcess, end func(*ingressProcess)) {
	if !p.change.TryLock() {
		return
	}
	defer p.change.Unlock()
	end(p)
	if err := p.start(); err != nil {
		r.ledger.violated(Crashed, p.index, "start: %v", err)
		return
	}
	if err := p.ready(context.WithoutCancel(ctx)); err != nil {
		r.ledger.violated(Crashed, p.index, "%v", err)
	}
}

// reload moves an ingress to the other addresses of discovery and the counter.
func (r *run) reload(_ context.Context, rng *rand.Rand, _ time.Duration) {
	p := r.anyIngress(rng)
	if !p.change.TryLock() {
		return
	}
	defer p.change.Unlock()
	r.world.vex(p.side)
	p.moved++
	if err := p.configure(); err != nil {
		r.ledger.violated(Crashed, p.index, "configuration: %v", err)
		return
	}
	p.signal(syscall.SIGHUP)
}
