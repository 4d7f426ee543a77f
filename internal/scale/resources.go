package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Limits of a run.
const (
	maxMemoryShare = 0.5 // of the machine's memory
	maxProcesses   = 300
	sampleInterval = 250 * time.Millisecond // of the memory that a run uses
)

// Estimates that a run is checked by before it starts, in bytes. While it runs, its memory is sampled.
const (
	baseBytes          = 200 << 20
	hollowIngressBytes = 400 << 10
	realIngressBytes   = 60 << 20
	tenantBytes        = 700
	backendBytes       = 700  // in each decision module
	listEntryBytes     = 2500 // for each backend once: in the model, in discovery and as text between them
)

// Estimates of descriptors of this process.
const (
	hollowDescriptors = 6 // four for the counter, one or two for discovery
	spareDescriptors  = 500
)

// errMemoryLimit ends a run that uses more than maxMemoryShare.
var errMemoryLimit = errors.New("over half of the machine's memory")

// ResourceError says that a run would need more than it may use.
type ResourceError struct {
	Needed string // with a unit
	Limit  string
}

func (resourceErr *ResourceError) Error() string {
	return resourceErr.Needed + " are asked for, " + resourceErr.Limit
}

// checkResources returns a *ResourceError if the run would need more than it may use.
func checkResources(o Options, m Machine) error {
	if n := 1 + standInProcesses + o.RealIngresses; n > maxProcesses {
		return &ResourceError{fmt.Sprintf("%d processes", n), fmt.Sprintf("%d at most", maxProcesses)}
	}
	largestFleet := max(0, slices.Max(o.IngressCounts))
	descriptors := uint64(largestFleet*hollowDescriptors + spareDescriptors)
	if m.MaxDescriptors > 0 && descriptors > m.MaxDescriptors {
		return &ResourceError{fmt.Sprintf("about %d descriptors", descriptors),
			fmt.Sprintf("a process may hold %d here", m.MaxDescriptors)}
	}
	needed, limit := estimateMemory(o), maxMemoryShare*float64(m.MemoryBytes)
	if needed > limit {
		return &ResourceError{"about " + formatMegabytes(needed), "half of the machine's memory is " + formatMegabytes(limit)}
	}
	return nil
}

// estimateMemory returns the bytes that the largest point of a run needs.
func estimateMemory(o Options) float64 {
	backends, ingresses, tenants := slices.Max(o.BackendCounts), slices.Max(o.IngressCounts), slices.Max(o.TenantCounts)
	const ingressBytes = hollowIngressBytes + liveTenants*tenantBytes + liveBackends*backendBytes
	return max(
		baseBytes+float64(backends)*(listEntryBytes+2*backendBytes),
		baseBytes+float64(ingresses)*ingressBytes+float64(o.RealIngresses)*realIngressBytes,
		baseBytes+float64(tenants)*2*tenantBytes,
	)
}

func formatMegabytes(bytes float64) string { return fmt.Sprintf("%.0f MB", toMB(bytes)) }

// ResourceUsage is what a run used of its machine.
type ResourceUsage struct {
	PeakMemoryBytes uint64  `json:"peak_memory_bytes"` // of all its processes, by samples
	PeakProcesses   int     `json:"peak_processes"`
	CPUSeconds      float64 `json:"processor_s"` // of this process
	WallSeconds     float64 `json:"wall_s"`
}

// resourceMonitor samples the memory of the run's processes, and ends the run where that exceeds a limit.
type resourceMonitor struct {
	mu            sync.Mutex       // guards what follows
	pids          map[int]struct{} // of the processes that run now, with this one
	peakMemory    uint64           // bytes
	peakProcesses int
}

func newResourceMonitor() *resourceMonitor {
	return &resourceMonitor{pids: map[int]struct{}{os.Getpid(): {}}}
}

func (monitor *resourceMonitor) addProcess(pid int) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.pids[pid] = struct{}{}
	monitor.peakProcesses = max(monitor.peakProcesses, len(monitor.pids))
}

func (monitor *resourceMonitor) removeProcess(pid int) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	delete(monitor.pids, pid)
}

// sample returns the bytes that all processes have in memory now.
func (monitor *resourceMonitor) sample() uint64 {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	sum := uint64(0)
	for pid := range monitor.pids {
		sum += residentMemory(pid)
	}
	monitor.peakMemory = max(monitor.peakMemory, sum)
	monitor.peakProcesses = max(monitor.peakProcesses, len(monitor.pids))
	return sum
}

// run samples until ctx ends, or until a sample is over the limit, which it passes to stop as an error.
func (monitor *resourceMonitor) run(ctx context.Context, limit uint64, stop func(error)) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if sum := monitor.sample(); sum > limit {
			stop(fmt.Errorf("stopped at %s: %w", formatMegabytes(float64(sum)), errMemoryLimit))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
