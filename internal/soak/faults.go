package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/faults"
	"lemontack/internal/standin"
)

const (
	partitionShare = 0.6             // of the backends that a network partition cuts a segment off from
	minDrain       = 2 * time.Second // of a backend, besides the duration of the fault: longer than maxSendAfterDrain
	idleConns      = 40              // that are opened at once

	// A slow proxy waits for less than proxyDelayLimitMS milliseconds before each piece of minProxyPiece bytes or more.
	proxyDelayLimitMS = 30
	minProxyPiece     = 20
	proxyPieceSpread  = 200
)

// faults returns the kinds of faults; the draw is uniform, so that one that stands twice is twice as frequent. Their order
// is part of what a seed means.
func (fi *faultInjector) faults() []fault {
	return []fault{
		{"backend silent", fi.proxyMode(faults.Silent)},
		{"backend down", fi.proxyMode(faults.Refuse)},
		{"backend connections reset", fi.resetConnections},
		{"backend slow to reach", fi.delayBackend},
		{"backend hangs", fi.backendMode(modeHanging)},
		{"backend fails", fi.backendMode(modeFailing)},
		{"backend drains", fi.drainBackend},
		{"network partition", fi.partition},
		{"counter silent", fi.counterState(standin.Silent)},
		{"counter down", fi.counterState(standin.Down)},
		{"discovery silent", fi.discoveryState(standin.Silent)},
		{"discovery down", fi.discoveryState(standin.Down)},
		{"watches silent", fi.disruptWatches(func(d *discovery) { d.SilenceWatches() })},
		{"watches broken", fi.disruptWatches(func(d *discovery) { d.DisconnectWatches() })},
		{"ingress stalled", fi.stall},
		{"ingress stalled", fi.stall},
		{"ingress frozen", fi.freeze},
		{"idle clients", fi.connectIdleClients},
		{"ingress restarted", fi.restart},
		{"ingress killed", fi.kill},
		{"configuration reloaded", fi.reload},
	}
}

func (fi *faultInjector) pickProcess(rng *rand.Rand) *ingressProcess {
	return fi.processes[rng.IntN(len(fi.processes))]
}

// delayProxy changes how a proxy forwards for a while, and records that it delays its backend's traffic.
func (fi *faultInjector) delayProxy(ctx context.Context, segment, i int, duration time.Duration, begin, end func(*faults.Proxy)) {
	fi.cluster.disruptions.delayed(segment, i)
	begin(fi.cluster.proxies[segment][i])
	sleep(ctx, duration)
	end(fi.cluster.proxies[segment][i])
	fi.cluster.disruptions.delayed(segment, i)
}

// setProxyMode puts a proxy into a mode for a while.
func (fi *faultInjector) setProxyMode(ctx context.Context, segment, i int, duration time.Duration, mode faults.Mode) {
	fi.delayProxy(ctx, segment, i, duration,
		func(p *faults.Proxy) { p.SetMode(mode) }, func(p *faults.Proxy) { p.SetMode(faults.Pass) })
}

func (fi *faultInjector) proxyMode(mode faults.Mode) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		fi.setProxyMode(ctx, rng.IntN(segmentCount), rng.IntN(backendCount), duration, mode)
	}
}

func (fi *faultInjector) resetConnections(_ context.Context, rng *rand.Rand, _ time.Duration) {
	fi.cluster.proxies[rng.IntN(segmentCount)][rng.IntN(backendCount)].ResetConnections()
}

// delayBackend makes a proxy forward in small pieces with delays between them.
func (fi *faultInjector) delayBackend(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	delay, piece := time.Duration(rng.IntN(proxyDelayLimitMS))*time.Millisecond, minProxyPiece+rng.IntN(proxyPieceSpread)
	fi.delayProxy(ctx, rng.IntN(segmentCount), rng.IntN(backendCount), duration,
		func(p *faults.Proxy) { p.SetThrottle(delay, piece) }, func(p *faults.Proxy) { p.SetThrottle(0, 0) })
}

// partition cuts one segment off from a part of the backends.
func (fi *faultInjector) partition(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	segment := rng.IntN(segmentCount)
	var cut sync.WaitGroup
	for i := range backendCount {
		if rng.Float64() < partitionShare {
			cut.Go(func() { fi.setProxyMode(ctx, segment, i, duration, faults.Silent) })
		}
	}
	cut.Wait()
}

