package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/standin"
)

const (
	readyTimeout    = 15 * time.Second // time limit for a real ingress to answer PING
	shutdownTimeout = 5 * time.Second  // time to exit after SIGTERM; longer than any deadline of a request

	ingressPackage = "lemontack/cmd/ingress"
	configEnv      = "ROUTER_CONFIG" // environment variable with the path of an ingress's configuration file
	tempDirPattern = "scalerun-"     // name pattern of the run's temporary directory
)

// Limits in the configuration of a real ingress.
const (
	realIngressCores    = 2
	realIngressMemoryMB = 256
	realIngressSockets  = 4096
)

var (
	errIngressExited = errors.New("the ingress exited")
	errNoReplies     = errors.New("the directly called backend answered no request")
)

// realFleet is a few processes of the real ingress, with stand-ins for the services and backends that they connect to.
// Its zero value can be stopped.
type realFleet struct {
	*standIns         // nil before they are started
	directory         string
	ingresses         []*realIngress
	backends          []*standin.Backend
	targets           []standin.Target // backends as entries of the endpoint list
	directBackend     *standin.Backend // called directly; not in the endpoint list
	directAddr        string
	backendGoroutines sync.WaitGroup // one goroutine for each backend
}

type realIngress struct {
	*childProcess
	addr   string
	stderr bytes.Buffer // read only after the process has exited
}

// ingressConfig is the content of an ingress's configuration file.
type ingressConfig struct {
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Counter   string          `json:"counter"`
	Seed      string          `json:"seed"` // hexadecimal
	Settings  json.RawMessage `json:"settings"`
	Limits    ingressLimits   `json:"limits"`
}

type ingressLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// startRealFleet starts backends, discovery, the counter and the ingresses, and waits until the ingresses answer. The
// caller must call fleet.stop, also after an error.
func (r *Run) startRealFleet(ctx context.Context, fleet *realFleet) error {
	var err error
	if fleet.directory, err = os.MkdirTemp("", tempDirPattern); err != nil {
		return err
	}
	binary := r.IngressBinary
	if binary == "" {
		if binary, err = buildIngress(ctx, r.monitor, fleet.directory); err != nil {
			return err
		}
	}
	if err := fleet.startBackends(); err != nil {
		return err
	}
	if fleet.standIns, err = startStandIns(ctx, r.monitor, r.compareShape()); err != nil {
		return err
	}
	if err := fleet.setList(fleet.targets); err != nil {
		return err
	}
	for index := range r.RealIngresses {
		ingress, err := r.startRealIngress(ctx, fleet, binary, index)
		if err != nil {
			return err
		}
		fleet.ingresses = append(fleet.ingresses, ingress)
	}
	for _, ingress := range fleet.ingresses {
		if err := ingress.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// buildIngress builds the ingress into a directory and returns the path of the binary.
func buildIngress(ctx context.Context, monitor *resourceMonitor, directory string) (string, error) {
	path := filepath.Join(directory, "ingress")
	var output bytes.Buffer
	build, err := startChild(ctx, monitor, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", path, ingressPackage)
		cmd.Stdout, cmd.Stderr = &output, &output
		return cmd
	})
	if err == nil {
		<-build.exited
		err = build.exitErr
	}
	if err != nil {
		firstLine, _, _ := strings.Cut(strings.TrimSpace(output.String()), "\n")
		return "", fmt.Errorf("building the ingress (--binary takes a built one): %w: %s", err, firstLine)
	}
	return path, nil
}

// startBackends starts the backends of the endpoint list and one that is called directly. stop ends their goroutines.
func (fleet *realFleet) startBackends() error {
	for i := range defaultBackendCount {
		backend, addr, err := fleet.startBackend(i)
		if err != nil {
			return err
		}
		fleet.backends = append(fleet.backends, backend)
		fleet.targets = append(fleet.targets, newTarget(i, addr, stateServing))
	}
	var err error
	fleet.directBackend, fleet.directAddr, err = fleet.startBackend(defaultBackendCount)
	return err
}

func (fleet *realFleet) startBackend(index int) (*standin.Backend, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("starting a backend: %w", err)
	}
	backend := standin.NewBackend(standin.BackendConfig{Slots: compareBackendSlots, LoadReports: true, Seed: uint64(index),
		ServiceTime: func(*rand.Rand) time.Duration { return compareServiceTime }})
	fleet.backendGoroutines.Go(func() { backend.Serve(listener) }) // an error makes requests fail
	return backend, listener.Addr().String(), nil
}

