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

// clockTicksPerSecond is the unit of processor times in /proc; Linux has the same one on all machines.
const clockTicksPerSecond = 100

// errProcFormat says that a file under /proc does not hold what was looked for.
var errProcFormat = errors.New("unexpected content")

// Machine describes where a run was made.
type Machine struct {
	Cores          int    `json:"cores"`
	MemoryBytes    uint64 `json:"memory_bytes"`
	GoVersion      string `json:"go"` // version
	OS             string `json:"os"`
	MaxDescriptors uint64 `json:"descriptors"` // that a process may hold; 0: not known
	LoadAverages   string `json:"load"`        // averages over 1, 5 and 15 minutes before the run: what else it was doing
}

func describeMachine() (Machine, error) {
	memory, err := readProcField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Machine{}, err
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return Machine{}, fmt.Errorf("descriptors: %w", err)
	}
	loadText, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return Machine{}, fmt.Errorf("load: %w", err)
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

// readProcField reads a field that a file under /proc gives in kB, and returns it in bytes.
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
	return 0, fmt.Errorf("%s: %w: no %s", path, errProcFormat, name)
}

// residentMemory returns the bytes that a process has in memory; 0 if it has ended.
func residentMemory(pid int) uint64 {
	bytes, err := readProcField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	if err != nil {
		return 0
	}
	return bytes
}

// processCPUTime returns the user and system time of another process, in steps of 10 ms.
func processCPUTime(pid int) (time.Duration, error) {
	const firstField, fields = 11, 2 // utime and stime, counted from behind the name
	path := fmt.Sprintf("/proc/%d/stat", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), ") ") // the name before it may have spaces
	values := strings.Fields(rest)
	if !ok || len(values) < firstField+fields {
		return 0, fmt.Errorf("%s: %w: no times", path, errProcFormat)
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

// cpuScope says whose processor time cpuTime returns.
type cpuScope int

const (
	currentProcess cpuScope = syscall.RUSAGE_SELF
	currentThread  cpuScope = syscall.RUSAGE_THREAD // the caller has locked its goroutine to it
)

// cpuTime returns the user and system time that this process or thread has used so far.
func cpuTime(scope cpuScope) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(int(scope), &used); err != nil { // not for these scopes
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

// memoryGrowth returns by how many bytes memoryInUse is larger than it was; 0 if it is not.
func memoryGrowth(before uint64) float64 { return max(0, float64(memoryInUse())-float64(before)) }
