package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	faultInterval    = 150 * time.Millisecond // mean time between the starts of two faults
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// FaultKind is the name of a kind of fault, as reports have it.
type FaultKind string

// fault is a kind of fault with the function that injects it.
type fault struct {
	kind FaultKind
	// inject starts the fault, waits for duration or until ctx ends, and ends the fault. Faults without a duration ignore it.
	inject func(ctx context.Context, rng *rand.Rand, duration time.Duration)
}

// faultInjector injects faults into a cluster and its ingresses.
type faultInjector struct {
	cluster   *cluster
	processes []*ingressProcess
	checker   *checker
	rng       *rand.Rand

	mu          sync.Mutex // guards faultCounts
	faultCounts map[FaultKind]int
}

func newFaultInjector(cl *cluster, processes []*ingressProcess, c *checker, rng *rand.Rand) *faultInjector {
	return &faultInjector{cluster: cl, processes: processes, checker: c, rng: rng, faultCounts: map[FaultKind]int{}}
}

// run starts faults, which may overlap, until ctx ends. It returns after all of them have ended.
func (fi *faultInjector) run(ctx context.Context) {
	faults := fi.faults()
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(fi.rng.ExpFloat64()*float64(faultInterval)))
		f := faults[fi.rng.IntN(len(faults))]
		duration := minFaultDuration + time.Duration(fi.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		rng := rand.New(rand.NewPCG(fi.rng.Uint64(), 1)) // a separate source, since overlapping faults draw in varying order
		fi.count(f.kind)
		active.Go(func() { f.inject(ctx, rng, duration) })
	}
}

func (fi *faultInjector) count(kind FaultKind) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faultCounts[kind]++
}

// counts returns how many faults of each kind were injected.
func (fi *faultInjector) counts() map[FaultKind]int {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return maps.Clone(fi.faultCounts)
}
