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

// roleEnv is the environment variable that makes a process run a stand-in. Its value is the stand-in's role.
const roleEnv = "SCALE_ROLE"

// standInAction is the action of a command to a stand-in's process.
type standInAction string

const (
	actionServe        standInAction = "serve" // listen on a loopback address
	actionSetList      standInAction = "list"
	actionChange       standInAction = "change"
	actionReport       standInAction = "report"
	actionReportMemory standInAction = "heap" // report, after a garbage collection
)

// errUnknownAction reports an action that a stand-in does not support.
var errUnknownAction = errors.New("unknown action")

// standInError is an error that a stand-in's process returned in its reply.
type standInError struct{ message string }

func (standInErr *standInError) Error() string { return standInErr.message }

// standInCommand is one of the JSON objects that the run writes to the standard input of a stand-in's process.
type standInCommand struct {
	Action    standInAction           `json:"do"`
	Discovery standin.DiscoveryConfig `json:"discovery,omitzero"`
	Counter   standin.CounterConfig   `json:"counter,omitzero"`
	Targets   []standin.Target        `json:"targets,omitempty"`
}

// standInReply is the JSON object that a stand-in's process writes to its standard output for each command.
type standInReply struct {
	Addr      string                 `json:"addr,omitempty"`
	Error     string                 `json:"error,omitempty"`
	Revision  int64                  `json:"rev,omitempty"`
	AppliedAt time.Time              `json:"at"` // time of a change
	Discovery standin.DiscoveryStats `json:"discovery,omitzero"`
	Counter   standin.CounterStats   `json:"counter,omitzero"`
	CPUTime   time.Duration          `json:"processor"`      // CPU time of the process so far
	Memory    uint64                 `json:"heap,omitempty"` // bytes of heap and stacks in use
}

// StandInRole returns the role of the stand-in that this process has to run, or false if it has none.
func StandInRole() (string, bool) { return os.LookupEnv(roleEnv) }

// RunStandIn runs the stand-in of a role until the input ends. That happens whenever the run that started this process
// exits, even if it is killed.
func RunStandIn(role string, in io.Reader, out io.Writer) error {
	server := &standInServer{role: role}
	defer server.close()
	replies := json.NewEncoder(out)
	for commands := json.NewDecoder(in); ; {
		var command standInCommand
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("reading a command: %w", err)
		}
		reply, err := server.execute(command)
		if err != nil {
			reply.Error = err.Error()
		}
		if err := replies.Encode(reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// standInServer runs the stand-in of a process. The first command sets one of its two services.
type standInServer struct {
	role           string
	discovery      *standin.Discovery
	counter        *standin.Counter
	serveGoroutine sync.WaitGroup // one goroutine, which accepts connections
}

func (server *standInServer) execute(command standInCommand) (standInReply, error) {
	switch {
	case command.Action == actionServe:
		return server.serve(command)
	case command.Action == actionSetList && server.discovery != nil:
		server.discovery.SetList(command.Targets)
		return standInReply{}, nil
	case command.Action == actionChange && server.discovery != nil:
		appliedAt := time.Now()
		return standInReply{AppliedAt: appliedAt, Revision: server.discovery.ApplyChange(command.Targets...)}, nil
	case command.Action == actionReport || command.Action == actionReportMemory:
		return server.report(command.Action == actionReportMemory), nil
	}
	return standInReply{}, fmt.Errorf("%w: %q", errUnknownAction, command.Action)
}

// serve starts the stand-in. close stops the goroutine that accepts connections, and waits for it.
func (server *standInServer) serve(command standInCommand) (standInReply, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standInReply{}, err
	}
	if server.role == roleDiscovery {
		server.discovery = standin.NewDiscovery(command.Discovery)
		server.serveGoroutine.Go(func() { server.discovery.Serve(listener) }) // an error makes the calls of the ingresses fail
	} else {
		server.counter = standin.NewCounter(command.Counter)
		server.serveGoroutine.Go(func() { server.counter.Serve(listener) }) // an error makes the calls of the ingresses fail
	}
	return standInReply{Addr: listener.Addr().String()}, nil
}

func (server *standInServer) report(withMemory bool) standInReply {
	reply := standInReply{CPUTime: cpuTime(currentProcess)}
	if withMemory {
		reply.Memory = memoryInUse()
	}
	if server.discovery != nil {
		reply.Discovery = server.discovery.Stats()
	}
	if server.counter != nil {
		reply.Counter = server.counter.Stats()
	}
	return reply
}

func (server *standInServer) close() {
	if server.discovery != nil {
		server.discovery.Close() // the error does not matter: the process exits next
	}
	if server.counter != nil {
		server.counter.Close()
	}
	server.serveGoroutine.Wait()
}
