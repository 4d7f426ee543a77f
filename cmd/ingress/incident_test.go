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

// shortDeadlineSettings have a class read whose deadlines pass while an endpoint is silent.
const shortDeadlineSettings = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":100e3,"deadlineUs":200e3,"effect":"read_like"},
		{"name":"slow","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"free","price":1}],
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true,"retryAfter":true}}`

// startIngressFor runs an ingress as a process with one endpoint and waits until it is ready.
func startIngressFor(t *testing.T, endpointAddr string) (addr string, pid int) {
	t.Helper()
	listen := reserveAddress(t)
	pid = startIngress(t, configuration{Listen: listen.addr, Discovery: reserveAddress(t).addr, Seed: "1",
		Known:  endpointList(1, endpoint{"b", endpointAddr}),
		Limits: limits{Cores: 1, Sockets: minDescriptors}, Settings: json.RawMessage(shortDeadlineSettings)})
	awaitReady(t, listen.addr)
	return listen.addr, pid
}

// slowRequest is a request of class slow, with plenty of time left unless the test says otherwise.
func slowRequest(id int) request {
	return request{id: id, customer: 7, class: "slow", plan: "free", timeLeft: 50_000}
}

// A client that retries with what is left of its time, down to less than a millisecond, gets a final reply to each attempt,
// and the connection that it shares with others goes on.
func TestRetriesThatRunOutOfTimeAreAnswered(t *testing.T) {
	const processes, requests = 6, 5
	var commands atomic.Int32
	silent, err := faults.NewProxy(serveEndpoint(t, "value", nil, &commands))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close)
	silent.SetMode(faults.Silent)
	for i := range processes {
		t.Run(fmt.Sprint("process ", i), func(t *testing.T) {
			addr, _ := startIngressFor(t, silent.Addr())
			t.Parallel()
			shared := dialClient(t, addr)
			id := 0
			attempt := func(timeLeft int64) {
				id++
				shared.send(request{id: id, customer: 7, class: "read", plan: "free", timeLeft: timeLeft})
				if got := shared.reply(); !strings.HasPrefix(got, "-BUSY") && got != "-ERR failed" {
					t.Fatalf("attempt %d with %d ms left: reply %q", id, timeLeft, got)
				}
			}
			for range requests {
				deadline := time.Now().Add(200 * time.Millisecond)
				for left := time.Until(deadline); left > 0; left = time.Until(deadline) {
					attempt(left.Milliseconds())
				}
				for range 4 { // the last ones have less than a millisecond
					attempt(0)
				}
			}
			io.WriteString(shared.nc, ping)
			if got := shared.reply(); got != "+PONG" {
				t.Fatalf("PING on the shared connection: %q", got)
			}
		})
	}
}

// A request behind unknown commands on one connection is decided while their replies are still being delayed: before another
// client has had so many replies one after another.
func TestRequestBehindUnknownCommandsIsNotDelayed(t *testing.T) {
	const unknownCommands, sequentialRequests = 9, 60
	var served, commands atomic.Int32
	addr, _ := startIngressFor(t, serveEndpoint(t, "value", nil, &commands))
	var reading sync.WaitGroup
	t.Cleanup(reading.Wait)
	shared := dialClient(t, addr)
	for range unknownCommands {
		io.WriteString(shared.nc, unknownCommand)
	}
	shared.send(slowRequest(1))
	reading.Go(func() { // waited for at the end of the test; the end of the connection ends it
		for range unknownCommands {
			shared.in.ReadString('\n')
		}
		if first, _ := shared.in.ReadString('\n'); strings.HasPrefix(first, "$") {
			served.Add(1)
		}
	})
	other := dialClient(t, addr)
	for i := range sequentialRequests {
		other.send(slowRequest(100 + i))
		if got := other.reply(); got != "value" {
			t.Fatalf("request %d: %q", i, got)
		}
	}
	if commands.Load() <= sequentialRequests {
		t.Fatalf("the request behind unknown commands has not reached the endpoint when another client had %d replies",
			sequentialRequests)
	}
	nettest.Eventually(t, "the request behind unknown commands is served", func() bool { return served.Load() == 1 })
}

// A request behind the last unknown command that a connection is allowed is answered too, before the connection ends.
func TestRequestBehindLastAllowedUnknownCommandIsAnswered(t *testing.T) {
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
		t.Fatalf("the last reply is %q, want the request's", got)
	}
}

// The time of a request that comes while the process is stopped counts against its deadline: the endpoint receives the time
// left of it. A busy machine may hide one stop from the process, not each of many.
func TestTimeWhileStoppedCountsAgainstDeadline(t *testing.T) {
	const timeLeft, stopped = 10_000, 300 * time.Millisecond
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
		time.Sleep(stopped)
		elapsed := time.Since(written)
		syscall.Kill(pid, syscall.SIGCONT)
		left := <-forwardedTimeLeft
		if got := client.reply(); got != "value" {
			t.Fatalf("reply %q", got)
		}
		return int64(left) <= timeLeft-elapsed.Milliseconds()
	})
}
