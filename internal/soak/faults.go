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
	partitionShare = 0.6             // probability that a partitioned segment cannot reach a backend
	extraDrainTime = 2 * time.Second // addition to the duration of a drain, which has to exceed maxSendAfterDrain
	idleConnCount  = 40              // number of connections that one fault opens

	// A slow proxy waits before each chunk for less than proxyDelayLimitMS milliseconds. The maximum length of its chunks is
	// at least minProxyChunkBytes and less than minProxyChunkBytes+proxyChunkBytesSpread.
	proxyDelayLimitMS     = 30
	minProxyChunkBytes    = 20
	proxyChunkBytesSpread = 200
)

// faults returns the faults for a uniform draw; one that is listed twice is drawn twice as often. Their order must not change,
// since the faults drawn from a seed depend on it.
func (fi *faultInjector) faults() []fault {
	return []fault{
		{"backend silent", fi.proxyFault(faults.Silent)},
		{"backend down", fi.proxyFault(faults.Refusing)},
		{"backend connections reset", fi.resetConnections},
		{"backend slow to reach", fi.delayBackend},
		{"backend hangs", fi.backendFault(modeHanging)},
		{"backend fails", fi.backendFault(modeFailing)},
		{"backend drains", fi.drainBackend},
		{"network partition", fi.partition},
		{"counter silent", fi.counterFault(standin.Silent)},
		{"counter down", fi.counterFault(standin.Down)},
		{"discovery silent", fi.discoveryFault(standin.Silent)},
		{"discovery down", fi.discoveryFault(standin.Down)},
		{"watches silent", fi.watchFault(func(d *discovery) { d.SilenceWatches() })},
		{"watches broken", fi.watchFault(func(d *discovery) { d.DisconnectWatches() })},
		{"ingress stalled", fi.stall},
		{"ingress stalled", fi.stall},
		{"ingress frozen", fi.freeze},
		{"idle clients", fi.openIdleConns},
		{"ingress restarted", fi.restart},
		{"ingress killed", fi.kill},
		{"configuration reloaded", fi.reload},
	}
}

func (fi *faultInjector) pickProcess(rng *rand.Rand) *ingressProcess {
	return fi.processes[rng.IntN(len(fi.processes))]
}

// changeProxyTemporarily applies a change to a proxy, restores the proxy after duration or when ctx ends, and records that the
// proxy delays its backend's traffic.
func (fi *faultInjector) changeProxyTemporarily(ctx context.Context, segment, i int, duration time.Duration,
	apply, restore func(*faults.Proxy)) {
	fi.cluster.disruptions.recordDelay(segment, i)
	apply(fi.cluster.proxies[segment][i])
	sleep(ctx, duration)
	restore(fi.cluster.proxies[segment][i])
	fi.cluster.disruptions.recordDelay(segment, i)
}

// setProxyMode sets the mode of a proxy until duration has passed or ctx ends.
func (fi *faultInjector) setProxyMode(ctx context.Context, segment, i int, duration time.Duration, mode faults.Mode) {
	fi.changeProxyTemporarily(ctx, segment, i, duration,
		func(p *faults.Proxy) { p.SetMode(mode) }, func(p *faults.Proxy) { p.SetMode(faults.Forwarding) })
}

func (fi *faultInjector) proxyFault(mode faults.Mode) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		fi.setProxyMode(ctx, rng.IntN(segmentCount), rng.IntN(backendCount), duration, mode)
	}
}

func (fi *faultInjector) resetConnections(_ context.Context, rng *rand.Rand, _ time.Duration) {
	fi.cluster.proxies[rng.IntN(segmentCount)][rng.IntN(backendCount)].ResetConnections()
}

// delayBackend makes a proxy forward small chunks with a delay before each.
func (fi *faultInjector) delayBackend(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	delay, chunkBytes :=
		time.Duration(rng.IntN(proxyDelayLimitMS))*time.Millisecond, minProxyChunkBytes+rng.IntN(proxyChunkBytesSpread)
	fi.changeProxyTemporarily(ctx, rng.IntN(segmentCount), rng.IntN(backendCount), duration,
		func(p *faults.Proxy) { p.SetThrottle(delay, chunkBytes) }, func(p *faults.Proxy) { p.SetThrottle(0, 0) })
}

