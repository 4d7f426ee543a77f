package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"lemontack/internal/standin"
)

// roleEnvVariable is set for a process that is to run a stand-in; its value is the stand-in's role.
const roleEnvVariable = "SCALE_ROLE"

// standInAction is what a stand-in's process is asked to do.
type standInAction string

const (
	actionServe        standInAction = "serve" // listen on a loopback address
	actionSetList      standInAction = "list"
	actionChange       standInAction = "change"
	actionReport       standInAction = "report"
	actionReportMemory standInAction = "heap" // report, after a garbage collection
)

// errUnknownAction says that a stand-in cannot do what it is asked to.
var errUnknownAction = errors.New("no such order")

// standInError is what a stand-in's process replied that went wrong there.
type standInError struct{ message string }

func (e *standInError) Error() string { return e.message }

// standInCommand is one of the JSON objects that the run writes to the standard input of a stand-in's process.
type standInCommand struct {
	Action    standInAction           `json:"do"`
	Discovery standin.DiscoveryConfig `json:"discovery,omitzero"`
	Counter   standin.CounterConfig   `json:"counter,omitzero"`
	Targets   []standin.Target        `json:"targets,omitempty"`
}

// standInReply is what a stand-in's process writes to its standard output for each command.
type standInReply struct {
	Addr      string                 `json:"addr,omitempty"`
	Error     string                 `json:"error,omitempty"`
	Revision  int64                  `json:"rev,omitempty"`
	AppliedAt time.Time              `json:"at"` // of a change
	Discovery standin.DiscoveryStats `json:"discovery,omitzero"`
	Counter   standin.CounterStats   `json:"counter,omitzero"`
	CPUTime   time.Duration          `json:"processor"`      // of the process so far
	Memory    uint64                 `json:"heap,omitempty"` // bytes of heap and stacks in use
}

// StandInRole returns the role of the stand-in that this process is to run, if any.
func StandInRole() (string, bool) { return os.LookupEnv(roleEnvVariable) }

// RunStandIn runs the stand-in of a role until the input ends, which it does when the run that started this process
// ends, in whatever way.
func RunStandIn(role string, in io.Reader, out io.Writer) error {
	server := &standInServer{role: role}
	defer server.close()
	replies := json.NewEncoder(out)
	for commands := json.NewDecoder(in); ; {
		var command standInCommand
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("order: %w", err)
		}
		reply, err := server.execute(command)
		if err != nil {
			reply.Error = err.Error()
		}
		if err := replies.Encode(reply); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
}

// standInServer is the stand-in of a process. After the first command one of its two services is set.
type standInServer struct {
	role      string
	discovery *standin.Discovery
	counter   *standin.Counter
	serving   sync.WaitGroup // the goroutine that accepts connections
}

func (s *standInServer) execute(command standInCommand) (standInReply, error) {
	switch {
	case command.Action == actionServe:
		return s.serve(command)
	case command.Action == actionSetList && s.discovery != nil:
		s.discovery.SetList(command.Targets)
		return standInReply{}, nil
	case command.Action == actionChange && s.discovery != nil:
		appliedAt := time.Now()
		return standInReply{AppliedAt: appliedAt, Revision: s.discovery.ApplyChange(command.Targets...)}, nil
	case command.Action == actionReport || command.Action == actionReportMemory:
		return s.report(command.Action == actionReportMemory), nil
	}
	return standInReply{}, fmt.Errorf("%w: %q", errUnknownAction, command.Action)
}

// serve starts the stand-in; close ends the goroutine that serves and waits for it.
func (s *standInServer) serve(command standInCommand) (standInReply, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standInReply{}, err
	}
	if s.role == roleDiscovery {
		s.discovery = standin.NewDiscovery(command.Discovery)
		s.serving.Go(func() { s.discovery.Serve(listener) }) // an error shows in the calls of the ingresses
	} else {
		s.counter = standin.NewCounter(command.Counter)
		s.serving.Go(func() { s.counter.Serve(listener) }) // as above
	}
	return standInReply{Addr: listener.Addr().String()}, nil
}

func (s *standInServer) report(withMemory bool) standInReply {
	reply := standInReply{CPUTime: cpuTime(wholeProcess)}
	if withMemory {
		reply.Memory = memoryInUse()
	}
	if s.discovery != nil {
		reply.Discovery = s.discovery.Stats()
	}
	if s.counter != nil {
		reply.Counter = s.counter.Stats()
	}
	return reply
}

func (s *standInServer) close() {
	if s.discovery != nil {
		s.discovery.Close() // the process ends next, whatever it returns
	}
	if s.counter != nil {
		s.counter.Close()
	}
	s.serving.Wait()
}
