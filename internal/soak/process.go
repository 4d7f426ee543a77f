package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/loopback"
)

const (
	shutdownTimeout        = maxTimeout + 700*time.Millisecond // maximum time from SIGTERM to exit
	acceptTimeAfterSIGTERM = 400 * time.Millisecond            // time after SIGTERM in which the ingress accepts connections
	readyTimeout           = 30 * time.Second
	readyPollInterval      = 5 * time.Millisecond
	dialTimeout            = time.Second
	pingTimeout            = time.Second
)

// configEnv is the environment variable with the path of an ingress's configuration file.
const configEnv = "ROUTER_CONFIG"

// errNotReady means that an ingress did not reply to PING within readyTimeout.
var errNotReady = errors.New("no PONG in reply to PING")

// ingressProcess is one ingress, which may be restarted. Each operating system process of the ingress is an incarnation.
type ingressProcess struct {
	options *Options
	cluster *cluster
	checker *checker
	index   int
	segment int
	// reservation prevents other sockets of the machine from using the port, also between two incarnations.
	reservation *loopback.Reservation
	listenAddr  string
	configPath  string
	logPath     string

	lifecycle sync.Mutex // held while the process is paused, stopped, restarted or reconfigured; guards reloads
	reloads   int        // number of reloads, which selects the addresses of discovery and the counter

	mu                    sync.Mutex    // guards the fields below
	cmd                   *exec.Cmd     // current incarnation; nil before the first start and after shutdown
	exited                chan struct{} // closed when the current incarnation has exited
	incarnation           int           // number of the current incarnation; zero before the first start
	lastKilledIncarnation int           // last incarnation that received SIGKILL; -1 means none
	terminating           bool          // whether the current incarnation received SIGTERM
	terminatedAt          time.Time     // last time that an incarnation received SIGTERM; zero means never
}

func newIngressProcess(opts *Options, cl *cluster, c *checker, index int) (*ingressProcess, error) {
	reservation, err := loopback.Reserve()
	if err != nil {
		return nil, fmt.Errorf("reserve address: %w", err)
	}
	path := func(extension string) string { return filepath.Join(opts.Dir, fmt.Sprintf("n%d%s", index, extension)) }
	return &ingressProcess{options: opts, cluster: cl, checker: c, index: index, segment: segmentOf(index),
		reservation: reservation, listenAddr: reservation.Address(), configPath: path(".json"), logPath: path(".log"),
		lastKilledIncarnation: -1}, nil
}

// start starts a new incarnation.
func (p *ingressProcess) start() error {
	if err := p.writeConfig(); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	log, err := p.openLog()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(p.options.Command[0], p.options.Command[1:]...)
	cmd.Env = append(append(os.Environ(), p.options.Env...), configEnv+"="+p.configPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start process: %w", err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.incarnation++
	incarnation := p.incarnation
	p.cmd, p.exited, p.terminating = cmd, exited, false
	p.mu.Unlock()
	// Ends when the process exits; kill and terminate wait for it.
	go func() {
		defer close(exited)
		p.checkExit(incarnation, cmd.Wait())
	}()
	return nil
}

// openLog opens the log, to which all incarnations of a run append.
func (p *ingressProcess) openLog() (*os.File, error) {
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if p.currentIncarnation() == 0 { // discard the log of an earlier run
		flags |= os.O_TRUNC
	}
	return os.OpenFile(p.logPath, flags, 0o600)
}

// checkExit checks that an incarnation exited only after SIGKILL, or without an error after SIGTERM.
func (p *ingressProcess) checkExit(incarnation int, err error) {
	p.mu.Lock()
	expected := p.lastKilledIncarnation == incarnation || p.terminating && err == nil
	p.mu.Unlock()
	if !expected {
		p.checker.violations.record(Crashed, p.index, "incarnation %d exited unexpectedly: %v", incarnation, err)
	}
}

// awaitReady waits until the process replies to PING, for at most readyTimeout.
func (p *ingressProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if p.ping() {
			return nil
		}
		sleep(ctx, readyPollInterval)
	}
	return fmt.Errorf("ingress %d not ready within %v: %w", p.index, readyTimeout, errNotReady)
}

// ping reports whether the process replies to PING.
func (p *ingressProcess) ping() bool {
	nc, err := p.dial()
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(pingTimeout))
	io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// dial opens a connection to the process.
func (p *ingressProcess) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", p.listenAddr, dialTimeout)
}

func (p *ingressProcess) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// wasKilled reports whether an incarnation received SIGKILL. A killed ingress need not reply.
func (p *ingressProcess) wasKilled(incarnation int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastKilledIncarnation >= incarnation
}

// hadStoppedAccepting reports whether a connection was opened after an incarnation had stopped accepting connections because of
// SIGTERM, and before its shutdownTimeout.
func (p *ingressProcess) hadStoppedAccepting(dialledAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminatedAt.IsZero() {
		return false
	}
	elapsed := dialledAt.Sub(p.terminatedAt)
	return elapsed > acceptTimeAfterSIGTERM && elapsed < shutdownTimeout
}

func (p *ingressProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.checker.violations.record(Crashed, p.index, "signal %v: %v", s, err)
	}
}

// exitSignal returns a channel that is closed when the current incarnation has exited.
func (p *ingressProcess) exitSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill sends SIGKILL to the current incarnation and waits until it has exited.
func (p *ingressProcess) kill() {
	p.mu.Lock()
	p.lastKilledIncarnation = p.incarnation
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.exitSignal()
}

// terminate sends SIGTERM to the current incarnation and waits until it has exited. If timing is checked, an incarnation that
// runs for longer than shutdownTimeout and maxStall is a violation and is killed, since it must have sent all replies by then.
func (p *ingressProcess) terminate() {
	p.mu.Lock()
	p.terminating, p.terminatedAt = true, time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exitSignal():
		return
	case <-time.After(shutdownTimeout + maxStall):
	}
	if p.options.CheckTiming {
		p.checker.violations.record(Crashed, p.index, "still running %v after SIGTERM", shutdownTimeout)
		p.kill()
		return
	}
	<-p.exitSignal()
}

// shutdown terminates the current incarnation and checks the log of the process. Further calls do nothing.
func (p *ingressProcess) shutdown() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if !p.isRunning() {
		return
	}
	p.terminate()
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	if err := p.checkLog(); err != nil {
		p.checker.violations.record(Crashed, p.index, "%v", err)
	}
}

// isRunning reports whether the process was started and not yet shut down.
func (p *ingressProcess) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}
