package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

const (
	slotsOf256Descriptors = 128 // connection slots of an ingress with 256 descriptors
	floodCommands         = 300 // commands that a faulty client sends at once
)

// flood returns faulty commands. The first one is long, so that the buffer of the connection grows and is full of the others.
func flood() string {
	return nettest.Command("HELLO", strings.Repeat("x", 4*resp.InitialBufferSize)) +
		strings.Repeat(nettest.Command("HELLO"), floodCommands-1)
}

// reconnectingClient sends its input, reads until the server ends the connection, closes its side after a delay, and connects
// again at once.
type reconnectingClient struct {
	input      string
	closeDelay time.Duration
}

func (r reconnectingClient) run(ln *memoryListener, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		client := ln.dial()
		io.WriteString(client, r.input)
		io.Copy(io.Discard, client)
		time.Sleep(r.closeDelay)
		client.Close()
	}
}

// answerRequests answers all requests until stop closes.
func answerRequests(rec *recorder, stop <-chan struct{}) {
	for {
		select {
		case request := <-rec.received:
			request.Respond(valueReply)
		case <-rec.disconnected:
		case <-stop:
			return
		}
	}
}

// While clients with faulty input connect again as soon as they are turned away and hold all slots, a new connection is served
// within slotWaitLimit. It guards against readers that pause after a fault and keep their slots.
func TestNewConnectionGetsASlotFromPausedOnes(t *testing.T) {
	for _, count := range []int{100, 200, 400} {
		testNewConnections(t, count, reconnectingClient{input: flood()})
	}
}

// While hundreds of clients hold all slots and close their side only some time after the server has ended the connection, a new
// connection is served within slotWaitLimit. It guards against slots that are kept for the client's FIN.
func TestNewConnectionGetsASlotFromClientsThatCloseLate(t *testing.T) {
	const closeDelay = 300 * time.Millisecond
	inputs := map[string]string{"silent": "", "faulty": flood(), "ping": nettest.Command(commandPing)}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			for _, count := range []int{200, 400, 600} {
				testNewConnections(t, count, reconnectingClient{input, closeDelay})
			}
		})
	}
}

// testNewConnections runs a number of clients that fill the slots, and checks that new connections with a request are answered
// in time.
func testNewConnections(t *testing.T, count int, filler reconnectingClient) {
	t.Run(fmt.Sprint(count, " clients"), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { runNewConnections(t, count, filler) })
	})
}

func runNewConnections(t *testing.T, count int, filler reconnectingClient) {
	const (
		settleTime  = time.Second // until the slots and the accept queue are in a steady state
		newClients  = 30
		newInterval = 37 * time.Millisecond
	)
	ln := newMemoryListener()
	s, rec := newServer(ln, slotsOf256Descriptors, 64<<20)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(s.Serve)
	clients.Go(func() { answerRequests(rec, stop) })
	for range count {
		clients.Go(func() { filler.run(ln, stop) })
	}
	time.Sleep(settleTime)
	for i := range newClients {
		connectedAt := time.Now()
		client := ln.dial()
		io.WriteString(client, nettest.Ask(i, nettest.ReadFields))
		nettest.WantValue(t, bufio.NewReader(client))
		if waited := time.Since(connectedAt); waited > slotWaitLimit {
			t.Errorf("new connection %d: got the answer after %v, want %v at most", i, waited, slotWaitLimit)
		}
		client.Close()
		time.Sleep(newInterval)
	}
	close(stop)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Drain(ctx)
	for len(ln.queue) > 0 {
		(<-ln.queue).Close()
	}
	clients.Wait()
}

// A first request that stands in the socket when the end of its connection is proposed is answered.
func TestFirstRequestInTheSocketIsAnsweredAtTheEnd(t *testing.T) {
	for _, reason := range []CloseReason{CloseIdle, CloseForSlot, CloseShutdown} {
		serverEnd, clientEnd := nettest.ConnPair(t)
		s, rec := newServer(nil, 1, 1<<20)
		reads := make(chan struct{})
		c := newConn(s, &gatedConn{TCPConn: serverEnd, reads: reads})
		done := serve(c)
		io.WriteString(clientEnd, nettest.Ask(1, nettest.ReadFields))
		c.requestClose(reason)
		nettest.Eventually(t, "the end is proposed", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state == stateConfirming
		})
		close(reads)
		stop := make(chan struct{})
		go answerRequests(rec, stop)
		output, err := io.ReadAll(clientEnd)
		close(stop)
		if string(output) != string(valueReply) || err != nil {
			t.Errorf("reason %d: got %q, error %v; want the value and the end", reason, output, err)
		}
		clientEnd.Close()
		nettest.Await(t, "the connection's end", done)
	}
}

