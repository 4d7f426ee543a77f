package ingress

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/nettest"
	"lemontack/internal/standin"
)

// testEndpoint is an endpoint that records the commands it receives.
type testEndpoint struct {
	addr  string
	conns atomic.Int32 // connections accepted so far

	mu       sync.Mutex
	commands [][]string // guarded by mu
}

// startEndpoint starts an endpoint that writes the result of reply for the n-th command. It sends no reply if the result is "" or
// reply is nil.
func startEndpoint(t *testing.T, reply func(n int, args []string, nc net.Conn) string) *testEndpoint {
	t.Helper()
	e := &testEndpoint{}
	e.addr = nettest.Serve(t, func(nc net.Conn) {
		e.conns.Add(1)
		in := redcon.NewReader(nc)
		for {
			cmd, err := in.ReadCommand()
			if err != nil {
				return
			}
			var args []string
			for _, a := range cmd.Args {
				args = append(args, string(a))
			}
			e.mu.Lock()
			e.commands = append(e.commands, args)
			n := len(e.commands)
			e.mu.Unlock()
			if reply != nil {
				io.WriteString(nc, reply(n, args, nc))
			}
		}
	})
	return e
}

// received returns the commands received so far.
func (e *testEndpoint) received() [][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commands
}

// valueReply returns an endpoint's reply with a value.
func valueReply(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// startServingEndpoint starts an endpoint that replies to every request with a value. A malformed command fails the test.
func startServingEndpoint(t *testing.T, value string) *testEndpoint {
	t.Helper()
	e := &testEndpoint{}
	backend := standin.NewBackend(standin.BackendConfig{ReplyValue: func(args []string) string {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.commands = append(e.commands, args)
		return value
	}})
	ln := nettest.Listen(t)
	e.addr = ln.Addr().String()
	go backend.Serve(&countingListener{ln, &e.conns}) // ended by Close
	t.Cleanup(func() {
		backend.Close()
		if n := backend.Stats().Malformed; n > 0 {
			t.Errorf("%d malformed commands", n)
		}
	})
	return e
}

// countingListener counts the connections it accepts.
type countingListener struct {
	net.Listener
	conns *atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.conns.Add(1)
	}
	return nc, err
}

// longTimeoutReadFields are the fields of a request of class read with a timeout of one hour, which the listener limits to twice
// the deadline of the class.
const longTimeoutReadFields = "c=read,t=p,d=3600000,units=1,spread=1,first=0"

// awaitServedBy sends requests until one is served with the given value. The ingress must have a serving endpoint throughout.
func awaitServedBy(t *testing.T, addr, value string) {
	t.Helper()
	nc, in := nettest.Dial(t, addr)
	nc.SetReadDeadline(time.Time{})
	for i := 0; ; i++ {
		io.WriteString(nc, nettest.Ask(i, longTimeoutReadFields))
		if got := nettest.ReadLine(t, in); got != "$1" {
			t.Fatalf("reply %q, want a value", got)
		}
		if nettest.ReadLine(t, in) == value {
			return
		}
	}
}

// awaitCommands waits until the endpoint has received n commands.
func (e *testEndpoint) awaitCommands(t *testing.T, n int) {
	t.Helper()
	nettest.Eventually(t, fmt.Sprint(n, " commands at the endpoint"), func() bool { return len(e.received()) >= n })
}

// configFor returns the configuration of an ingress whose known list and discovery contain only the given endpoint.
func configFor(t *testing.T, endpoint *testEndpoint) Config {
	t.Helper()
	list := endpointsAt(endpoint.addr)
	return testConfig(startDiscovery(t, list, nil), list)
}

// startIngressFor runs an ingress with only the given endpoint and returns its address.
func startIngressFor(t *testing.T, endpoint *testEndpoint) (addr string) {
	t.Helper()
	addr, _ = startIngress(t, configFor(t, endpoint))
	return addr
}
