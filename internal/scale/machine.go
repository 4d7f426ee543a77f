package scale

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxMemoryShare      = 0.5 // of the machine, that a run may use at most
	maxProcesses        = 300 // and processes
	clockTicksPerSecond = 100 // of the processor times in /proc
	sampleInterval      = 250 * time.Millisecond

	// What a run is reckoned with before it starts, in bytes; the sampler holds it to the bound while it runs.
	baseBytes        = 200 << 20
	hollowBytes      = 400 << 10
	tenantBytes      = 700
	backendBytes     = 700  // in each module
	listEntryBytes   = 2500 // for each backend once: modelled, in discovery, as text on its way
	realIngressBytes = 60 << 20

	hollowDescriptors = 6 // four for the counter, one or two for discovery
	spareDescriptors  = 500
)

// Machine is where a run was made.
type Machine struct {
	Cores  int    `json:"cores"`
	Memory uint64 `json:"memory_bytes"`
	Go     string `json:"go"`
	OS     string `json:"os"`

	Descriptors uint64 `json:"descriptors"` // that a process may hold; 0: not known
	Load        string `json:"load"`        // averages over 1, 5 and 15 minutes before the run: what else it was doing
}

func describeMachine() (Machine, error) {
	total, err := readProcField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Machine{}, err
	}
	var open syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &open); err != nil {
		return Machine{}, fmt.Errorf("descriptors: %w", err)
	}
	text, err := os.ReadFile("/proc/loadavg")
	load := strings.Fields(string(text))
	return Machine{Cores: runtime.NumCPU(), Memory: total, Go: runtime.Version(), OS: runtime.GOOS + "/" + runtime.GOARCH,
		Descriptors: open.Cur, Load: strings.Join(load[:min(3, len(load))], " ")}, err
}

// readProcField reads a figure in kB, as bytes.
func readProcField(path, name string) (uint64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if text, ok := strings.CutPrefix(in.Text(), name); ok {
			kb, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("%s: %s %w", path, name, err)
			}
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("%s has no %s", path, name)
}

func residentMemory(pid int) uint64 {
	n, err := readProcField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	if err != nil { // it has ended
		return 0
	}
	return n
}

// processCPUTime of another process, user and system, in steps of 10 ms.
func processCPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), ") ") // the name may have spaces
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("process %d: no times in its stat", pid)
	}
	sum := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, fmt.Errorf("process %d: %w", pid, err)
		}
		sum += n
	}
	return time.Duration(sum) * time.Second / clockTicksPerSecond, nil
}

const (
	wholeProcess = syscall.RUSAGE_SELF
	thisThread   = syscall.RUSAGE_THREAD // the caller has locked its goroutine to it
)

// cpuTime is the processor time so far, user and system.
func cpuTime(who int) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse is what is in use after a collection, in bytes.
func memoryInUse() uint64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// checkResources says whether the run that is asked for keeps within the bounds, before anything is started.
func checkResources(o Options, m Machine) error {
	if n := 1 + standInProcesses + o.Real; n > maxProcesses {
		return fmt.Errorf("%d processes are asked for, %d at most", n, maxProcesses)
	}
	need := 0.0
	take := func(bytes float64) { need = max(need, bytes) }
	for _, n := range o.Backends {
		take(baseBytes + float64(n)*(listEntryBytes+2*backendBytes))
	}
	most := 0
	for _, n := range o.Ingresses {
		most = max(most, n)
	}
	one := hollowBytes + float64(liveTenants)*tenantBytes + float64(liveBackends)*backendBytes
	take(baseBytes + float64(most)*one + float64(o.Real)*realIngressBytes)
	if n := uint64(most*hollowDescriptors + spareDescriptors); m.Descriptors > 0 && n > m.Descriptors {
		return fmt.Errorf("about %d descriptors are asked for, a process may hold %d here", n, m.Descriptors)
	}
	for _, n := range o.Tenants {
		take(baseBytes + float64(n)*2*tenantBytes)
	}
	if bound := maxMemoryShare * float64(m.Memory); need > bound {
		return fmt.Errorf("about %s are asked for, half of the machine's memory is %s", formatMegabytes(need), formatMegabytes(bound))
	}
	return nil
}

func formatMegabytes(bytes float64) string { return fmt.Sprintf("%.0f MB", bytes/(1<<20)) }

// ResourceUsage is what a run took of its machine.
type ResourceUsage struct {
	PeakMemory    uint64  `json:"peak_memory_bytes"` // of all its processes, by samples
	PeakProcesses int     `json:"peak_processes"`
	CPUSeconds    float64 `json:"processor_s"` // of this process
	WallSeconds   float64 `json:"wall_s"`
}

// resourceMonitor samples what the run uses, and ends it where that is more than the bound.
type resourceMonitor struct {
	mu            sync.Mutex
	pids          map[int]bool
	peakMemory    uint64
	peakProcesses int
}

func newResourceMonitor() *resourceMonitor {
	return &resourceMonitor{pids: map[int]bool{os.Getpid(): true}}
}

func (w *resourceMonitor) addProcess(pid int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids[pid] = true
	w.peakProcesses = max(w.peakProcesses, len(w.pids))
}

func (w *resourceMonitor) removeProcess(pid int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pids, pid)
}

func (w *resourceMonitor) sample() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := uint64(0)
	for pid := range w.pids {
		sum += residentMemory(pid)
	}
	w.peakMemory, w.peakProcesses = max(w.peakMemory, sum), max(w.peakProcesses, len(w.pids))
	return sum
}

// run samples until ctx ends; more than the bound stops the run.
func (w *resourceMonitor) run(ctx context.Context, bound uint64, stop func(error)) {
	for t := time.NewTicker(sampleInterval); ; {
		if sum := w.sample(); sum > bound {
			stop(fmt.Errorf("stopped at %s: over half of the machine's memory", formatMegabytes(float64(sum))))
			return
		}
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}
