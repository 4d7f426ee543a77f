package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/faults"
	"lemontack/internal/nettest"
)

// shortDeadlineSettings has a class read whose short deadlines pass while an endpoint does not answer.
const shortDeadlineSettings = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":100e3,"deadlineUs":200e3,"effect":"read_like"},
		{"name":"slow","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"free","price":1}],
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true,"retryAfter":true}}`

// startIngressFor starts an ingress process with one endpoint and waits until it is ready.
func startIngressFor(t *testing.T, endpointAddr string) (addr string, pid int) {
	t.Helper()
	listen := reserveAddress(t)
	pid = startIngress(t, configuration{Listen: listen.addr, Discovery: reserveAddress(t).addr, Seed: "1",
		Known:  endpointList(1, endpoint{"b", endpointAddr}),
		Limits: limits{Cores: 1, Sockets: minDescriptors}, Settings: json.RawMessage(shortDeadlineSettings)})
	waitUntilReady(t, listen.addr)
	return listen.addr, pid
}

// slowRequest returns a request of class slow with a long deadline.
func slowRequest(id int) request {
	return request{id: id, customer: 7, class: "slow", plan: "free", timeLeft: 50_000}
}

// A client that retries until less than a millisecond of its deadline is left gets a reply to each attempt, and its connection
// stays usable.
func TestRetriesThatRunOutOfTimeAreAnswered(t *testing.T) {
	const processes, requests = 6, 5
	var commands atomic.Int32
	silentProxy, err := faults.NewProxy(serveEndpoint(t, "value", nil, &commands))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silentProxy.Close)
	silentProxy.SetMode(faults.Silent)
	for i := range processes {
		t.Run(fmt.Sprint("process ", i), func(t *testing.T) {
			addr, _ := startIngressFor(t, silentProxy.Addr())
			t.Parallel()
			client := dialClient(t, addr)
			id := 0
			sendAttempt := func(timeLeft int64) {
				id++
				client.send(request{id: id, customer: 7, class: "read", plan: "free", timeLeft: timeLeft})
				if got := client.reply(); !strings.HasPrefix(got, "-BUSY") && got != "-ERR failed" {
					t.Fatalf("attempt %d with %d ms left: got %q, want -BUSY or -ERR failed", id, timeLeft, got)
				}
			}
			for range requests {
				deadline := time.Now().Add(200 * time.Millisecond)
				for left := time.Until(deadline); left > 0; left = time.Until(deadline) {
					sendAttempt(left.Milliseconds())
				}
				for range 4 { // attempts with less than a millisecond left
					sendAttempt(0)
				}
			}
			io.WriteString(client.nc, ping)
			if got := client.reply(); got != "+PONG" {
				t.Fatalf("PING on the same connection: got %q, want +PONG", got)
			}
		})
	}
}

// A request that follows unknown commands on a connection is forwarded while the replies to those commands are still delayed:
// the endpoint receives it before another client has got sequentialRequests replies.
func TestRequestAfterUnknownCommandsIsNotDelayed(t *testing.T) {
	const unknownCommands, sequentialRequests = 9, 60
	var served, commands atomic.Int32
	addr, _ := startIngressFor(t, serveEndpoint(t, "value", nil, &commands))
	var replyReader sync.WaitGroup
	t.Cleanup(replyReader.Wait)
	client := dialClient(t, addr)
	for range unknownCommands {
		io.WriteString(client.nc, unknownCommand)
	}
	client.send(slowRequest(1))
	replyReader.Go(func() { // ends with the connection; awaited at the end of the test
		for range unknownCommands {
			client.in.ReadString('\n')
		}
		if first, _ := client.in.ReadString('\n'); strings.HasPrefix(first, "$") {
			served.Add(1)
		}
	})
	other := dialClient(t, addr)
	for i := range sequentialRequests {
		other.send(slowRequest(100 + i))
		if got := other.reply(); got != "value" {
			t.Fatalf("request %d: got %q, want value", i, got)
		}
	}
	if commands.Load() <= sequentialRequests {
		t.Fatalf("request after unknown commands did not reach the endpoint, want it there before %d replies to another client",
			sequentialRequests)
	}
	nettest.Eventually(t, "the request after unknown commands is served", func() bool { return served.Load() == 1 })
}

// A request after the last unknown command that a connection may send is answered before the connection is closed.
func TestRequestAfterLastAllowedUnknownCommandIsAnswered(t *testing.T) {
	var commands atomic.Int32
	addr, _ := startIngressFor(t, serveEndpoint(t, "value", nil, &commands))
	client := dialClient(t, addr)
	io.WriteString(client.nc, strings.Repeat(unknownCommand, 12))
	client.send(slowRequest(1))
	replies, err := io.ReadAll(client.in)
	if err != nil {
		t.Fatal(err)
	}
	last := replies[strings.LastIndex(strings.TrimSuffix(string(replies), "\r\n"), "\n")+1:]
	if got := string(last); !strings.HasPrefix(got, "-BUSY") && got != "value\r\n" {
		t.Fatalf("got last reply %q, want the reply to the request: -BUSY or value", got)
	}
}

// Time during which the process is stopped counts against the deadline of a request that arrives in that time, so the endpoint
// receives a shorter deadline. On a busy machine the process may fail to detect a single stop, but not all of many.
func TestTimeWhileStoppedCountsAgainstDeadline(t *testing.T) {
	const timeLeft, stopDuration = 10_000, 300 * time.Millisecond
	forwardedTimeLeft := make(chan int, 1)
	endpointAddr := nettest.Serve(t, func(nc net.Conn) {
		for in := redcon.NewReader(nc); ; {
			cmd, err := in.ReadCommand()
			if err != nil {
				return
			}
			var left int
			fmt.Sscanf(string(cmd.Args[3]), "c=slow,t=free,d=%d", &left)
			forwardedTimeLeft <- left
			io.WriteString(nc, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
		}
	})
	addr, pid := startIngressFor(t, endpointAddr)
	client, r := dialClient(t, addr), slowRequest(0)
	r.timeLeft = timeLeft
	nettest.Eventually(t, "the endpoint receives the time left", func() bool {
		r.id++
		syscall.Kill(pid, syscall.SIGSTOP)
		client.send(r)
		written := time.Now()
		time.Sleep(stopDuration)
		elapsed := time.Since(written)
		syscall.Kill(pid, syscall.SIGCONT)
		left := <-forwardedTimeLeft
		if got := client.reply(); got != "value" {
			t.Fatalf("got reply %q, want value", got)
		}
		return int64(left) <= timeLeft-elapsed.Milliseconds()
	})
}
