// Package soak runs a fleet of real ingress processes over loopback, puts faults between them that overlap in time, and judges
// from the outside, by what clients sent and got and by what backends saw, whether the rules of the protocol held. Everything
// that is drawn comes from one seed; what the machine's scheduling makes of it does not.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Options say what is run.
type Options struct {
	Seed      uint64
	Processes int           // ingresses
	Duration  time.Duration // of the load and the faults
	Rate      float64       // requests a second for each ingress
	Command   []string      // starts one ingress, which finds its configuration in ROUTER_CONFIG
	Env       []string      // for it, besides the process's own
	Dir       string        // for configurations and logs; it must be there
	Timed     bool          // also judge by times; on a machine with room to spare
}

// Report is what a run saw.
type Report struct {
	Requests   int            // sent by clients
	Answers    map[string]int // by kind
	Attempts   int            // whole at backends
	Faults     map[string]int // by kind
	Violations []Violation
}

const (
	backendCount = 8
	sideCount    = 2 // of the network: each reaches the backends through proxies of its own
	settleTime   = 2 * time.Second
)

// run is one run of a fleet.
type run struct {
	opts    Options
	stalls  *stalls
	ledger  *ledger
	world   *world
	fleet   []*ingressProcess
	faults  map[string]int
	faultMu sync.Mutex
}

// Run plays one run. An error means that it could not be played; broken rules are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	r := &run{opts: opts, stalls: newStalls(), faults: map[string]int{}}
	r.ledger = newLedger(r.stalls, opts.Timed)
	stop := r.stalls.watch()
	defer stop()
	world, err := newWorld(r.ledger, opts.Seed)
	if err != nil {
		return nil, err
	}
	r.world = world
	defer world.close()
	defer r.stopFleet()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	r.stopFleet()
	r.ledger.judge()
	return r.report(), ctx.Err()
}

func (r *run) startFleet(ctx context.Context) error {
	for i := range r.opts.Processes {
		p, err := newIngressProcess(r, i)
		if err != nil {
			return err
		}
		r.fleet = append(r.fleet, p)
		if err := p.start(); err != nil {
			return fmt.Errorf("ingress %d: %w", i, err)
		}
	}
	for _, p := range r.fleet {
		if err := p.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// play lets clients and faults go on together, then lets the fleet settle without faults.
func (r *run) play(ctx context.Context) {
	faultTime, endFaults := context.WithTimeout(ctx, r.opts.Duration)
	defer endFaults()
	loadTime, endLoad := context.WithTimeout(ctx, r.opts.Duration+settleTime)
	defer endLoad()
	var all sync.WaitGroup
	for i, p := range r.fleet {
		for k := range connsPerIngress {
			c := newCaller(p, r.ledger, rand.New(rand.NewPCG(r.opts.Seed, uint64(1000*i+k+1))), r.opts.Rate/connsPerIngress)
			all.Go(func() { c.run(loadTime) })
		}
	}
	for i, p := range r.fleet {
		newcomers := newCaller(p, r.ledger, rand.New(rand.NewPCG(r.opts.Seed, uint64(1000*i+connsPerIngress+1))), 0)
		bad := &rude{p, r.ledger, rand.New(rand.NewPCG(r.opts.Seed, uint64(1000*i+connsPerIngress+2)))}
		all.Go(func() { newcomers.newcomers(loadTime) })
		all.Go(func() { bad.run(faultTime) })
	}
	all.Go(func() { r.injectFaults(faultTime) })
	all.Wait()
	r.ledger.awaitAnswers(answerWait)
}

func (r *run) stopFleet() {
	var all sync.WaitGroup
	for _, p := range r.fleet {
		all.Go(p.stopForGood)
	}
	all.Wait()
}

func (r *run) report() *Report {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return &Report{Requests: len(r.ledger.requests), Answers: r.ledger.answers, Attempts: r.ledger.attempts, Faults: r.faults,
		Violations: r.ledger.violations}
}

// String is the report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("%d requests, %d attempts at backends, answers %v, faults %v, %d violations", r.Requests, r.Attempts,
		r.Answers, r.Faults, len(r.Violations))
	for _, v := range r.Violations {
		text += "\n  " + v.String()
	}
	return text
}

// noteFault counts a fault that was put in.
func (r *run) noteFault(kind string) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	r.faults[kind]++
}

func writeFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
