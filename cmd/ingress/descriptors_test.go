package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/nettest"
)

const (
	reservedDescriptors = 4   // of minDescriptors, never in use
	fullDescriptors     = 100 // in use once those for clients and for connections to endpoints are all in use
	concurrentAttempts  = 48  // each on a connection of its own: as many as an ingress opens to endpoints
	idleClients         = 200
)

// leasingSettings make an ingress lease blocks of the plan metered from the counter, each for a few requests.
const leasingSettings = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"metered","price":1,"refill":100,"burst":7,"excessCost":1,"hardRate":1000,"capDepth":2000},
		{"name":"free","price":1}],
	"familyInfo":{"sharedCounter":true,"counterTimeoutUs":10e6,"maxUnits":4},
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true}}`

// connectIdleClients keeps idle clients connected until the end of the test: half of them send PING first, the others
// nothing.
func connectIdleClients(t *testing.T, addr string) {
	t.Helper()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range idleClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond): // limits the rate of connections
				}
				stayIdle(addr, i%2 == 0, stop)
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
}

// stayIdle keeps one connection open until the ingress closes it or stop is closed.
func stayIdle(addr string, sendPing bool, stop <-chan struct{}) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	if sendPing {
		io.WriteString(nc, ping)
	}
	ended := make(chan struct{})
	go func() { // waited for below; closing nc ends it
		defer close(ended)
		io.Copy(io.Discard, nc)
	}()
	select {
	case <-stop:
	case <-ended:
	}
	nc.Close()
	<-ended
}

// Idle clients fill the descriptors, and connections to endpoints the rest, while discovery is down. When it is back, its list
// still arrives, the counter and the endpoints are still reached, and working clients are still accepted, while the idle
// clients go on.
func TestIngressFullOfIdleClientsStillServes(t *testing.T) {
	for name, silent := range map[string]bool{"discovery refuses": false, "discovery is silent": true} {
		t.Run(name, func(t *testing.T) { testFullOfIdleClients(t, silent) })
	}
}

func testFullOfIdleClients(t *testing.T, silent bool) {
	gate := make(chan struct{})
	openGate := sync.OnceFunc(func() { close(gate) })
	t.Cleanup(openGate)
	var oldCommands, newCommands, counterCalls atomic.Int32
	oldEndpoint := serveEndpoint(t, "old", gate, &oldCommands)
	var known []endpoint
	for i := range concurrentAttempts/4 + 1 { // an ingress sends each endpoint four attempts at its start
		known = append(known, endpoint{fmt.Sprint("o", i), oldEndpoint})
	}
	changed := endpointList(2, endpoint{"n", serveEndpoint(t, "new", nil, &newCommands)})
	counter := nettest.Serve(t, func(nc net.Conn) {
		for in := bufio.NewScanner(nc); in.Scan(); {
			counterCalls.Add(1)
			io.WriteString(nc, "ok 1\r\n")
		}
	})

	listen, discovery := reserveAddress(t), reserveAddress(t)
	var discoveryUp atomic.Bool
	discoveryServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !discoveryUp.Load() {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(changed)
		if r.URL.Query().Get("follow") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		discoveryServer.Close()
		serving.Wait()
	})
	serveDiscovery := func() {
		ln := discovery.listen(t)
		serving.Go(func() { discoveryServer.Serve(ln) }) // ended and waited for by the cleanup above
	}
	if silent {
		serveDiscovery()
	}

	pid := startIngress(t, configuration{Listen: listen.addr, Discovery: discovery.addr, Counter: counter, Seed: "1",
		Known: endpointList(1, known...), Limits: limits{Cores: 1, Sockets: minDescriptors},
		Settings: json.RawMessage(leasingSettings)})
	maxUsed := 0
	usedDescriptors := func() int {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		maxUsed = max(maxUsed, len(open))
		return len(open)
	}
	awaitReady(t, listen.addr)
	blocked, err := net.Dial("tcp", listen.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer blocked.Close()
	for i := range concurrentAttempts {
		blocked.Write(request{id: i, customer: 4, class: "read", plan: "free", timeLeft: 60_000}.encode())
	}
	nettest.Eventually(t, "all connections to endpoints are in use", func() bool { return oldCommands.Load() >= concurrentAttempts })
	connectIdleClients(t, listen.addr)
	nettest.Eventually(t, "the descriptors are full", func() bool { return usedDescriptors() >= fullDescriptors })
	openGate()
	for in, i := bufio.NewReader(blocked), 0; i < 2*concurrentAttempts; i++ { // idle from now on: may be closed for others
		if line, err := in.ReadString('\n'); err != nil {
			t.Fatalf("reply %q: %v", line, err)
		}
	}
	nettest.Eventually(t, "the descriptors are full while discovery is still down",
		func() bool { return usedDescriptors() >= fullDescriptors })

	callsBefore := counterCalls.Load()
	discoveryUp.Store(true)
	if !silent {
		serveDiscovery()
	}
	id := concurrentAttempts
	newClientIsServed := func() bool { // by the new endpoint; retried if the connection is closed
		usedDescriptors()
		id++
		got, err := exchange(listen.addr, request{id: id, customer: 7, class: "read", plan: "metered", timeLeft: 60_000}.encode(), 2)
		return err == nil && got == "$3\r\nnew\r\n"
	}
	nettest.Eventually(t, "the new endpoint serves", newClientIsServed)
	nettest.Eventually(t, "the counter is called", func() bool { return newClientIsServed() && counterCalls.Load() > callsBefore })
	for range 20 {
		nettest.Eventually(t, "another working client is served", newClientIsServed)
	}
	nettest.Eventually(t, "idle clients have filled the descriptors again",
		func() bool { return usedDescriptors() >= fullDescriptors-concurrentAttempts })
	if maxUsed > minDescriptors-reservedDescriptors {
		t.Errorf("%d of %d descriptors were in use", maxUsed, minDescriptors)
	}
	t.Logf("at most %d of %d descriptors in use", maxUsed, minDescriptors)
}
