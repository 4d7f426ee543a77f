package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/discovery"
	"lemontack/internal/loopback"
	"lemontack/internal/nettest"
)

// descriptorsEnv is the name of the environment variable that makes the test binary run as the ingress, with the given limit
// of file descriptors.
const descriptorsEnv = "INGRESS_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	n, err := strconv.ParseUint(os.Getenv(descriptorsEnv), 10, 32)
	if err != nil {
		os.Exit(m.Run())
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	main()
}

const (
	minDescriptors = 128              // minimum number of file descriptors that an ingress accepts
	testTimeout    = 90 * time.Second // time limit for a reply; long enough for a busy machine
	ping           = "*1\r\n$4\r\nPING\r\n"
	unknownCommand = "*1\r\n$5\r\nHELLO\r\n"
)

// reservedAddress is a loopback address that no other socket can use. It refuses connections until listen is called.
type reservedAddress struct {
	*loopback.Reservation
	addr string
}

func reserveAddress(t *testing.T) reservedAddress {
	t.Helper()
	reservation, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reservation.Close() })
	return reservedAddress{reservation, reservation.Address()}
}

// listen starts to accept connections at the address.
func (r reservedAddress) listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// serveEndpoint runs an endpoint that counts the commands and replies to each of them with its name. If release is not nil, it
// replies only after release is closed.
func serveEndpoint(t *testing.T, name string, release <-chan struct{}, commands *atomic.Int32) (addr string) {
	t.Helper()
	return nettest.Serve(t, func(nc net.Conn) {
		for in := redcon.NewReader(nc); ; {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
			commands.Add(1)
			if release != nil {
				<-release
			}
			fmt.Fprintf(nc, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(name), name)
		}
	})
}

// request is one command of a client.
type request struct {
	id       int
	customer int
	class    string
	plan     string
	timeLeft int64 // time until the client's deadline, in milliseconds
}

func (r request) encode() []byte {
	return []byte(nettest.Command("Q.ASK", fmt.Sprintf("%016x", r.customer), fmt.Sprintf("%016x", r.id),
		fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=1,first=0", r.class, r.plan, r.timeLeft)))
}

// exchange sends a command on a new connection and returns the first lines of the reply.
func exchange(addr string, command []byte, lines int) (string, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Write(command); err != nil {
		return "", err
	}
	in, got := bufio.NewReader(nc), ""
	for range lines {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		got += line
	}
	return got, nil
}

// testClient is a client connection. Its reads fail the test after testTimeout.
type testClient struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{t, nc, bufio.NewReader(nc)}
}

func (c *testClient) send(r request) { c.nc.Write(r.encode()) }

// reply reads one reply. It returns the value of a bulk string, and otherwise the whole line.
func (c *testClient) reply() string {
	c.t.Helper()
	first := nettest.ReadLine(c.t, c.in)
	if first[0] != '$' {
		return first
	}
	return nettest.ReadLine(c.t, c.in)
}

// configuration is the configuration file of an ingress.
type configuration struct {
	Listen    string                  `json:"listen"`
	Discovery string                  `json:"discovery"`
	Counter   string                  `json:"counter,omitempty"`
	Seed      string                  `json:"seed"`
	Known     *discovery.EndpointList `json:"known,omitempty"`
	Limits    limits                  `json:"limits"`
	Settings  json.RawMessage         `json:"settings"`
}

// endpoint is an entry of an endpoint list.
type endpoint struct{ id, addr string }

// endpointList returns a snapshot of serving endpoints, in the form that discovery and the configuration file use.
func endpointList(revision int64, endpoints ...endpoint) *discovery.EndpointList {
	list := &discovery.EndpointList{Revision: revision, IsSnapshot: true}
	for _, e := range endpoints {
		list.Entries = append(list.Entries, discovery.Entry{UID: e.id, Address: e.addr, State: "SERVING"})
	}
	return list
}

func writeConfig(t *testing.T, path string, cfg configuration) {
	t.Helper()
	text, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startIngress starts an ingress process with minDescriptors file descriptors and returns its process id. At the end of the
// test it shuts the ingress down, and fails the test if there was an error or the ingress ran out of descriptors.
func startIngress(t *testing.T, cfg configuration) (pid int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, cfg)
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprint(descriptorsEnv, "=", minDescriptors), configEnv+"="+path)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || strings.Contains(log.String(), "too many open files") {
			t.Errorf("ingress exited: got error %v, want none and enough descriptors; log:\n%s", err, log.String())
		}
	})
	return cmd.Process.Pid
}

func waitUntilReady(t *testing.T, addr string) {
	t.Helper()
	nettest.Eventually(t, "the ingress replies to PING", func() bool {
		got, err := exchange(addr, []byte(ping), 1)
		return err == nil && got == "+PONG\r\n"
	})
}
