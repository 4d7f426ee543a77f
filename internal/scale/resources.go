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
	maxMemoryShare = 0.5 // share of the machine's memory
	maxProcesses   = 300
	sampleInterval = 250 * time.Millisecond // time between two samples of the run's memory
)

// Estimates in bytes for the check before a run. During the run its memory is sampled.
const (
	baseBytes          = 200 << 20
	hollowIngressBytes = 400 << 10
	realIngressBytes   = 60 << 20
	tenantBytes        = 700
	backendBytes       = 700  // bytes in the policy of each ingress
	listEntryBytes     = 2500 // bytes of each backend in the model, in discovery and in the encoded list together
)

// Estimates of the descriptors of this process.
const (
	hollowDescriptors = 6 // descriptors of a hollow ingress: four for the counter, one or two for discovery
	spareDescriptors  = 500
)

// errMemoryLimit stops a run that uses more than maxMemoryShare.
var errMemoryLimit = errors.New("the run uses more than half of the machine's memory")

// ResourceError reports that a run would need more of a resource than it may use.
type ResourceError struct {
	Needed string // amount and unit
	Limit  string // clause that states the limit
}

func (resourceErr *ResourceError) Error() string {
	return resourceErr.Needed + " are required, but " + resourceErr.Limit
}

// checkResources returns a *ResourceError if the run would exceed a limit.
func checkResources(o Options, machine Machine) error {
	if n := 1 + standInProcesses + o.RealIngresses; n > maxProcesses {
		return &ResourceError{fmt.Sprintf("%d processes", n), fmt.Sprintf("at most %d are allowed", maxProcesses)}
	}
	largestFleet := max(0, slices.Max(o.IngressCounts))
	descriptors := uint64(largestFleet*hollowDescriptors + spareDescriptors)
	if machine.MaxDescriptors > 0 && descriptors > machine.MaxDescriptors {
		return &ResourceError{fmt.Sprintf("about %d descriptors", descriptors),
			fmt.Sprintf("the limit of a process is %d", machine.MaxDescriptors)}
	}
	needed, limit := estimateMemory(o), maxMemoryShare*float64(machine.MemoryBytes)
	if needed > limit {
		return &ResourceError{"about " + formatMegabytes(needed), "half of the machine's memory is " + formatMegabytes(limit)}
	}
	return nil
}

// estimateMemory returns the estimated memory of the largest point of a run, in bytes.
func estimateMemory(o Options) float64 {
	backends, ingresses, tenants := slices.Max(o.BackendCounts), slices.Max(o.IngressCounts), slices.Max(o.TenantCounts)
	const ingressBytes = hollowIngressBytes + defaultTenantCount*tenantBytes + defaultBackendCount*backendBytes
	return max(
		baseBytes+float64(backends)*(listEntryBytes+2*backendBytes),
		baseBytes+float64(ingresses)*ingressBytes+float64(o.RealIngresses)*realIngressBytes,
		baseBytes+float64(tenants)*2*tenantBytes,
	)
}

func formatMegabytes(bytes float64) string { return fmt.Sprintf("%.0f MB", toMB(bytes)) }

// ResourceUsage holds the resources that a run used.
type ResourceUsage struct {
	PeakMemoryBytes uint64  `json:"peak_memory_bytes"` // sum of all processes of the run, from samples
	PeakProcesses   int     `json:"peak_processes"`
	CPUSeconds      float64 `json:"processor_s"` // CPU time of this process
	WallSeconds     float64 `json:"wall_s"`
}

// resourceMonitor samples the memory of the run's processes, and stops the run if it exceeds a limit.
type resourceMonitor struct {
	mu            sync.Mutex       // guards the fields below
	pids          map[int]struct{} // running processes, including this one
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

// sample returns the resident memory of all processes together, in bytes.
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

// run samples until ctx ends. If a sample exceeds the limit, in bytes, run calls stop with an error and returns.
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