// The requested end of a connection, for whatever reason, is not delayed by the pauses after faults.
func TestRequestedEndInterruptsPauseAfterFault(t *testing.T) {
	for name, input := range map[string]string{"buffer has room": nettest.Command("HELLO"), "buffer is full": flood()} {
		for _, reason := range []CloseReason{CloseIdle, CloseForSlot, CloseShutdown} {
			t.Run(fmt.Sprint(name, ", reason ", reason), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testEndDuringPause(t, input, reason) })
			})
		}
	}
}

func testEndDuringPause(t *testing.T, input string, reason CloseReason) {
	s, _ := newServer(nil, 1, 1<<20)
	server, client := newMemoryConn()
	c := newConn(s, server)
	io.WriteString(client, input)
	done := serve(c)
	synctest.Wait()
	if !c.pausing.Load() {
		t.Fatal("the reader does not pause after a fault, want a pause")
	}
	start := time.Now()
	c.requestClose(reason)
	output, err := io.ReadAll(client)
	if took := time.Since(start); took > 0 {
		t.Errorf("got the end after %v, want it at once", took)
	}
	if !strings.HasPrefix(string(output), "-ERR ") || err != nil {
		t.Errorf("got %q, error %v; want an error reply and the end", output, err)
	}
	client.Close()
	<-done
}

// A request behind faulty input has its answer, although the slot of its connection is needed: a value, or a rejection if there
// are too many faults before it.
func TestRequestBehindFaultsIsAnsweredWhenItsSlotIsNeeded(t *testing.T) {
	for faults, want := range map[int]string{maxFaults / 2: string(valueReply), floodCommands: "-BUSY\r\n"} { // by number of faults
		serverEnd, clientEnd := nettest.ConnPair(t)
		s, rec := newServer(nil, 1, 1<<20)
		c := newConn(s, serverEnd)
		io.WriteString(clientEnd, strings.Repeat(nettest.Command("HELLO"), faults))
		done := serve(c)
		nettest.Eventually(t, "the reader pauses", c.pausing.Load)
		c.mu.Lock() // no end is decided before the request has been sent
		io.WriteString(clientEnd, nettest.Ask(1, nettest.ReadFields))
		c.mu.Unlock()
		c.requestClose(CloseForSlot)
		answered := make(chan struct{})
		go answerRequests(rec, answered)
		output, err := io.ReadAll(clientEnd)
		close(answered)
		if want := strings.Repeat("-ERR "+unknownCommandText+"\r\n", faults) + want; string(output) != want || err != nil {
			t.Errorf("%d faults: got %d bytes that end in %q, error %v; want %d bytes that end in %q", faults, len(output),
				output[max(0, len(output)-30):], err, len(want), want[len(want)-30:])
		}
		clientEnd.Close()
		nettest.Await(t, "the connection's end", done)
	}
}

// The client of a connection that gives up its slot has the usual time to read the answer of a request, also of a rejected one.
func TestAnswersOfRequestsAreNotLostForASlot(t *testing.T) {
	request := nettest.Ask(1, nettest.ReadFields)
	for name, test := range map[string]struct {
		input, laterInput string // laterInput is sent during the pause after a fault
		want              time.Duration
	}{
		"nothing":          {"", "", slotLingerTimeout},
		"ping":             {nettest.Command(commandPing), "", slotLingerTimeout},
		"faults":           {flood(), "", slotLingerTimeout},
		"request":          {request, "", lingerTimeout},
		"rejected request": {flood(), request, lingerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			serverEnd, clientEnd := nettest.ConnPair(t)
			s, rec := newServer(nil, 1, 1<<20)
			c := newConn(s, serverEnd)
			stop := make(chan struct{})
			defer close(stop)
			go answerRequests(rec, stop)
			io.WriteString(clientEnd, test.input)
			done := serve(c)
			if test.input != "" {
				nettest.Eventually(t, "the input is read", func() bool { return c.pausing.Load() || c.hasReceivedCommand() })
			}
			c.mu.Lock() // no end is decided before the rest has been sent
			io.WriteString(clientEnd, test.laterInput)
			c.mu.Unlock()
			c.requestClose(CloseForSlot)
			output, _ := io.ReadAll(clientEnd)
			if test.laterInput != "" && !strings.HasSuffix(string(output), "-BUSY\r\n") {
				t.Errorf("got %d bytes without a rejection at the end, want one", len(output))
			}
			if got := c.lingerTime(); got != test.want {
				t.Errorf("got %v for the client's FIN, want %v", got, test.want)
			}
			clientEnd.Close()
			nettest.Await(t, "the connection's end", done)
		})
	}
}

