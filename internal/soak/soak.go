// Package soak runs several ingresses as processes over loopback, injects faults that overlap in time, and checks the rules of
// the protocol against the messages that clients and backends sent and received. All random numbers are derived from one seed,
// but the order of events also depends on the scheduling of the machine.
//
// A run consists of a cluster (backends behind proxies, discovery, counter), the ingress processes, three kinds of clients
// (pipelining, short-lived and misbehaving) and a fault injector. All of them report to one checker, which records the history
// of the requests and the violations.
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
	settleTime        = 2 * time.Second // duration of the load after the last fault has started
	streamsPerIngress = 1000            // number of random streams reserved for the clients of an ingress
)

// Options are the parameters of a run.
type Options struct {
	Seed        uint64
	Processes   int           // number of ingresses
	Duration    time.Duration // time during which faults start; the load ends two seconds later
	Rate        float64       // requests per second to each ingress on all its pipelining connections
	Command     []string      // command line of an ingress, which reads the configuration file that ROUTER_CONFIG names
	Env         []string      // environment variables of the ingresses, added to those of this process
	Dir         string        // existing directory for configurations and logs
	CheckTiming bool          // whether to check the rules that depend on time; requires a machine with spare capacity
}

// Report is the result of a run.
type Report struct {
	Requests   int               // number of requests that clients sent
	Replies    map[ReplyKind]int // number of replies of each kind
	Attempts   int               // number of attempts that backends received completely and did not reject
	Faults     map[FaultKind]int // number of injected faults of each kind
	Violations []Violation       // the first 200, in the order in which they were recorded
}

// String returns the totals on one line, followed by one line for each violation.
func (rep *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d attempts at backends, replies %v, faults %v, %d violations", rep.Requests, rep.Attempts,
		rep.Replies, rep.Faults, len(rep.Violations))
	for _, v := range rep.Violations {
		fmt.Fprintf(&b, "\n  %v", v)
	}
	return b.String()
}

// runner executes one run.
type runner struct {
	options        Options
	checker        *checker
	cluster        *cluster
	processes      []*ingressProcess
	injector       *faultInjector
	connGoroutines sync.WaitGroup // goroutines for connections that outlive the clients; they end when the ingresses exit
}

// Run executes one run. An error means that the run did not start or was canceled; the report contains violations of the
// protocol.
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

// startStallDetector runs the stall detector until stop is called, even if ctx ends earlier.
func startStallDetector(ctx context.Context, d *stallDetector) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { d.run(ctx) }) // ends when stop cancels ctx
	return func() {
		cancel()
		running.Wait()
	}
}

// rng returns a source of random numbers for one stream of the run.
func (rn *runner) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(rn.options.Seed, stream))
}

// startProcesses starts all ingresses and waits until they are ready.
func (rn *runner) startProcesses(ctx context.Context) error {
	for i := range rn.options.Processes {
		p, err := newIngressProcess(&rn.options, rn.cluster, rn.checker, i)
		if err != nil {
			return fmt.Errorf("ingress %d: %w", i, err)
		}
		rn.processes = append(rn.processes, p)
		if err := p.start(); err != nil {
			return fmt.Errorf("ingress %d: %w", i, err)
		}
	}
	for _, p := range rn.processes {
		if err := p.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runLoad runs the clients and the fault injector at the same time, continues the load for settleTime without new faults, and
// waits for the last replies.
func (rn *runner) runLoad(ctx context.Context) {
	faultCtx, endFaults := context.WithTimeout(ctx, rn.options.Duration)
	defer endFaults()
	loadCtx, endLoad := context.WithTimeout(ctx, rn.options.Duration+settleTime)
	defer endLoad()
	var running sync.WaitGroup // each goroutine ends with its context
	for _, p := range rn.processes {
		stream := uint64(streamsPerIngress * p.index) // clients use the streams after it; the fault injector uses stream 0
		for k := range connsPerIngress {
			c := newPipeliningClient(p, rn.checker, rn.rng(stream+uint64(k)+1), rn.options.Rate/connsPerIngress)
			running.Go(func() { c.run(loadCtx) })
		}
		shortLived := &shortLivedClient{
			p, rn.checker, workload{p.index, rn.rng(stream + connsPerIngress + 1)}, &rn.connGoroutines}
		misbehaving := &misbehavingClient{
			p, rn.checker, len(rn.processes), rn.rng(stream + connsPerIngress + 2), &rn.connGoroutines}
		running.Go(func() { shortLived.run(loadCtx) })
		running.Go(func() { misbehaving.run(faultCtx) })
	}
	running.Go(func() { rn.injector.run(faultCtx) })
	running.Wait()
	rn.checker.history.awaitReplies(replyTimeout)
}

// shutdown shuts down all ingresses and waits for the goroutines of the connections to them. Further calls do nothing.
func (rn *runner) shutdown() {
	var ending sync.WaitGroup
	for _, p := range rn.processes {
		ending.Go(p.shutdown)
	}
	ending.Wait()
	for _, p := range rn.processes {
		p.reservation.Close()
	}
	rn.connGoroutines.Wait()
}

func (rn *runner) report() *Report {
	requests, replies, attempts := rn.checker.history.totals()
	return &Report{Requests: requests, Replies: replies, Attempts: attempts, Faults: rn.injector.counts(),
		Violations: rn.checker.violations.snapshot()}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
