package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/discovery"
)

// asIngress names the environment variable that makes the test's program the ingress, with so many descriptors.
const asIngress = "HITCHSPRING_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	n, err := strconv.ParseUint(os.Getenv(asIngress), 10, 32)
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
	descriptors = 128 // the fewest that an ingress takes
	keptFree    = 4   // of them, always
	fullAt      = 100 // what an ingress uses of them whose clients and backend connections are all there
	heldAtOnce  = 48  // attempts, each on a connection of its own: as many as it opens to backends
	crowdSize   = 200 // idle clients
	overall     = 90 * time.Second
)

// awaitThat fails the test where a condition never holds; how long it takes is not asserted.
func awaitThat(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(overall); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("never: ", what)
		}
	}
}

// reserved is a loopback address that nobody else gets and nobody listens at.
type reserved struct {
	file *os.File
	addr string
}

func reserve(t *testing.T) reserved {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	r := reserved{file: os.NewFile(uintptr(fd), "reserved")}
	t.Cleanup(func() { r.file.Close() })
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	if err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	r.addr = fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	return r
}

// listen opens the address to callers.
func (r reserved) listen(t *testing.T) net.Listener {
	t.Helper()
	if err := syscall.Listen(int(r.file.Fd()), 128); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(r.file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// each hands the connections of a listener to serve.
func each(t *testing.T, ln net.Listener, serve func(nc net.Conn)) {
	t.Helper()
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	open.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			open.Go(func() {
				defer nc.Close()
				serve(nc)
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, nc := range conns {
			nc.Close()
		}
		mu.Unlock()
		open.Wait()
	})
}

// backends is a listener that serves its name, once it may.
func backends(t *testing.T, name string, may <-chan struct{}, commands *atomic.Int32) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	each(t, ln, func(nc net.Conn) {
		for in := redcon.NewReader(nc); ; {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
			commands.Add(1)
			<-may
			fmt.Fprintf(nc, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(name), name)
		}
	})
	return ln.Addr().String()
}

// request is a client's command of a customer whose units the counter is asked for, or not.
func request(id int, plan string) []byte {
	b := redcon.AppendArray(nil, 4)
	for _, s := range []string{"Q.ASK", fmt.Sprintf("%016x", len(plan)), fmt.Sprintf("%016x", id),
		"c=read,t=" + plan + ",d=60000,units=1,spread=1,first=0"} {
		b = redcon.AppendBulkString(b, s)
	}
	return b
}

// exchange sends bytes on a new connection and returns the first lines of what comes back.
func exchange(addr string, b []byte, lines int) (string, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(overall))
	if _, err := nc.Write(b); err != nil {
		return "", err
	}
	in, got := bufio.NewReader(nc), ""
	for range lines {
		s, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		got += s
	}
	return got, nil
}

const ping = "*1\r\n$4\r\nPING\r\n"

// crowd keeps idle clients connected: half of them say PING and rest, the others say nothing.
func crowd(t *testing.T, addr string) {
	t.Helper()
	over := make(chan struct{})
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond): // pace: not waited on
				}
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				if i%2 == 0 {
					io.WriteString(nc, ping)
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					io.Copy(io.Discard, nc)
				}()
				select {
				case <-over:
				case <-ended:
				}
				nc.Close()
				<-ended
			}
		})
	}
	t.Cleanup(func() {
		close(over)
		clients.Wait()
	})
}

