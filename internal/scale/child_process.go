package scale

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// exitTimeout is the time that a child has to exit before it is killed.
const exitTimeout = 2 * time.Second

// childProcess is a process that the run started. It and the processes that it starts itself end with the run.
type childProcess struct {
	cmd     *exec.Cmd
	monitor *resourceMonitor
	exited  chan struct{} // closed after the process has exited
	exitErr error         // result of cmd.Wait; read only after exited is closed
}

// startChild starts the command that newCommand returns. The process is killed when ctx ends.
func startChild(ctx context.Context, monitor *resourceMonitor,
	newCommand func(context.Context) *exec.Cmd) (*childProcess, error) {
	child := &childProcess{cmd: newCommand(ctx), monitor: monitor, exited: make(chan struct{})}
	// In a process group of its own the child does not receive the SIGINT of Ctrl-C: the run handles that signal and
	// stops its children. Pdeathsig kills the child if the run itself is killed.
	child.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	child.cmd.Cancel = child.kill
	child.cmd.WaitDelay = exitTimeout
	if err := child.cmd.Start(); err != nil {
		return nil, err
	}
	monitor.addProcess(child.pid())
	go func() { // ends with the process; the code that stops the process waits for exited
		defer close(child.exited)
		child.exitErr = child.cmd.Wait()
		monitor.removeProcess(child.pid())
	}()
	return child, nil
}

func (child *childProcess) pid() int { return child.cmd.Process.Pid }

// kill kills the process and all others in its group.
func (child *childProcess) kill() error {
	err := syscall.Kill(-child.pid(), syscall.SIGKILL)
	if errors.Is(err, syscall.ESRCH) {
		return os.ErrProcessDone
	}
	return err
}

// waitOrKill waits until the process has exited, and kills it after the timeout.
func (child *childProcess) waitOrKill(timeout time.Duration) {
	select {
	case <-child.exited:
	case <-time.After(timeout):
		child.kill() // an error means that it has already exited
		<-child.exited
	}
}
