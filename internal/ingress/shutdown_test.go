package ingress

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/policy"
)

// A shutdown answers the open requests, and requests that still arrive on an open connection, before it closes the connection.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	endpoint := startEndpoint(t, func(int, []string, net.Conn) string {
		received <- struct{}{}
		<-release
		return valueReply("value")
	})
	addr, stop := startIngress(t, configFor(t, endpoint))
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	<-received
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	io.WriteString(nc, nettest.Ask(2, nettest.ReadFields))
	<-received
	close(release)
	nettest.WantValue(t, in)
	nettest.WantValue(t, in)
	if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
		t.Fatalf("after the answers: %q, %v; want an orderly close", rest, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// The last answer is sent before SIGKILL, whose time depends on the longest deadline of the settings.
func TestShutdownAnswerPeriodFollowsLongestDeadline(t *testing.T) {
	for maxDeadline, sigkillAt := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 800 * time.Millisecond, 900 * time.Millisecond: 1600 * time.Millisecond,
		2500 * time.Millisecond: 3200 * time.Millisecond, time.Minute: 3700 * time.Millisecond} {
		got := shutdownAnswerPeriod([]policy.Class{{Deadline: 50 * time.Millisecond}, {Deadline: maxDeadline}})
		if got+connectionCloseTimeout >= sigkillAt || got < sigkillAt/2 || got < acceptPeriod {
			t.Errorf("longest deadline %v: last answer after %v, want it before SIGKILL after %v", maxDeadline, got, sigkillAt)
		}
	}
}

// A shutdown answers every request that was read exactly once, and closes connections between requests. Requests are in
// flight at a silent endpoint, queued and partly read, and a client continues to send.
func TestShutdownUnderLoadAnswersEachRequest(t *testing.T) {
	endpoint := startEndpoint(t, nil)
	cfg := configFor(t, endpoint)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 200 * time.Millisecond
		cfg.Settings.Classes[i].Deadline = 400 * time.Millisecond
	}
	addr, stop := startIngress(t, cfg)
	waiting, waitingIn := nettest.Dial(t, addr)
	io.WriteString(waiting, nettest.Do(1, nettest.WriteFields)+nettest.Ask(2, nettest.ReadFields)+nettest.Do(3, nettest.WriteFields))
	partial, partialIn := nettest.Dial(t, addr)
	io.WriteString(partial, nettest.Ask(4, nettest.ReadFields)+nettest.Ask(5, nettest.ReadFields)[:20])
	busy, busyIn := nettest.Dial(t, addr)
	var sent atomic.Int32
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 100; ; i++ {
			if _, err := io.WriteString(busy, nettest.Ask(i, nettest.ReadFields)); err != nil {
				return
			}
			sent.Add(1)
			time.Sleep(time.Millisecond) // sets the rate of requests; no condition depends on it
		}
	}()
	endpoint.awaitCommands(t, 3)
	nettest.Eventually(t, "requests of the busy client", func() bool { return sent.Load() >= 3 })
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		in       io.Reader
		min, max int
	}{"waiting": {waitingIn, 3, 3}, "partial": {partialIn, 1, 2}, "busy": {busyIn, 1, 1 << 30}} {
		text, err := io.ReadAll(c.in)
		lines := strings.Split(strings.TrimSuffix(string(text), "\r\n"), "\r\n")
		if err != nil || len(lines) < c.min || len(lines) > c.max || !strings.HasSuffix(string(text), "\r\n") {
			t.Errorf("%s: %d answers, %v; want %d to %d and a clean end", name, len(lines), err, c.min, c.max)
		}
		for _, l := range lines {
			if !strings.HasPrefix(l, "-BUSY") && !strings.HasPrefix(l, "-ERR") {
				t.Errorf("%s: reply %q, want -BUSY or -ERR", name, l)
			}
		}
	}
	busy.Close()
	nettest.Await(t, "the sender ends", ended)
}

// After the deadline of a shutdown new requests are rejected at once. Earlier requests have been answered by then.
func TestRequestsAfterShutdownDeadlineAreRejected(t *testing.T) {
	g := idleGateway(t, testConfig("", endpointsAt(startEndpoint(t, nil).addr)))
	firstSent, _ := newClientRequest(t, g, 1, 0)
	first := admit(g, firstSent)
	waitingAttempts := first.attempts // attempts that wait for a connection
	deadline := g.now + time.Second
	g.handle(shutdownEvent{deadline})
	second, _ := newClientRequest(t, g, 2, 0)
	if admitted := admit(g, second); admitted == nil || admitted.finished || second.Deadline != deadline {
		t.Fatalf("second request: %+v with deadline %v, want it admitted with deadline %v", admitted, second.Deadline, deadline)
	}
	g.now = deadline
	g.runTimers()
	third, thirdIn := newClientRequest(t, g, 3, 0)
	if admitted := admit(g, third); !first.finished || admitted != nil {
		t.Fatalf("first answered %v, third admitted %v; want true, false", first.finished, admitted != nil)
	}
	if got := nettest.ReadLine(t, thirdIn); got != "-BUSY" {
		t.Fatalf("third request: reply %q, want -BUSY", got)
	}
	if len(waitingAttempts) != 1 || !waitingAttempts[0].ended {
		t.Fatalf("%d attempts waited for a connection, want one, which has ended", len(waitingAttempts))
	}
}
