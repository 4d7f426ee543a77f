// Package rig has the stand-ins and the process control that the cases under review/ share: ingresses as separate processes,
// backends, clients and the record of a run. Discovery and the counter are those of lemontack/internal/standin.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/loopback"
)

// Errors of the set-up, after which a case ends with exit code 2.
var (
	errNoRunCommand = errors.New("deploy/balancer.toml has no run command")
	errNotReady     = errors.New("the ingress did not answer PING")
)

// Ingress is one ingress, run as a process of its own by the run command of the deploy file.
type Ingress struct {
	Address string
	LogPath string

	reservation *loopback.Reservation // keeps the port from other sockets until the case ends
	root        string
	configPath  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	Ended  time.Time // time at which the latest process has exited
	Err    error     // result of the latest process
}

// NewIngress returns an ingress that has not started. Its files are in dir.
func NewIngress(root, dir, name string) (*Ingress, error) {
	reservation, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	return &Ingress{Address: reservation.Address(), reservation: reservation, root: root,
		configPath: filepath.Join(dir, name+".json"), LogPath: filepath.Join(dir, name+".log")}, nil
}

// runCommand returns the value of the key run in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errNoRunCommand
}

// WriteConfig replaces the configuration file in one step.
func (in *Ingress) WriteConfig(config any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(in.configPath+".new", in.configPath)
}

// Start starts the process.
func (in *Ingress) Start() error {
	command, err := runCommand(in.root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(in.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = in.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+in.configPath)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	go func() { // ends with the process
		err := cmd.Wait()
		in.mu.Lock()
		in.Ended, in.Err = time.Now(), err
		in.mu.Unlock()
		close(exited)
	}()
	return nil
}

// AwaitReady waits for PONG.
func (in *Ingress) AwaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if in.ping() {
			return nil
		}
	}
	return errNotReady
}

func (in *Ingress) ping() bool {
	nc, err := net.DialTimeout("tcp", in.Address, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// Signal sends a signal to the process.
func (in *Ingress) Signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cmd.Process.Signal(s)
}

// Exited returns a channel that is closed when the process has exited.
func (in *Ingress) Exited() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.exited
}

// Kill ends the process and waits for it.
func (in *Ingress) Kill() {
	in.mu.Lock()
	started := in.cmd != nil
	in.mu.Unlock()
	if started {
		in.Signal(syscall.SIGKILL)
		<-in.Exited()
	}
}

// Memory returns the resident memory of the process in KiB: its own without that of files, and all of it.
func (in *Ingress) Memory() (own, all int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.pid()))
	for line := range strings.SplitSeq(string(text), "\n") {
		fmt.Sscanf(line, "RssAnon: %d kB", &own)
		fmt.Sscanf(line, "VmRSS: %d kB", &all)
	}
	return own, all
}

// PeakMemory returns the peak of the resident memory of the process in KiB, with that of files.
func (in *Ingress) PeakMemory() (peak int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.pid()))
	for line := range strings.SplitSeq(string(text), "\n") {
		fmt.Sscanf(line, "VmHWM: %d kB", &peak)
	}
	return peak
}

func (in *Ingress) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}