// settingsOfFull lease blocks of the plan metered from the counter, one for a few requests.
const settingsOfFull = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"metered","price":1,"refill":100,"burst":7,"excessCost":1,"hardRate":1000,"capDepth":2000},
		{"name":"free","price":1}],
	"familyInfo":{"sharedCounter":true,"counterTimeoutUs":10e6,"maxUnits":4},
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true}}`

// start runs an ingress of so few descriptors as a process and returns its id; what it logs is checked at the end.
func start(t *testing.T, cfg map[string]any) int {
	t.Helper()
	text, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprint(asIngress, "=", descriptors), "ROUTER_CONFIG="+path)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || strings.Contains(log.String(), "too many open files") {
			t.Errorf("the ingress ended: %v; its log:\n%s", err, log.String())
		}
	})
	return cmd.Process.Pid
}

// Idle clients fill the descriptors, and connections to backends the rest, while discovery is down. When it is back, its
// list still arrives, the counter and the backends are still reached, and working clients are still taken, while the
// crowd goes on.
func TestFullOfIdleClients(t *testing.T) {
	for name, answers := range map[string]bool{"discovery refuses": false, "discovery says nothing": true} {
		t.Run(name, func(t *testing.T) { testFull(t, answers) })
	}
}

func testFull(t *testing.T, silent bool) {
	may, always := make(chan struct{}), make(chan struct{})
	close(always)
	release := sync.OnceFunc(func() { close(may) })
	t.Cleanup(release)
	var held, fresh, counted atomic.Int32
	old := backends(t, "old", may, &held)
	list := discovery.EndpointList{Revision: 1, Snapshot: true}
	for i := range heldAtOnce/4 + 1 { // a start sends each four
		list.Entries = append(list.Entries, discovery.Entry{UID: fmt.Sprint("o", i), Endpoint: old, State: "SERVING"})
	}
	changed := discovery.EndpointList{Revision: 2, Snapshot: true, Entries: []discovery.Entry{
		{UID: "n", Endpoint: backends(t, "new", always, &fresh), State: "SERVING"}}}

	counter, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	each(t, counter, func(nc net.Conn) {
		for in := bufio.NewScanner(nc); in.Scan(); {
			counted.Add(1)
			io.WriteString(nc, "ok 1\r\n")
		}
	})

	front, registry := reserve(t), reserve(t)
	var back atomic.Bool
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !back.Load() {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(changed)
		if r.URL.Query().Get("follow") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})}
	t.Cleanup(func() { agent.Close() })
	if silent {
		go agent.Serve(registry.listen(t))
	}

	pid := start(t, map[string]any{"listen": front.addr, "discovery": registry.addr, "counter": counter.Addr().String(),
		"seed": "1", "known": list, "limits": map[string]any{"cores": 1, "sockets": descriptors},
		"settings": json.RawMessage(settingsOfFull)})
	most := 0
	used := func() int {
		d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(d))
		return len(d)
	}
	awaitThat(t, "the ingress serves", func() bool {
		got, err := exchange(front.addr, []byte(ping), 1)
		return err == nil && got == "+PONG\r\n"
	})
	holder, err := net.Dial("tcp", front.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	for i := range heldAtOnce {
		holder.Write(request(i, "free"))
	}
	awaitThat(t, "all connections to backends are in use", func() bool { return held.Load() >= heldAtOnce })
	crowd(t, front.addr)
	awaitThat(t, "the descriptors are full", func() bool { return used() >= fullAt })
	release()
	for in, i := bufio.NewReader(holder), 0; i < 2*heldAtOnce; i++ { // idle from now on: room for others
		if s, err := in.ReadString('\n'); err != nil {
			t.Fatalf("answer %q: %v", s, err)
		}
	}
	awaitThat(t, "the descriptors are full as discovery is still down", func() bool { return used() >= fullAt })

	before := counted.Load()
	back.Store(true)
	if !silent {
		go agent.Serve(registry.listen(t))
	}
	id := heldAtOnce
	ask := func(want string) func() bool {
		return func() bool {
			used()
			id++
			got, err := exchange(front.addr, request(id, "metered"), 2) // a new client, and once more where it is closed
			return err == nil && got == fmt.Sprintf("$%d\r\n%s\r\n", len(want), want)
		}
	}
	awaitThat(t, "the new backend serves", ask("new"))
	awaitThat(t, "the counter is called", func() bool { return ask("new")() && counted.Load() > before })
	for range 20 {
		awaitThat(t, "another working client is served", ask("new"))
	}
	awaitThat(t, "the crowd has filled the places again", func() bool { return used() >= fullAt-heldAtOnce })
	if most > descriptors-keptFree {
		t.Errorf("%d of %d descriptors were in use", most, descriptors)
	}
	t.Logf("at most %d of %d descriptors in use", most, descriptors)
}