func (fi *faultInjector) backendMode(mode backendMode) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		b := fi.cluster.backends[rng.IntN(backendCount)]
		b.setMode(mode)
		sleep(ctx, duration)
		b.setMode(modeServing)
	}
}

// drainBackend drains one of the first half of the backends, so that some always serve.
func (fi *faultInjector) drainBackend(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	i := rng.IntN(backendCount / 2)
	fi.cluster.setState(i, stateDraining)
	sleep(ctx, duration+minDrain)
	fi.cluster.setState(i, stateServing)
}

func (fi *faultInjector) counterState(s standin.ServiceState) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *rand.Rand, duration time.Duration) {
		fi.cluster.counter.SetState(s)
		sleep(ctx, duration)
		fi.cluster.counter.SetState(standin.Up)
	}
}

func (fi *faultInjector) discoveryState(s standin.ServiceState) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		segment := rng.IntN(segmentCount)
		fi.cluster.disruptions.discoveryDisrupted(segment)
		fi.cluster.discovery[segment].SetState(s)
		sleep(ctx, duration)
		fi.cluster.discovery[segment].SetState(standin.Up)
		fi.cluster.disruptions.discoveryDisrupted(segment)
	}
}

func (fi *faultInjector) disruptWatches(disrupt func(*discovery)) func(context.Context, *rand.Rand, time.Duration) {
	return func(_ context.Context, rng *rand.Rand, _ time.Duration) {
		segment := rng.IntN(segmentCount)
		fi.cluster.disruptions.discoveryDisrupted(segment)
		disrupt(fi.cluster.discovery[segment])
	}
}

// stall stops a process for no longer than the protocol lets a machine not run it.
func (fi *faultInjector) stall(_ context.Context, rng *rand.Rand, _ time.Duration) {
	fi.stop(fi.pickProcess(rng), time.Duration(rng.Int64N(int64(maxStall*9/10))))
}

// freeze stops a process for longer than the protocol lets a machine not run it: its times are not checked then, all else is.
func (fi *faultInjector) freeze(_ context.Context, rng *rand.Rand, duration time.Duration) {
	fi.stop(fi.pickProcess(rng), duration)
}

// stop stops a process for a time, unless it is being stopped, restarted or reconfigured.
func (fi *faultInjector) stop(p *ingressProcess, duration time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	from := time.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	if to := time.Now(); to.Sub(from) > maxStall {
		fi.checker.stalls.ingressFrozen(p.index, interval{from, to})
	}
}

// connectIdleClients keeps connections open that say nothing.
func (fi *faultInjector) connectIdleClients(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	p := fi.pickProcess(rng)
	var open []net.Conn
	for range idleConns {
		if nc, err := p.dial(); err == nil {
			open = append(open, nc)
		}
	}
	sleep(ctx, duration)
	for _, nc := range open {
		nc.Close()
	}
}

func (fi *faultInjector) restart(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	fi.replace(ctx, fi.pickProcess(rng), (*ingressProcess).terminate)
}

func (fi *faultInjector) kill(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	fi.replace(ctx, fi.pickProcess(rng), (*ingressProcess).kill)
}

// replace ends a process and starts it again, also if ctx has ended meanwhile.
func (fi *faultInjector) replace(ctx context.Context, p *ingressProcess, end func(*ingressProcess)) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	end(p)
	if err := p.start(); err != nil {
		fi.checker.violations.report(Crashed, p.index, "start: %v", err)
		return
	}
	if err := p.awaitReady(context.WithoutCancel(ctx)); err != nil {
		fi.checker.violations.report(Crashed, p.index, "%v", err)
	}
}

// reload moves an ingress to the other addresses of discovery and the counter.
func (fi *faultInjector) reload(_ context.Context, rng *rand.Rand, _ time.Duration) {
	p := fi.pickProcess(rng)
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	fi.cluster.disruptions.discoveryDisrupted(p.segment)
	p.reloads++
	if err := p.writeConfig(); err != nil {
		fi.checker.violations.report(Crashed, p.index, "write configuration: %v", err)
		return
	}
	p.signal(syscall.SIGHUP)
}