// partition disconnects one segment from a part of the backends.
func (fi *faultInjector) partition(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	segment := rng.IntN(segmentCount)
	var partitioned sync.WaitGroup
	for i := range backendCount {
		if rng.Float64() < partitionShare {
			partitioned.Go(func() { fi.setProxyMode(ctx, segment, i, duration, faults.Silent) })
		}
	}
	partitioned.Wait()
}

func (fi *faultInjector) backendFault(mode backendMode) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		b := fi.cluster.backends[rng.IntN(backendCount)]
		b.setMode(mode)
		sleep(ctx, duration)
		b.setMode(modeServing)
	}
}

// drainBackend drains one of the first half of the backends. The other half never drains.
func (fi *faultInjector) drainBackend(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	i := rng.IntN(backendCount / 2)
	fi.cluster.setState(i, stateDraining)
	sleep(ctx, duration+extraDrainTime)
	fi.cluster.setState(i, stateServing)
}

func (fi *faultInjector) counterFault(s standin.ServiceState) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *rand.Rand, duration time.Duration) {
		fi.cluster.counter.SetState(s)
		sleep(ctx, duration)
		fi.cluster.counter.SetState(standin.Up)
	}
}

func (fi *faultInjector) discoveryFault(s standin.ServiceState) func(context.Context, *rand.Rand, time.Duration) {
	return func(ctx context.Context, rng *rand.Rand, duration time.Duration) {
		segment := rng.IntN(segmentCount)
		fi.cluster.disruptions.recordDiscoveryDisruption(segment)
		fi.cluster.discovery[segment].SetState(s)
		sleep(ctx, duration)
		fi.cluster.discovery[segment].SetState(standin.Up)
		fi.cluster.disruptions.recordDiscoveryDisruption(segment)
	}
}

func (fi *faultInjector) watchFault(disrupt func(*discovery)) func(context.Context, *rand.Rand, time.Duration) {
	return func(_ context.Context, rng *rand.Rand, _ time.Duration) {
		segment := rng.IntN(segmentCount)
		fi.cluster.disruptions.recordDiscoveryDisruption(segment)
		disrupt(fi.cluster.discovery[segment])
	}
}

// stall pauses a process for less than maxStall.
func (fi *faultInjector) stall(_ context.Context, rng *rand.Rand, _ time.Duration) {
	fi.pause(fi.pickProcess(rng), time.Duration(rng.Int64N(int64(maxStall*9/10))))
}

// freeze pauses a process for longer than maxStall. The pause is added to the tolerance of the checks that depend on time.
func (fi *faultInjector) freeze(_ context.Context, rng *rand.Rand, duration time.Duration) {
	fi.pause(fi.pickProcess(rng), duration)
}

// pause pauses a process, unless it is already being paused, restarted, reconfigured or shut down.
func (fi *faultInjector) pause(p *ingressProcess, duration time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	from := time.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	if to := time.Now(); to.Sub(from) > maxStall {
		fi.checker.stalls.recordFreeze(p.index, timeSpan{from, to})
	}
}

// openIdleConns opens connections that send nothing, and closes them after duration or when ctx ends.
func (fi *faultInjector) openIdleConns(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	p := fi.pickProcess(rng)
	var open []net.Conn
	for range idleConnCount {
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
	fi.stopAndStart(ctx, fi.pickProcess(rng), (*ingressProcess).terminate)
}

func (fi *faultInjector) kill(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	fi.stopAndStart(ctx, fi.pickProcess(rng), (*ingressProcess).kill)
}

// stopAndStart stops a process and starts it again. It waits until the process is ready, also after ctx has ended.
func (fi *faultInjector) stopAndStart(ctx context.Context, p *ingressProcess, stop func(*ingressProcess)) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	stop(p)
	if err := p.start(); err != nil {
		fi.checker.violations.record(Crashed, p.index, "start: %v", err)
		return
	}
	if err := p.awaitReady(context.WithoutCancel(ctx)); err != nil {
		fi.checker.violations.record(Crashed, p.index, "%v", err)
	}
}

// reload switches an ingress to other addresses of discovery and the counter.
func (fi *faultInjector) reload(_ context.Context, rng *rand.Rand, _ time.Duration) {
	p := fi.pickProcess(rng)
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	fi.cluster.disruptions.recordDiscoveryDisruption(p.segment)
	p.reloads++
	if err := p.writeConfig(); err != nil {
		fi.checker.violations.record(Crashed, p.index, "write configuration: %v", err)
		return
	}
	p.signal(syscall.SIGHUP)
}
