package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"lemontack/internal/standin"
)

const (
	standInProcesses     = 2               // processes for discovery and the counter, separate so that each can be measured
	polledCallsPerSecond = 100             // calls per second that discovery serves if lists are polled
	polledQueueTimeout   = 2 * time.Second // longest wait of a call in discovery's queue if lists are polled
)

// standInProcess is the run's handle of a stand-in's process.
type standInProcess struct {
	*childProcess
	addr string // address that the stand-in listens on

	mu      sync.Mutex // held during a call; guards stdin and replies
	stdin   io.WriteCloser
	replies *json.Decoder
}

// startStandIn starts this program again as the stand-in of a role, which then serves with the given configuration.
func startStandIn(ctx context.Context, monitor *resourceMonitor, role string,
	command standInCommand) (*standInProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	process := &standInProcess{}
	var stdout io.Reader
	var pipeErr error
	process.childProcess, err = startChild(ctx, monitor, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, executable)
		cmd.Env = append(os.Environ(), roleEnv+"="+role)
		var inErr, outErr error
		process.stdin, inErr = cmd.StdinPipe()
		stdout, outErr = cmd.StdoutPipe()
		pipeErr = errors.Join(inErr, outErr)
		return cmd
	})
	if err = errors.Join(err, pipeErr); err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	process.replies = json.NewDecoder(stdout)
	command.Action = actionServe
	reply, err := process.call(command)
	if err != nil {
		process.stop()
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	process.addr = reply.Addr
	return process, nil
}

// call sends a command and returns the reply. An error that the stand-in returned is a *standInError.
func (process *standInProcess) call(command standInCommand) (standInReply, error) {
	process.mu.Lock()
	defer process.mu.Unlock()
	var reply standInReply
	if err := json.NewEncoder(process.stdin).Encode(command); err != nil {
		return reply, fmt.Errorf("sending a command to the stand-in: %w", err)
	}
	if err := process.replies.Decode(&reply); err != nil {
		return reply, fmt.Errorf("reading the reply of the stand-in: %w", err)
	}
	if reply.Error != "" {
		return reply, &standInError{reply.Error}
	}
	return reply, nil
}

// stop closes the input of the process, which makes it exit, and waits for that.
func (process *standInProcess) stop() {
	process.stdin.Close() // an error means that the process has already exited
	process.waitOrKill(exitTimeout)
}

type standIns struct{ discovery, counter *standInProcess }

func startStandIns(ctx context.Context, monitor *resourceMonitor, shape fleetShape) (*standIns, error) {
	var config standin.DiscoveryConfig
	if shape.PollsEndpoints {
		config.CallsPerSecond, config.QueueTimeout = polledCallsPerSecond, polledQueueTimeout
	}
	discovery, err := startStandIn(ctx, monitor, roleDiscovery, standInCommand{Discovery: config})
	if err != nil {
		return nil, err
	}
	counter, err := startStandIn(ctx, monitor, roleCounter, standInCommand{})
	if err != nil {
		discovery.stop()
		return nil, err
	}
	return &standIns{discovery, counter}, nil
}

func (services *standIns) stop() {
	services.discovery.stop()
	services.counter.stop()
}

// setList replaces discovery's endpoint list.
func (services *standIns) setList(targets []standin.Target) error {
	_, err := services.discovery.call(standInCommand{Action: actionSetList, Targets: targets})
	return err
}

// applyChange changes entries of discovery's endpoint list, and returns the revision and the time of the change.
func (services *standIns) applyChange(targets ...standin.Target) (appliedRevision, error) {
	reply, err := services.discovery.call(standInCommand{Action: actionChange, Targets: targets})
	return appliedRevision{reply.Revision, reply.AppliedAt}, err
}
