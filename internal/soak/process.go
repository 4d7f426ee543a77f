package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longestDeadline = 700 * time.Millisecond
	killAfter       = longestDeadline + 700*time.Millisecond // SIGKILL after SIGTERM
	socketsMost     = 512
	memoryMB        = 192
	readyMost       = 30 * time.Second
	newUntil        = 400 * time.Millisecond // after SIGTERM: clients open new connections
)

// ingressProcess is one ingress of the fleet, which may live several times.
type ingressProcess struct {
	run    *run
	index  int
	listen string
	path   string // of its configuration
	side   int
	moved  int // the addresses of discovery and the counter that it was told of last

	change sync.Mutex // held while it is stopped or started

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	lives  int
	killed int       // the last life that was ended by SIGKILL before it ended by itself
	termed bool      // this life was told to end
	termAt time.Time // when one was last told to end
}

func newIngressProcess(r *run, index int) (*ingressProcess, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return &ingressProcess{run: r, index: index, listen: ln.Addr().String(), side: index % sideCount, killed: -1,
		path: filepath.Join(r.opts.Dir, fmt.Sprintf("n%d.json", index))}, nil
}

type object = map[string]any

// configure writes the configuration file.
func (p *ingressProcess) configure() error {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var kinds, contracts []object
	for _, c := range classes {
		name := map[effect]string{effectSafe: "read_like", effectUnsafe: "non_idempotent", effectKeyed: "idempotency_key"}[c.effect]
		kinds = append(kinds, object{"name": c.name, "value": 1, "objectiveUs": us(longestDeadline / 3), "deadlineUs": us(longestDeadline),
			"effect": name, "group": "all", "windowUs": us(repeatWindow), "lateShare": 0.2})
	}
	for i := range plans {
		contracts = append(contracts, object{"name": fmt.Sprint("p", i), "price": 1 + float64(i), "refill": 10 * (i + 1), "burst": 20 * (i + 1),
			"excessWorth": 0.5, "excessCost": 0.1})
	}
	w := p.run.world
	w.mu.Lock()
	known := object{"rev": 0, "all": true, "targets": w.targets(p.side)}
	w.mu.Unlock()
	text, err := json.Marshal(object{"name": fmt.Sprint("n", p.index), "listen": p.listen,
		"discovery": w.agents[p.side].addrs[p.moved%2], "counter": w.counters[p.moved%2], "seed": fmt.Sprintf("%x", p.run.opts.Seed+uint64(p.index)),
		"limits": object{"cores": 1, "memory_mb": memoryMB, "sockets": socketsMost}, "known": known,
		"settings": object{"me": p.index, "replicasOfMe": p.run.opts.Processes, "registryMode": "automatic", "classes": kinds,
			"contracts":   contracts,
			"familyInfo":  object{"sharedCounter": true, "counterTimeoutUs": us(80 * time.Millisecond), "maxUnits": 4},
			"permissions": object{"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * time.Millisecond), "maxAttempts": 4, "mayCancel": true, "parallelTries": true, "retryAfter": true, "maxRetryAfterUs": us(2 * time.Second)},
			"invariants":  object{"drainGraceUs": us(time.Second), "coldFrom": 0.3, "warmAfterUs": us(5 * time.Second), "fallMultiple": 4, "fallUs": us(3 * time.Second)}}})
	if err != nil {
		return err
	}
	return writeFile(p.path, text)
}

func (p *ingressProcess) logPath() string { return strings.TrimSuffix(p.path, ".json") + ".log" }

// start begins a life.
func (p *ingressProcess) start() error {
	if err := p.configure(); err != nil {
		return err
	}
	how := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if p.life() == 0 { // else the log of an earlier run would be judged
		how |= os.O_TRUNC
	}
	log, err := os.OpenFile(p.logPath(), how, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.run.opts.Command[0], p.run.opts.Command[1:]...)
	cmd.Env = append(append(os.Environ(), p.run.opts.Env...), "ROUTER_CONFIG="+p.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.lives++
	life := p.lives
	p.cmd, p.done, p.termed = cmd, done, false
	p.mu.Unlock()
	go func() {
		defer close(done)
		p.ended(life, cmd.Wait())
	}()
	return nil
}

// ended judges the end of a life.
func (p *ingressProcess) ended(life int, err error) {
	p.mu.Lock()
	expected := p.killed == life || p.termed && err == nil
	p.mu.Unlock()
	if !expected {
		p.run.ledger.violated(Crashed, p.index, "life %d ended: %v", life, err)
	}
}

// ready waits until it answers PING.
func (p *ingressProcess) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	for ctx.Err() == nil {
		if p.pings() {
			return nil
		}
		pause(ctx, 5*time.Millisecond)
	}
	return fmt.Errorf("ingress %d is not ready after %v", p.index, readyMost)
}

func (p *ingressProcess) pings() bool {
	nc, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	nc.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// life numbers the present life.
func (p *ingressProcess) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// mayBreak says why connections that began in a life may break without answers; "" if there is no reason.
func (p *ingressProcess) mayBreak(life int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed >= life {
		return "the ingress was killed"
	}
	return ""
}

// wasLeaving says whether a connection came later after SIGTERM than clients open new ones.
func (p *ingressProcess) wasLeaving(dialled time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.termAt.IsZero() && dialled.Sub(p.termAt) > newUntil && dialled.Sub(p.termAt) < killAfter
}

func (p *ingressProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.run.ledger.violated(Crashed, p.index, "signal %v: %v", s, err)
	}
}

// kill ends the life at once.
func (p *ingressProcess) kill() {
	p.mu.Lock()
	p.killed = p.lives
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ending()
}

func (p *ingressProcess) ending() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// terminate tells it to end, and ends it where it has not in its time; that is a crash, since all it had taken was to be
// answered by then.
func (p *ingressProcess) terminate() {
	p.mu.Lock()
	p.termed, p.termAt = true, time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ending():
		return
	case <-time.After(killAfter + heldUpMost):
	}
	if p.run.opts.Timed {
		p.run.ledger.violated(Crashed, p.index, "still there %v after SIGTERM", killAfter)
		p.kill()
		return
	}
	<-p.ending()
}

// stopForGood ends the last life and looks at what the process logged.
func (p *ingressProcess) stopForGood() {
	p.change.Lock()
	defer p.change.Unlock()
	p.mu.Lock()
	over := p.cmd == nil
	p.mu.Unlock()
	if over {
		return
	}
	p.terminate()
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	p.readLog()
}

// timedRules are rules of an ingress's own checks that a slow machine breaks.
var timedRules = []string{"rule=in_time", "rule=client_left", "rule=drain", "rule=deadline"}

// readLog reports what an ingress says of itself.
func (p *ingressProcess) readLog() {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		p.run.ledger.violated(Crashed, p.index, "no log: %v", err)
		return
	}
	for line := range bytes.Lines(text) {
		s := strings.TrimSpace(string(line))
		switch {
		case strings.Contains(s, "rule broken") && (p.run.opts.Timed || !anyOf(s, timedRules)):
			p.run.ledger.violated(OwnCheck, p.index, "%s", s)
		case strings.HasPrefix(s, "panic: "), strings.HasPrefix(s, "fatal error: "), strings.Contains(s, "DATA RACE"):
			p.run.ledger.violated(Crashed, p.index, "%s", s)
		}
	}
}

func anyOf(s string, parts []string) bool {
	for _, part := range parts {
		if strings.Contains(s, part) {
			return true
		}
	}
	return false
}
