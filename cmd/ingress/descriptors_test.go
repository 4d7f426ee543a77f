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
	unusedDescriptors    = 4   // descriptors out of minDescriptors that stay free
	exhaustedDescriptors = 100 // descriptors in use when clients and endpoint connections reach their limits
	concurrentAttempts   = 48  // one connection each; the ingress opens no more to endpoints
	idleClients          = 200
)

// leaseSettings makes an ingress lease quota of the plan metered from the counter, in blocks for a few requests each.
const leaseSettings = `{"replicasOfMe":1,"registryMode":"push",
	"classes":[{"name":"read","value":1,"objectiveUs":60e6,"deadlineUs":60e6,"effect":"read_like"}],
	"contracts":[{"name":"metered","price":1,"refill":100,"burst":7,"excessCost":1,"hardRate":1000,"capDepth":2000},
		{"name":"free","price":1}],
	"familyInfo":{"sharedCounter":true,"counterTimeoutUs":10e6,"maxUnits":4},
	"permissions":{"connIdleUs":120e6,"connectTimeoutUs":10e6,"maxAttempts":3,"mayCancel":true}}`

// connectIdleClients keeps idle clients connected until the end of the test. Half of them send PING first.
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
				holdIdleConnection(addr, i%2 == 0, stop)
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
}

// holdIdleConnection holds one connection open until the ingress or the channel stop is closed.
func holdIdleConnection(addr string, sendPing bool, stop <-chan struct{}) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	if sendPing {
		io.WriteString(nc, ping)
	}
	closedByPeer := make(chan struct{})
	go func() { // ends when nc is closed; awaited below
		defer close(closedByPeer)
		io.Copy(io.Discard, nc)
	}()
	select {
	case <-stop:
	case <-closedByPeer:
	}
	nc.Close()
	<-closedByPeer
}

// While discovery is down, idle clients and connections to endpoints use up all descriptors. Once discovery is reachable, the
// ingress still receives its list, reaches the counter and the endpoints, and accepts new clients, while the idle clients
// remain.
func TestIngressServesWhenIdleClientsUseAllDescriptors(t *testing.T) {
	for name, discoveryIsSilent := range map[string]bool{"discovery refuses": false, "discovery is silent": true} {
		t.Run(name, func(t *testing.T) { testAllDescriptorsUsed(t, discoveryIsSilent) })
	}
}

func testAllDescriptorsUsed(t *testing.T, discoveryIsSilent bool) {
	release := make(chan struct{})
	releaseReplies := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseReplies)
	var oldCommands, newCommands, counterCalls atomic.Int32
	oldEndpoint := serveEndpoint(t, "old", release, &oldCommands)
	var known []endpoint
	for i := range concurrentAttempts/4 + 1 { // a new ingress sends four attempts to each endpoint
		known = append(known, endpoint{fmt.Sprint("o", i), oldEndpoint})
	}
	changedList := endpointList(2, endpoint{"n", serveEndpoint(t, "new", nil, &newCommands)})
	counter := nettest.Serve(t, func(nc net.Conn) {
		for in := bufio.NewScanner(nc); in.Scan(); {
			counterCalls.Add(1)
			io.WriteString(nc, "ok 1\r\n")
		}
	})

	listen, discovery := reserveAddress(t), reserveAddress(t)
	var isDiscoveryUp atomic.Bool
	discoveryServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isDiscoveryUp.Load() {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(changedList)
		if r.URL.Query().Get("follow") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})}
	var serveGoroutine sync.WaitGroup
	t.Cleanup(func() {
		discoveryServer.Close()
		serveGoroutine.Wait()
	})
	serveDiscovery := func() {
		ln := discovery.listen(t)
		serveGoroutine.Go(func() { discoveryServer.Serve(ln) }) // stopped and awaited by the cleanup above
	}
	if discoveryIsSilent {
		serveDiscovery()
	}

	pid := startIngress(t, configuration{Listen: listen.addr, Discovery: discovery.addr, Counter: counter, Seed: "1",
		Known: endpointList(1, known...), Limits: limits{Cores: 1, Sockets: minDescriptors},
		Settings: json.RawMessage(leaseSettings)})
	maxDescriptorsUsed := 0
	countDescriptors := func() int {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		maxDescriptorsUsed = max(maxDescriptorsUsed, len(open))
		return len(open)
	}
	waitUntilReady(t, listen.addr)
	pendingClient, err := net.Dial("tcp", listen.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer pendingClient.Close()
	for i := range concurrentAttempts {
		pendingClient.Write(request{id: i, customer: 4, class: "read", plan: "free", timeLeft: 60_000}.encode())
	}
	nettest.Eventually(t, "all connections to endpoints are in use", func() bool { return oldCommands.Load() >= concurrentAttempts })
	connectIdleClients(t, listen.addr)
	nettest.Eventually(t, "all available descriptors are in use", func() bool { return countDescriptors() >= exhaustedDescriptors })
	releaseReplies()
	for in, i := bufio.NewReader(pendingClient), 0; i < 2*concurrentAttempts; i++ { // then the client is idle and may be disconnected
		if line, err := in.ReadString('\n'); err != nil {
			t.Fatalf("got reply %q, error %v; want a reply", line, err)
		}
	}
	nettest.Eventually(t, "all available descriptors are in use while discovery is still down",
		func() bool { return countDescriptors() >= exhaustedDescriptors })

	callsBefore := counterCalls.Load()
	isDiscoveryUp.Store(true)
	if !discoveryIsSilent {
		serveDiscovery()
	}
	id := concurrentAttempts
	isNewClientServed := func() bool { // true if the new endpoint replies; false if the connection is closed
		countDescriptors()
		id++
		got, err := exchange(listen.addr, request{id: id, customer: 7, class: "read", plan: "metered", timeLeft: 60_000}.encode(), 2)
		return err == nil && got == "$3\r\nnew\r\n"
	}
	nettest.Eventually(t, "the new endpoint serves", isNewClientServed)
	nettest.Eventually(t, "the counter is called", func() bool { return isNewClientServed() && counterCalls.Load() > callsBefore })
	for range 20 {
		nettest.Eventually(t, "another new client is served", isNewClientServed)
	}
	nettest.Eventually(t, "idle clients use the descriptors again",
		func() bool { return countDescriptors() >= exhaustedDescriptors-concurrentAttempts })
	if maxDescriptorsUsed > minDescriptors-unusedDescriptors {
		t.Errorf("got %d of %d descriptors in use, want at most %d", maxDescriptorsUsed, minDescriptors,
			minDescriptors-unusedDescriptors)
	}
	t.Logf("at most %d of %d descriptors in use", maxDescriptorsUsed, minDescriptors)
}