// Connections give up their slots in the order of what their clients have done, and those with open requests of clients without
// faults keep theirs.
func TestSlotsAreGivenUpInTheOrderOfRanks(t *testing.T) {
	s, _ := newServer(nil, 8, 1<<20)
	now := time.Now()
	add := func(state connState, faults int32, idle time.Duration) *conn {
		server, _ := newMemoryConn()
		c := newConn(s, server)
		c.state, c.lastActivity = state, now.Add(-idle)
		c.faults.Store(faults)
		s.conns[c] = true
		return c
	}
	withRequest := func(c *conn) *conn {
		c.requestRead.Store(true)
		return c
	}
	add(stateActive, 0, time.Hour)
	add(stateNew, 0, newConnGrace)
	add(stateDraining, 1, time.Hour)
	want := []*conn{
		add(stateNew, 1, 2*time.Millisecond),
		add(stateIdle, 3, time.Millisecond),
		add(stateIdle, 0, newConnGrace+2*time.Millisecond),
		add(stateNew, 0, newConnGrace+time.Millisecond),
		withRequest(add(stateIdle, 0, 2*time.Hour)),
		withRequest(add(stateIdle, 0, time.Hour)),
		add(stateIdle, 0, newConnGrace),
		add(stateActive, 1, 3*time.Hour),
	}
	for i, c := range want {
		if got, _ := s.lowestRankedConn(now); got != c {
			t.Fatalf("choice %d: got %p, want %p", i, got, c)
		}
		c.requestClose(CloseForSlot)
	}
	if got, _ := s.lowestRankedConn(now); got != nil {
		t.Fatalf("got a connection that has no more to give up its slot, state %v, want none", got.state)
	}
}

// The rate at which connections are closed for their slots is bounded, also after a time without any, so that clients that come
// back at once do not take up the CPU.
func TestSlotsAreClosedAtABoundedRate(t *testing.T) {
	const period = 20 * time.Millisecond
	const most = int((period + maxSlotCloseLag) / slotCloseInterval)
	s, _ := newServer(nil, slotsOf256Descriptors, 1<<20)
	for range slotsOf256Descriptors {
		server, _ := newMemoryConn()
		c := newConn(s, server)
		c.faults.Store(1)
		s.conns[c] = true
	}
	start := time.Now()
	for elapsed := time.Duration(0); elapsed < period; elapsed += slotCloseInterval / 10 {
		s.closeConnForSlot(start.Add(elapsed))
	}
	closing := 0
	for c := range s.conns {
		if c.isClosingForSlot() {
			closing++
		}
	}
	if closing < most-1 || closing > most {
		t.Errorf("got %d connections asked to end in %v, want %d, or one less", closing, period, most)
	}
}

// One idle connection is closed for one new connection, also if its client takes some milliseconds to close its side.
func TestOneIdleConnectionIsClosedForOneNewConnection(t *testing.T) {
	const clientDelay = 4 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ln := newMemoryListener()
		s, rec := newServer(ln, slotsOf256Descriptors, 1<<20)
		stop := make(chan struct{})
		var goroutines sync.WaitGroup
		goroutines.Go(s.Serve)
		goroutines.Go(func() { answerRequests(rec, stop) })
		for i := range slotsOf256Descriptors - 1 { // one more slot is kept for the next connection
			client := ln.dial()
			io.WriteString(client, nettest.Ask(i, nettest.ReadFields))
			goroutines.Go(func() {
				io.Copy(io.Discard, client)
				time.Sleep(clientDelay)
				client.Close()
			})
		}
		synctest.Wait()
		newClient := ln.dial()
		io.WriteString(newClient, nettest.Command(commandPing))
		if got := nettest.ReadLine(t, bufio.NewReader(newClient)); got != "+PONG" {
			t.Errorf("got reply %q, want +PONG", got)
		}
		time.Sleep(lingerTimeout) // all connections that were asked to end have ended
		if got := s.cfg.Counters.Closes.Value(CloseForSlot); got != 1 {
			t.Errorf("got %d connections closed for their slots, want 1", got)
		}
		newClient.Close()
		close(stop)
		s.Drain(t.Context())
		goroutines.Wait()
	})
}

// The time that a connection has waited in the accept queue behind others counts for its first request, so that the request is
// not given more time than its client has left.
func TestRequestTimeoutCountsFromTheArrivalInTheQueue(t *testing.T) {
	const waiting = 8
	synctest.Test(t, func(t *testing.T) {
		ln := newMemoryListener()
		s, rec := newServer(ln, 1, 1<<20)
		s.acceptQueueLength = func(net.Listener) (int, bool) { return len(ln.queue), true }
		var goroutines sync.WaitGroup
		goroutines.Go(s.Serve)
		start := time.Now()
		var clients []*memoryConn
		for i := range waiting { // all but the first one wait for the slot
			client := ln.dial()
			io.WriteString(client, nettest.Ask(i, nettest.ReadFields))
			clients = append(clients, client)
		}
		for i, client := range clients {
			request := <-rec.received
			if late := request.ReadAt - s.cfg.Clock(start); late > queueMarkInterval {
				t.Errorf("request %d: got a timeout that counts from %v after its arrival, want %v at most", i, late, queueMarkInterval)
			}
			time.Sleep(50 * time.Millisecond)
			request.Respond(valueReply)
			client.Close()
		}
		s.Drain(t.Context())
		goroutines.Wait()
	})
}
