package scale

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTicksPerSecond is the unit of CPU times under /proc, which is the same on all Linux machines.
const clockTicksPerSecond = 100

// errProcFormat reports that a file under /proc does not have the expected content.
var errProcFormat = errors.New("unexpected content")

// Machine describes the machine of a run.
type Machine struct {
	Cores          int    `json:"cores"`
	MemoryBytes    uint64 `json:"memory_bytes"`
	GoVersion      string `json:"go"`
	OS             string `json:"os"`
	MaxDescriptors uint64 `json:"descriptors"` // limit of each process; zero means not known
	LoadAverages   string `json:"load"`        // load of other programs over the 1, 5 and 15 minutes before the run
}

func describeMachine() (Machine, error) {
	memory, err := readProcField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Machine{}, err
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return Machine{}, fmt.Errorf("reading the limit of descriptors: %w", err)
	}
	loadText, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return Machine{}, fmt.Errorf("reading the load averages: %w", err)
	}
	load := strings.Fields(string(loadText))
	return Machine{
		Cores:          runtime.NumCPU(),
		MemoryBytes:    memory,
		GoVersion:      runtime.Version(),
		OS:             runtime.GOOS + "/" + runtime.GOARCH,
		MaxDescriptors: descriptors.Cur,
		LoadAverages:   strings.Join(load[:min(3, len(load))], " "),
	}, nil
}

// readProcField reads a field of a file under /proc that is in kB, and returns it in bytes.
func readProcField(path, name string) (uint64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), name)
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %s %w", path, name, err)
		}
		return kilobytes << 10, nil
	}
	return 0, fmt.Errorf("%s: %w: field %s is missing", path, errProcFormat, name)
}

// residentMemory returns the resident memory of a process in bytes, or 0 if it has exited.
func residentMemory(pid int) uint64 {
	bytes, err := readProcField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	if err != nil {
		return 0
	}
	return bytes
}

// processCPUTime returns the user and system time of another process, with a resolution of 10 ms.
func processCPUTime(pid int) (time.Duration, error) {
	const firstField, fields = 11, 2 // utime and stime, counted from the field after the process name
	path := fmt.Sprintf("/proc/%d/stat", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), ") ") // the process name before it may contain spaces
	values := strings.Fields(rest)
	if !ok || len(values) < firstField+fields {
		return 0, fmt.Errorf("%s: %w: CPU times are missing", path, errProcFormat)
	}
	ticks := 0
	for _, value := range values[firstField : firstField+fields] {
		n, err := strconv.Atoi(value)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// cpuScope selects the process or the thread whose CPU time cpuTime returns.
type cpuScope int

const (
	currentProcess cpuScope = syscall.RUSAGE_SELF
	currentThread  cpuScope = syscall.RUSAGE_THREAD // the caller must lock its goroutine to the thread
)

// cpuTime returns the user and system time that the process or thread has used so far.
func cpuTime(scope cpuScope) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(int(scope), &used); err != nil { // cannot happen for these scopes
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// memoryGrowth returns the growth of memoryInUse since an earlier value, in bytes, or 0 if it has not grown.
func memoryGrowth(before uint64) float64 { return max(0, float64(memoryInUse())-float64(before)) }
