package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemontack/internal/loopback"
	"lemontack/internal/standin"
)

// errCannotRun marks the reasons for exit code 2: the case could not be tried.
var errCannotRun = errors.New("the case could not run")

// record writes what was sent, answered and run, with the time since the start, to a file and nothing else.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// deployment says how a world differs from the small deployment that all cases share.
type deployment struct {
	ingresses int
	backends  int
	memoryMB  int
	sockets   int
	change    func(settings map[string]any)             // may be nil
	answer    func(backend int, command []string) reply // what a backend does with a command
}

// world is a small deployment: real ingresses, and stand-ins for discovery, the counter and the backends.
type world struct {
	deployment
	record    *record
	root      string // the root of the repository
	dir       string // temporary folder
	run       string // the command of the deploy file
	discovery *standin.Discovery
	nodes     []*ingress
	servers   []*backend
	counter   *standin.Counter
	stall     atomic.Int64 // the longest time for which this program did not run
	addresses struct{ discovery, counter string }
}

// ingress is one process that the command of the deploy file started.
type ingress struct {
	world   *world
	index   int
	listen  string
	reserve *loopback.Reservation
	command *exec.Cmd
	exited  chan struct{}
	state   string // how the process ended, set before exited is closed
}

func newWorld(rec *record, d deployment) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	run, err := deployCommand(filepath.Join(root, "deploy/balancer.toml"), "run")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	w := &world{deployment: d, record: rec, root: root, dir: dir, run: run}
	if err := w.startStandIns(); err != nil {
		return w, err
	}
	for i := range d.ingresses {
		if err := w.startIngress(i); err != nil {
			return w, err
		}
	}
	go w.watchStalls() // to the end of the program
	return w, w.waitReady()
}

// deployCommand reads one command of the deploy file.
func deployCommand(path, key string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("%s names no command %q", path, key)
	}
	return string(match[1]), nil
}

func (w *world) startStandIns() error {
	listen := func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	discoveryListener, err := listen()
	if err != nil {
		return err
	}
	counterListener, err := listen()
	if err != nil {
		return err
	}
	w.addresses.discovery = discoveryListener.Addr().String()
	w.addresses.counter = counterListener.Addr().String()
	w.discovery = standin.NewDiscovery(standin.DiscoveryConfig{InitialRevision: 40})
	w.counter = standin.NewCounter(standin.CounterConfig{CallsPerSecond: 1300, Shards: 2})
	go w.discovery.Serve(discoveryListener)
	go w.counter.Serve(counterListener)
	for i := range w.backends {
		server, err := newBackend(i, w.record, w.answer)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, server)
	}
	w.discovery.SetList(w.targets())
	return nil
}

func (w *world) targets() []standin.Target {
	var targets []standin.Target
	for i, server := range w.servers {
		targets = append(targets, standin.Target{UID: fmt.Sprintf("s-%08x", 0x5be2a000+i), Address: server.address,
			Zone: "pdx-1", Model: "std-2c", State: "SERVING", Capacity: 1})
	}
	return targets
}

func (w *world) startIngress(index int) error {
	reservation, err := loopback.Reserve()
	if err != nil {
		return err
	}
	node := &ingress{world: w, index: index, listen: reservation.Address(), reserve: reservation}
	w.nodes = append(w.nodes, node)
	return node.start()
}

// start starts the process with the command of the deploy file, as the pages describe.
func (n *ingress) start() error {
	path := filepath.Join(n.world.dir, fmt.Sprintf("config-%d.json", n.index))
	if err := n.writeConfig(path); err != nil {
		return err
	}
	temp := filepath.Join(n.world.dir, fmt.Sprintf("tmp-%d", n.index))
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, fmt.Sprintf("log-%d.txt", n.index)),
		os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", n.world.run)
	command.Dir, command.Stdout, command.Stderr = n.world.root, log, log
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_LISTEN="+n.listen, fmt.Sprintf("ROUTER_NAME=n%d", n.index),
		"ROUTER_DISCOVERY="+n.world.addresses.discovery, "TMPDIR="+temp)
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	started.add(command.Process)
	exited := n.exited
	n.world.record.printf("ingress %d started, pid %d, at %s", n.index, command.Process.Pid, n.listen)
	go func() {
		command.Wait()
		n.state = command.ProcessState.String()
		n.world.record.printf("ingress %d ended: %s", n.index, n.state)
		log.Close()
		close(exited)
	}()
	return nil
}