// startRealIngress writes a configuration file and starts an ingress with it.
func (r *Run) startRealIngress(ctx context.Context, fleet *realFleet, binary string, index int) (*realIngress, error) {
	settings, err := r.compareShape().settingsJSON(index)
	if err != nil {
		return nil, err
	}
	ingress := &realIngress{}
	if ingress.addr, err = unusedAddr(); err != nil {
		return nil, err
	}
	config, err := json.Marshal(ingressConfig{
		Listen:    ingress.addr,
		Discovery: fleet.discovery.addr,
		Counter:   fleet.counter.addr,
		Seed:      fmt.Sprintf("%x", r.Seed+uint64(index)),
		Settings:  settings,
		Limits:    ingressLimits{Cores: realIngressCores, MemoryMB: realIngressMemoryMB, Sockets: realIngressSockets},
	})
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration of the ingress: %w", err)
	}
	path := filepath.Join(fleet.directory, fmt.Sprintf("ingress-%d.json", index))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	ingress.childProcess, err = startChild(ctx, r.monitor, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, binary)
		cmd.Env = append(os.Environ(), configEnv+"="+path)
		cmd.Stderr = &ingress.stderr
		return cmd
	})
	if err != nil {
		return nil, fmt.Errorf("starting the ingress: %w", err)
	}
	return ingress, nil
}

// unusedAddr returns a loopback address with a port that is unused at present.
func unusedAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// waitReady sends PING, like a client, until the ingress answers or readyTimeout is over.
func (ingress *realIngress) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		select {
		case <-ingress.exited: // exitErr is nil after exit code 0
			return fmt.Errorf("%w: %v: %s", errIngressExited, ingress.exitErr, lastLine(ingress.stderr.String()))
		default:
		}
		if ingress.respondsToPing(ctx) {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("the ingress is %w after %v", errNotReady, readyTimeout)
}

func (ingress *realIngress) respondsToPing(ctx context.Context) bool {
	client := newLoadGenerator(ingress.addr, 0)
	defer client.close()
	answer, err := client.call(ctx, []byte("*1\r\n$4\r\nPING\r\n"))
	return err == nil && answer == reply{replySimple, "PONG"}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// stop sends the ingresses SIGTERM, as an operator does, and then stops the stand-ins and backends.
func (fleet *realFleet) stop() {
	for _, ingress := range fleet.ingresses {
		ingress.cmd.Process.Signal(syscall.SIGTERM) // an error means that it has already exited
	}
	for _, ingress := range fleet.ingresses {
		ingress.waitOrKill(shutdownTimeout)
	}
	if fleet.standIns != nil {
		fleet.standIns.stop()
	}
	for _, backend := range fleet.backends {
		backend.Close()
	}
	if fleet.directBackend != nil {
		fleet.directBackend.Close()
	}
	fleet.backendGoroutines.Wait()
	if fleet.directory != "" {
		os.RemoveAll(fleet.directory) // files left after an error are in the system's temporary directory
	}
}

// realCounters holds the totals of real ingresses, load generators and stand-ins so far.
type realCounters struct {
	requests, rejected, failed, mismatched float64
	cpuTime                                time.Duration // CPU time of all ingresses
	counterCalls                           int
	attempts                               []uint64 // attempts at each backend
	backendConnections                     float64
}

func (fleet *realFleet) readCounters(generators []*loadGenerator) (realCounters, error) {
	var counters realCounters
	for _, g := range generators {
		counters.requests += float64(g.sent)
		counters.rejected += float64(g.rejected.Load())
		counters.failed += float64(g.failed.Load())
		counters.mismatched += float64(g.mismatched.Load())
	}
	for _, backend := range fleet.backends {
		stats := backend.Stats()
		counters.attempts = append(counters.attempts, uint64(stats.Attempts))
		counters.backendConnections += float64(stats.Connections)
	}
	var err error
	if counters.cpuTime, err = fleet.cpuTime(); err != nil {
		return counters, err
	}
	counter, err := fleet.counter.call(standInCommand{Action: actionReport})
	counters.counterCalls = counter.Counter.Calls
	return counters, err
}

// cpuTime returns the CPU time of all ingresses so far.
func (fleet *realFleet) cpuTime() (time.Duration, error) {
	var sum time.Duration
	for _, ingress := range fleet.ingresses {
		d, err := processCPUTime(ingress.pid())
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}
