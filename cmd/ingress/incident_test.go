package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/discovery"
	"lemontack/internal/faults"
)

// settingsOfIncident have a short deadline, so that clients run out of time while a backend is silent.
const settingsOfIncident = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":100e3,"deadlineUs":200e3,"effect":"read_like"},
		{"name":"slow","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"free","price":1}],
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true,"retryAfter":true}}`

// startBefore runs an ingress as a process before one backend and returns its address and its id.
func startBefore(t *testing.T, backend string) (addr string, pid int) {
	t.Helper()
	front := reserve(t)
	pid = start(t, map[string]any{"listen": front.addr, "discovery": reserve(t).addr, "seed": "1",
		"known": discovery.EndpointList{Revision: 1, Snapshot: true, Entries: []discovery.Entry{
			{UID: "b", Endpoint: backend, State: "SERVING"}}},
		"limits": map[string]any{"cores": 1, "sockets": descriptors}, "settings": json.RawMessage(settingsOfIncident)})
	awaitThat(t, "the ingress serves", func() bool {
		got, err := exchange(front.addr, []byte(ping), 1)
		return err == nil && got == "+PONG\r\n"
	})
	return front.addr, pid
}

// try is a client's command of a class with so many milliseconds left.
func try(id int, class string, left int64) []byte {
	b := redcon.AppendArray(nil, 4)
	for _, s := range []string{"Q.ASK", fmt.Sprintf("%016x", 7), fmt.Sprintf("%016x", id),
		fmt.Sprintf("c=%s,t=free,d=%d,units=1,spread=1,first=0", class, left)} {
		b = redcon.AppendBulkString(b, s)
	}
	return b
}

// client is a connection whose reads end the test where nothing comes.
type client struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

func connect(t *testing.T, addr string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(overall))
	return &client{t, nc, bufio.NewReader(nc)}
}

// answer reads one answer: its first line, and the value of a bulk string.
func (c *client) answer() string {
	c.t.Helper()
	head, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no whole answer: %q, %v", head, err)
	}
	if head[0] != '$' {
		return strings.TrimRight(head, "\r\n")
	}
	value, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no whole answer: %q, %v", value, err)
	}
	return strings.TrimRight(value, "\r\n")
}

// A client that asks again with what is left of its time, down to less than a millisecond, gets a final answer to each try,
// and the connection that it shares with others goes on.
func TestTriesThatRunOutOfTimeAreAnswered(t *testing.T) {
	const processes, requests = 6, 5
	always := make(chan struct{})
	close(always)
	var commands atomic.Int32
	silent, err := faults.NewProxy(backends(t, "value", always, &commands))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close)
	silent.SetMode(faults.Silent)
	for i := range processes {
		t.Run(fmt.Sprint("process ", i), func(t *testing.T) {
			addr, _ := startBefore(t, silent.Addr())
			t.Parallel()
			shared := connect(t, addr)
			id := 0
			ask := func(left int64) {
				id++
				shared.nc.Write(try(id, "read", left))
				if got := shared.answer(); !strings.HasPrefix(got, "-BUSY") && got != "-ERR failed" {
					t.Fatalf("try %d with %d ms left: answer %q", id, left, got)
				}
			}
			for range requests {
				until := time.Now().Add(200 * time.Millisecond)
				for left := time.Until(until); left > 0; left = time.Until(until) {
					ask(left.Milliseconds())
				}
				for range 4 { // the last ones have less than a millisecond
					ask(0)
				}
			}
			io.WriteString(shared.nc, ping)
			if got := shared.answer(); got != "+PONG" {
				t.Fatalf("PING on the shared connection: %q", got)
			}
		})
	}
}

// A request behind nonsense on one connection is decided while the nonsense is still being held up: before another client has
// had so many answers one after another.
func TestRequestBehindNonsenseIsNotHeldUp(t *testing.T) {
	always := make(chan struct{})
	close(always)
	var shared, others atomic.Int32
	target := backends(t, "value", always, &others)
	addr, _ := startBefore(t, target)
	front := connect(t, addr)
	const nonsense, chain = 9, 60
	for range nonsense {
		io.WriteString(front.nc, "*1\r\n$5\r\nHELLO\r\n")
	}
	front.nc.Write(try(1, "slow", 50_000))
	go func() {
		for range nonsense {
			front.in.ReadString('\n')
		}
		if head, _ := front.in.ReadString('\n'); strings.HasPrefix(head, "$") {
			shared.Add(1)
		}
	}()
	other := connect(t, addr)
	for i := range chain {
		other.nc.Write(try(100+i, "slow", 50_000))
		if got := other.answer(); got != "value" {
			t.Fatalf("request %d: %q", i, got)
		}
	}
	if others.Load() <= chain {
		t.Fatalf("the request behind nonsense has not reached a backend when another client had %d answers", chain)
	}
	awaitThat(t, "the request behind nonsense is served", func() bool { return shared.Load() == 1 })
}

// What stands behind the last nonsense that a connection bears is answered too, before the connection ends.
func TestRequestBehindTheLastNonsenseIsAnswered(t *testing.T) {
	always := make(chan struct{})
	close(always)
	var commands atomic.Int32
	addr, _ := startBefore(t, backends(t, "value", always, &commands))
	front := connect(t, addr)
	io.WriteString(front.nc, strings.Repeat("*1\r\n$5\r\nHELLO\r\n", 12))
	front.nc.Write(try(1, "slow", 50_000))
	rest, err := io.ReadAll(front.in)
	if err != nil {
		t.Fatal(err)
	}
	last := rest[strings.LastIndex(strings.TrimSuffix(string(rest), "\r\n"), "\n")+1:]
	if got := string(last); !strings.HasPrefix(got, "-BUSY") && got != "value\r\n" {
		t.Fatalf("the last answer is %q, want the request's", got)
	}
}

// A request that comes while the process is stopped counts from then: its backend is told what its client has left. A machine that
// is busy may hide one stop from the process, not each of many.
func TestRequestThatCameInAHoldUp(t *testing.T) {
	const wait, stopped = 10_000, 300 * time.Millisecond
	told := make(chan int, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	each(t, ln, func(nc net.Conn) {
		for in := redcon.NewReader(nc); ; {
			cmd, err := in.ReadCommand()
			if err != nil {
				return
			}
			var left int
			fmt.Sscanf(string(cmd.Args[3]), "c=slow,t=free,d=%d", &left)
			told <- left
			io.WriteString(nc, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
		}
	})
	addr, pid := startBefore(t, ln.Addr().String())
	front, id := connect(t, addr), 0
	awaitThat(t, "a backend is told what is left", func() bool {
		id++
		syscall.Kill(pid, syscall.SIGSTOP)
		front.nc.Write(try(id, "slow", wait))
		written := time.Now()
		time.Sleep(stopped)
		span := time.Since(written)
		syscall.Kill(pid, syscall.SIGCONT)
		left := <-told
		if got := front.answer(); got != "value" {
			t.Fatalf("answer %q", got)
		}
		return int64(left) <= wait-span.Milliseconds()
	})
}
