// Package soak runs several ingresses as processes over loopback, injects faults that overlap in time, and checks from the
// outside, by what clients sent and received and by what backends received, whether the rules of the protocol held.
// Everything that is drawn comes from one seed; what the scheduling of the machine makes of it does not.
//
// A run consists of a cluster (backends behind proxies, discovery, counter), the ingress processes, clients of three kinds
// (pipelining, short-lived and misbehaving ones) and a fault injector. All of them report to one checker, which keeps the
// history of the requests and collects the violations.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	settleTime        = 2 * time.Second // for which the load goes on after the last fault has begun
	streamsPerIngress = 1000            // of random numbers that are reserved for the clients of an ingress
)

// Options say what a run does.
type Options struct {
	Seed        uint64
	Processes   int           // ingresses
	Duration    time.Duration // of the faults; the load goes on for two seconds more
	Rate        float64       // requests a second to each ingress, on its pipelining connections together
	Command     []string      // starts one ingress, which finds its configuration by ROUTER_CONFIG
	Env         []string      // for it, besides the environment of this process
	Dir         string        // for configurations and logs; it has to exist
	CheckTiming bool          // also check the rules that depend on times; for a machine with capacity to spare
}

// Report is the result of a run.
type Report struct {
	Requests   int // that clients sent
	Replies    map[ReplyKind]int
	Attempts   int // that arrived at backends complete and were not rejected there
	Faults     map[FaultKind]int
	Violations []Violation // the first 200, in the order in which they were found
}

// String returns the report on one line, and each violation on one more.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d attempts at backends, replies %v, faults %v, %d violations", r.Requests, r.Attempts,
		r.Replies, r.Faults, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n  %v", v)
	}
	return b.String()
}

// runner does one run.
type runner struct {
	options        Options
	checker        *checker
	cluster        *cluster
	processes      []*ingressProcess
	injector       *faultInjector
	connGoroutines sync.WaitGroup // goroutines of connections that outlive their client's run; the end of the ingresses ends them
}

// Run does one run. An error means that the run could not be done; violations of the protocol are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	c := newChecker(opts.CheckTiming)
	stopDetector := startStallDetector(ctx, c.stalls)
	defer stopDetector()
	cl, err := newCluster(c, opts.Seed)
	if err != nil {
		return nil, fmt.Errorf("start cluster: %w", err)
	}
	defer cl.close()
	r := &runner{options: opts, checker: c, cluster: cl}
	defer r.shutdown()
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	r.injector = newFaultInjector(cl, r.processes, c, r.rng(0))
	r.runLoad(ctx)
	r.shutdown()
	c.checkHistory()
	return r.report(), ctx.Err()
}

// startStallDetector runs the stall detector until stop is called, also after ctx has ended.
func startStallDetector(ctx context.Context, d *stallDetector) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { d.run(ctx) }) // stop ends it and waits for it
	return func() {
		cancel()
		running.Wait()
	}
}

// rng returns one of the run's sources of random numbers.
func (r *runner) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.options.Seed, stream)) }

// startProcesses starts all ingresses and waits until they are ready.
func (r *runner) startProcesses(ctx context.Context) error {
	for i := range r.options.Processes {
		p, err := newIngressProcess(&r.options, r.cluster, r.checker, i)
		if err != nil {
			return fmt.Errorf("ingress %d: %w", i, err)
		}
		r.processes = append(r.processes, p)
		if err := p.start(); err != nil {
			return fmt.Errorf("ingress %d: %w", i, err)
		}
	}
	for _, p := range r.processes {
		if err := p.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runLoad runs clients and faults at the same time, lets the ingresses settle without faults and waits for the last replies.
func (r *runner) runLoad(ctx context.Context) {
	faultCtx, endFaults := context.WithTimeout(ctx, r.options.Duration)
	defer endFaults()
	loadCtx, endLoad := context.WithTimeout(ctx, r.options.Duration+settleTime)
	defer endLoad()
	var running sync.WaitGroup // each goroutine ends with its context
	for _, p := range r.processes {
		stream := uint64(streamsPerIngress * p.index) // the clients use the ones after it; 0 is the fault injector's
		for k := range connsPerIngress {
			c := newPipeliningClient(p, r.checker, r.rng(stream+uint64(k)+1), r.options.Rate/connsPerIngress)
			running.Go(func() { c.run(loadCtx) })
		}
		shortLived := &shortLivedClient{p, r.checker, workload{p.index, r.rng(stream + connsPerIngress + 1)}, &r.connGoroutines}
		misbehaving := &misbehavingClient{p, r.checker, len(r.processes), r.rng(stream + connsPerIngress + 2), &r.connGoroutines}
		running.Go(func() { shortLived.run(loadCtx) })
		running.Go(func() { misbehaving.run(faultCtx) })
	}
	running.Go(func() { r.injector.run(faultCtx) })
	running.Wait()
	r.checker.history.awaitReplies(replyTimeout)
}

// shutdown ends all ingresses and waits for the connections to them. Further calls do nothing.
func (r *runner) shutdown() {
	var ending sync.WaitGroup
	for _, p := range r.processes {
		ending.Go(p.shutdown)
	}
	ending.Wait()
	for _, p := range r.processes {
		p.reservation.Close()
	}
	r.connGoroutines.Wait()
}

func (r *runner) report() *Report {
	requests, replies, attempts := r.checker.history.totals()
	return &Report{Requests: requests, Replies: replies, Attempts: attempts, Faults: r.injector.counts(),
		Violations: r.checker.violations.snapshot()}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