func (n *ingress) writeConfig(path string) error {
	w := n.world
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(baseSettings), &settings); err != nil {
		return err
	}
	settings["me"], settings["replicasOfMe"] = n.index, w.ingresses
	if w.change != nil {
		w.change(settings)
	}
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", n.index), "listen": n.listen, "discovery": w.addresses.discovery, "counter": w.addresses.counter,
		"seed":     fmt.Sprintf("%x", 0x8c1f30d27a5be964+uint64(n.index)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": w.sockets},
		"known":    map[string]any{"rev": 41, "all": true, "targets": w.targets()},
		"settings": settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// waitReady waits until each ingress has answered PING.
func (w *world) waitReady() error {
	for _, node := range w.nodes {
		if err := node.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (n *ingress) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if n.ping() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("ingress %d is not ready: %w", n.index, errCannotRun)
}

func (n *ingress) ping() bool {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	buffer := make([]byte, 16)
	read, _ := conn.Read(buffer)
	return strings.HasPrefix(string(buffer[:read]), "+PONG")
}

// longestStall is the time for which this program may not have run without spoiling a case that judges times.
const longestStall = 200 * time.Millisecond

// watchStalls records the longest time for which this program did not run.
func (w *world) watchStalls() {
	const interval = 10 * time.Millisecond
	for last := time.Now(); ; {
		time.Sleep(interval)
		now := time.Now()
		if gap := now.Sub(last) - interval; int64(gap) > w.stall.Load() {
			w.stall.Store(int64(gap))
		}
		last = now
	}
}

// checkTimes returns an error if this program did not run for too long.
func (w *world) checkTimes() error {
	if gap := time.Duration(w.stall.Load()); gap > longestStall {
		return fmt.Errorf("%w: the stand-ins did not run for %v", errCannotRun, gap)
	}
	return w.checkAlive()
}

// checkAlive returns an error if an ingress has ended by itself.
func (w *world) checkAlive() error {
	for _, node := range w.nodes {
		if !node.alive() {
			return fmt.Errorf("%w: ingress %d ended by itself: %s", errCannotRun, node.index, node.state)
		}
	}
	return nil
}

// alive reports whether the process still runs.
func (n *ingress) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// close ends all that the world started.
func (w *world) close() {
	for _, node := range w.nodes {
		if node.command != nil {
			if node.alive() {
				node.command.Process.Signal(syscall.SIGKILL)
			}
			<-node.exited
		}
		w.copyLog(node)
		node.reserve.Close()
	}
	for _, server := range w.servers {
		server.close()
	}
	if w.discovery != nil {
		w.discovery.Close()
		w.counter.Close()
	}
	os.RemoveAll(w.dir)
}

// copyLog appends the end of an ingress's log to the record.
func (w *world) copyLog(n *ingress) {
	text, err := os.ReadFile(filepath.Join(w.dir, fmt.Sprintf("log-%d.txt", n.index)))
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(0, len(lines)-30):] {
		w.record.printf("log of ingress %d: %s", n.index, line)
	}
}

// baseSettings are the settings of a small deployment, as the page on the wire shows them.
const baseSettings = `{"callers": {"marksRetry": true},
 "classes": [
  {"deadlineUs": 1000000, "effect": "read_like", "group": "all", "lateShare": 0.2, "name": "unit-status",
   "objectiveUs": 250000, "streaming": false, "value": 1.0, "windowUs": 5000000},
  {"deadlineUs": 2500000, "effect": "non_idempotent", "group": "all", "lateShare": 0.2, "name": "book-callout",
   "objectiveUs": 750000, "streaming": false, "value": 2.0, "windowUs": 5000000}],
 "contracts": [
  {"burst": 8.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 1.2, "excessWorth": 0.0, "hardRate": 0.0, "name": "basic",
   "price": 0.88, "refill": 1.8, "tolerance": 0.0},
  {"burst": 52.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 0.0, "excessWorth": 0.3, "hardRate": 0.0, "name": "standard",
   "price": 1.3, "refill": 9.4, "tolerance": 0.0},
  {"burst": 84.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 1.2, "excessWorth": 0.0, "hardRate": 0.0, "name": "full-cover",
   "price": 1.6, "refill": 40.0, "tolerance": 0.0}],
 "family": "gate",
 "familyInfo": {"costAfter": true, "counterPrice": 0.005, "counterTimeoutUs": 80000, "maxUnits": 4, "meterUs": 0,
  "peerIntake": 0.0, "sharedCounter": true},
 "flavors": ["std-2c"],
 "invariants": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldFrom": 0.21, "drainGraceUs": 1000000, "fallMultiple": 4.0,
  "fallUs": 3000000, "warmAfterUs": 18000000},
 "layers": ["unit-service"], "me": 0, "myZone": "pdx-1",
 "objectiveMix": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
 "periodUs": 2000,
 "permissions": {"connIdleUs": 15000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 663449,
  "maxAttempts": 5, "maxOpen": 26537, "maxRetryAfterUs": 2000000, "maxStreams": 100, "mayCancel": true, "mayTell": false,
  "parallelTries": true, "probing": false, "retryAfter": true},
 "prices": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0,
  "probe": 0.0, "registryMode": 0.0, "waste": 0.03},
 "registryMode": "automatic", "replicasOfMe": 2, "report": {"columns": ["util", "latency_ms", "queue"], "how": "piggyback"},
 "tier": 0, "weightSource": "rough", "zones": ["pdx-1"]}`
