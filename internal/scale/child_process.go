package scale

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// exitTimeout is how long a child may take to end before it is killed.
const exitTimeout = 2 * time.Second

// childProcess is a process that the run started. It and all that it starts in its turn end with the run.
type childProcess struct {
	cmd     *exec.Cmd
	monitor *resourceMonitor
	exited  chan struct{} // closed after the end of the process
	exitErr error         // of its end; read after exited
}

// startChild starts the command that newCommand returns. It is killed when ctx ends.
func startChild(ctx context.Context, monitor *resourceMonitor,
	newCommand func(context.Context) *exec.Cmd) (*childProcess, error) {
	c := &childProcess{cmd: newCommand(ctx), monitor: monitor, exited: make(chan struct{})}
	// A process group of its own keeps Ctrl-C from the child: that is for the run, which then ends its children.
	// Pdeathsig ends the child where the run itself is killed.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	c.cmd.Cancel = c.kill
	c.cmd.WaitDelay = exitTimeout
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	monitor.addProcess(c.pid())
	go func() { // ends with the process; whoever ends that waits for exited
		defer close(c.exited)
		c.exitErr = c.cmd.Wait()
		monitor.removeProcess(c.pid())
	}()
	return c, nil
}

func (child *childProcess) pid() int { return child.cmd.Process.Pid }

// kill ends the process and all others of its group.
func (child *childProcess) kill() error {
	err := syscall.Kill(-child.pid(), syscall.SIGKILL)
	if errors.Is(err, syscall.ESRCH) {
		return os.ErrProcessDone
	}
	return err
}

// waitOrKill returns once the process has ended; it is killed if that takes longer than the timeout.
func (child *childProcess) waitOrKill(timeout time.Duration) {
	select {
	case <-child.exited:
	case <-time.After(timeout):
		child.kill() // an error means that it has ended
		<-child.exited
	}
}
