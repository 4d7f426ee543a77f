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
	standInProcesses     = 2               // discovery and the counter, apart so that each can be measured
	polledCallsPerSecond = 100             // that discovery serves where lists are polled
	polledQueueTimeout   = 2 * time.Second // of a call that waits for its turn there
)

// standInProcess is the process of a stand-in, as the run sees it.
type standInProcess struct {
	*childProcess
	addr string // that the stand-in listens on

	mu      sync.Mutex // held during a call: guards in and out
	stdin   io.WriteCloser
	replies *json.Decoder
}

// startStandIn starts this program again as the stand-in of a role and lets it listen as config says.
func startStandIn(ctx context.Context, monitor *resourceMonitor, role string,
	config standInCommand) (*standInProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	s := &standInProcess{}
	var stdout io.Reader
	var pipeErr error
	s.childProcess, err = startChild(ctx, monitor, func(ctx context.Context) *exec.Cmd {
		cmd := exec.CommandContext(ctx, executable)
		cmd.Env = append(os.Environ(), roleEnvVariable+"="+role)
		var inErr, outErr error
		s.stdin, inErr = cmd.StdinPipe()
		stdout, outErr = cmd.StdoutPipe()
		pipeErr = errors.Join(inErr, outErr)
		return cmd
	})
	if err = errors.Join(err, pipeErr); err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	s.replies = json.NewDecoder(stdout)
	config.Action = actionServe
	reply, err := s.call(config)
	if err != nil {
		s.stop()
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	s.addr = reply.Addr
	return s, nil
}

// call sends a command and returns the reply. The error is a *standInError where the stand-in says what went wrong.
func (process *standInProcess) call(command standInCommand) (standInReply, error) {
	process.mu.Lock()
	defer process.mu.Unlock()
	var reply standInReply
	if err := json.NewEncoder(process.stdin).Encode(command); err != nil {
		return reply, fmt.Errorf("stand-in: %w", err)
	}
	if err := process.replies.Decode(&reply); err != nil {
		return reply, fmt.Errorf("stand-in: %w", err)
	}
	if reply.Error != "" {
		return reply, &standInError{reply.Error}
	}
	return reply, nil
}

// stop ends the process by the end of its input, and waits for it.
func (process *standInProcess) stop() {
	process.stdin.Close() // an error means that the process has ended
	process.waitOrKill(exitTimeout)
}

// standIns are discovery and the counter.
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

// setList replaces discovery's list.
func (services *standIns) setList(targets []standin.Target) error {
	_, err := services.discovery.call(standInCommand{Action: actionSetList, Targets: targets})
	return err
}

// applyChange changes entries of discovery's list, and returns the revision and time of that.
func (services *standIns) applyChange(targets ...standin.Target) (appliedRevision, error) {
	reply, err := services.discovery.call(standInCommand{Action: actionChange, Targets: targets})
	return appliedRevision{reply.Revision, reply.AppliedAt}, err
}
