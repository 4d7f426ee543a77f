package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"lemontack/internal/standin"
)

const (
	standInProcesses = 2               // discovery and the counter, each in a process of its own so that it can be measured
	roleEnvVariable  = "SCALE_ROLE"    // set for a process that plays a stand-in
	exitTimeout      = 2 * time.Second // for a child's end before it is killed
)

// standInCommand is what a run tells a stand-in's process, one JSON object after another on its standard input.
type standInCommand struct {
	Do        string                  `json:"do"` // serve, list, change, report
	Discovery standin.DiscoveryConfig `json:"discovery,omitzero"`
	Counter   standin.CounterConfig   `json:"counter,omitzero"`
	Targets   []standin.Target        `json:"targets,omitempty"`
}

// StandInReply is what it answers to each.
type StandInReply struct {
	Addr      string                 `json:"addr,omitempty"`
	Error     string                 `json:"error,omitempty"`
	Revision  int64                  `json:"rev,omitempty"`
	AppliedAt time.Time              `json:"at"` // of a change
	Discovery standin.DiscoveryStats `json:"discovery,omitzero"`
	Counter   standin.CounterStats   `json:"counter,omitzero"`
	CPUTime   time.Duration          `json:"processor"`
	Heap      uint64                 `json:"heap,omitempty"`
}

// StandInRole says which stand-in this process is to play, if any.
func StandInRole() (string, bool) { return os.LookupEnv(roleEnvVariable) }

// RunStandIn serves as a stand-in until the input ends: the run that started it is over then, however it ended.
func RunStandIn(name string, in io.Reader, out io.Writer) error {
	p := &standInServer{}
	defer p.close()
	answers := json.NewEncoder(out)
	for orders := json.NewDecoder(in); ; {
		var o standInCommand
		if err := orders.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("order: %w", err)
		}
		report, err := p.execute(name, o)
		if err != nil {
			report.Error = err.Error()
		}
		if err := answers.Encode(report); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
}

// standInServer is a stand-in in a process of its own; one of the two is set.
type standInServer struct {
	discovery *standin.Discovery
	counter   *standin.Counter
}

func (p *standInServer) execute(name string, o standInCommand) (StandInReply, error) {
	var report StandInReply
	switch {
	case o.Do == "serve":
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return report, err
		}
		report.Addr = ln.Addr().String()
		if name == "discovery" {
			p.discovery = standin.NewDiscovery(o.Discovery)
			go p.discovery.Serve(ln) // ends with the process
			return report, nil
		}
		p.counter = standin.NewCounter(o.Counter)
		go p.counter.Serve(ln)
	case o.Do == "list" && p.discovery != nil:
		p.discovery.SetList(o.Targets)
	case o.Do == "change" && p.discovery != nil:
		report.AppliedAt = time.Now()
		report.Revision = p.discovery.Change(o.Targets...)
	case o.Do == "report" || o.Do == "heap":
		report.CPUTime = cpuTime(wholeProcess)
		if o.Do == "heap" {
			report.Heap = memoryInUse()
		}
		if p.discovery != nil {
			report.Discovery = p.discovery.Stats()
		}
		if p.counter != nil {
			report.Counter = p.counter.Stats()
		}
	default:
		return report, fmt.Errorf("no such order: %q", o.Do)
	}
	return report, nil
}

func (p *standInServer) close() {
	if p.discovery != nil {
		p.discovery.Close()
	}
	if p.counter != nil {
		p.counter.Close()
	}
}

// childProcess is a process that the run started, with all that this one starts: they end with the run.
type childProcess struct {
	cmd     *exec.Cmd
	monitor *resourceMonitor
	exited  chan struct{}
	err     error // of its end
}

func startChild(ctx context.Context, w *resourceMonitor, cmd func(context.Context) *exec.Cmd) (*childProcess, error) {
	c := &childProcess{cmd: cmd(ctx), monitor: w, exited: make(chan struct{})}
	// Ctrl-C is for the run, which ends it; if the run itself is killed, so is the child.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	c.cmd.Cancel = c.kill
	c.cmd.WaitDelay = exitTimeout
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	w.addProcess(c.cmd.Process.Pid)
	go func() {
		defer close(c.exited)
		c.err = c.cmd.Wait()
		w.removeProcess(c.cmd.Process.Pid)
	}()
	return c, nil
}

func (c *childProcess) kill() error {
	err := syscall.Kill(-c.cmd.Process.Pid, syscall.SIGKILL)
	if errors.Is(err, syscall.ESRCH) {
		return os.ErrProcessDone
	}
	return err
}

// waitOrKill returns once it has ended, killed if that takes longer than the limit.
func (c *childProcess) waitOrKill(limit time.Duration) {
	select {
	case <-c.exited:
	case <-time.After(limit):
		c.kill() // what it says is seen by its end
		<-c.exited
	}
}

// standInProcess is a stand-in's process, as the run sees it.
type standInProcess struct {
	*childProcess
	addr string
	mu   sync.Mutex
	in   io.WriteCloser
	out  *json.Decoder
}

func startStandIn(ctx context.Context, w *resourceMonitor, name string, serve standInCommand) (*standInProcess, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &standInProcess{}
	var out io.ReadCloser
	var pipes error
	r.childProcess, err = startChild(ctx, w, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, exe)
		cmd.Env = append(os.Environ(), roleEnvVariable+"="+name)
		var e1, e2 error
		r.in, e1 = cmd.StdinPipe()
		out, e2 = cmd.StdoutPipe()
		pipes = errors.Join(e1, e2)
		return cmd
	})
	if err = errors.Join(err, pipes); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	r.out = json.NewDecoder(out)
	serve.Do = "serve"
	report, err := r.call(serve)
	if err != nil {
		r.stop()
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	r.addr = report.Addr
	return r, nil
}

func (r *standInProcess) call(o standInCommand) (StandInReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var report StandInReply
	if err := json.NewEncoder(r.in).Encode(o); err != nil {
		return report, fmt.Errorf("stand-in: %w", err)
	}
	if err := r.out.Decode(&report); err != nil {
		return report, fmt.Errorf("stand-in: %w", err)
	}
	if report.Error != "" {
		return report, errors.New(report.Error)
	}
	return report, nil
}

// stop ends it by the end of its input.
func (r *standInProcess) stop() {
	if r == nil {
		return
	}
	r.in.Close()
	r.waitOrKill(exitTimeout)
}
