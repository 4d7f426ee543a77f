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

// A shutdown answers what was taken, and what still comes on an open connection, before the connection ends.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	taken, release := make(chan struct{}, 2), make(chan struct{})
	be := newBackend(t, func(int, []string, net.Conn) string {
		taken <- struct{}{}
		<-release
		return served
	})
	list := fleetOf(be.addr)
	addr, stop := startIngress(t, testConfig(registry(t, list, nil), list))
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	<-taken
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	io.WriteString(nc, nettest.Ask(2, nettest.ReadFields))
	<-taken
	close(release)
	nettest.WantValue(t, in)
	nettest.WantValue(t, in)
	if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
		t.Fatalf("after the answers: %q, %v; want a clean end", rest, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// The last answer comes before SIGKILL, which follows the longest deadline of the settings.
func TestTimeToLastAnswerFollowsTheDeadlines(t *testing.T) {
	for longest, kill := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 800 * time.Millisecond, 900 * time.Millisecond: 1600 * time.Millisecond,
		2500 * time.Millisecond: 3200 * time.Millisecond, time.Minute: 3700 * time.Millisecond} {
		got := timeToLastAnswer([]policy.Class{{Deadline: 50 * time.Millisecond}, {Deadline: longest}})
		if got+connectionsGrace >= kill || got < kill/2 || got < shutdownGrace {
			t.Errorf("longest deadline %v: all answered after %v, SIGKILL comes after %v", longest, got, kill)
		}
	}
}

// A shutdown with requests open at a hung endpoint, waiting for one, and half read, while a client goes on sending: each taken
// one has one whole answer, and the connections end between requests.
func TestShutdownUnderLoadAnswersAllThatWasTaken(t *testing.T) {
	be := newBackend(t, nil)
	list := fleetOf(be.addr)
	cfg := testConfig(registry(t, list, nil), list)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 200 * time.Millisecond
		cfg.Settings.Classes[i].Deadline = 400 * time.Millisecond
	}
	addr, stop := startIngress(t, cfg)
	out, outIn := nettest.Dial(t, addr)
	io.WriteString(out, nettest.Do(1, nettest.WriteFields)+nettest.Ask(2, nettest.ReadFields)+nettest.Do(3, nettest.WriteFields))
	half, halfIn := nettest.Dial(t, addr)
	io.WriteString(half, nettest.Ask(4, nettest.ReadFields)+nettest.Ask(5, nettest.ReadFields)[:20])
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
			time.Sleep(time.Millisecond) // pace: not waited on
		}
	}()
	for len(be.seen()) < 3 || sent.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		in          io.Reader
		least, most int
	}{"out": {outIn, 3, 3}, "half": {halfIn, 1, 2}, "busy": {busyIn, 1, 1 << 30}} {
		text, err := io.ReadAll(c.in)
		lines := strings.Split(strings.TrimSuffix(string(text), "\r\n"), "\r\n")
		if err != nil || len(lines) < c.least || len(lines) > c.most || !strings.HasSuffix(string(text), "\r\n") {
			t.Errorf("%s: %d answers, %v; want %d to %d and a clean end", name, len(lines), err, c.least, c.most)
		}
		for _, l := range lines {
			if !strings.HasPrefix(l, "-BUSY") && !strings.HasPrefix(l, "-ERR") {
				t.Errorf("%s: answer %q", name, l)
			}
		}
	}
	busy.Close()
	nettest.Await(t, "the sender ends", ended)
}

// At the end of a shutdown what still comes is rejected at once, and what came before has no longer than that.
func TestArrivalsAtTheEndOfAShutdownAreRejected(t *testing.T) {
	g := idleGateway(t, newBackend(t, nil).addr)
	firstSent, _ := newClientRequest(t, g, 1, 0)
	first := takeIn(g, firstSent)
	waits := first.attempts // for a connection
	by := g.now + time.Second
	g.handle(shutdownEvent{by})
	second, _ := newClientRequest(t, g, 2, 0)
	if taken := takeIn(g, second); taken == nil || taken.final || second.Deadline != by {
		t.Fatalf("not taken, or has until %v of %v", second.Deadline, by)
	}
	g.now = by
	g.runTimers()
	third, thirdIn := newClientRequest(t, g, 3, 0)
	if taken := takeIn(g, third); !first.final || taken != nil {
		t.Fatalf("first answered: %v; third taken: %v", first.final, taken != nil)
	}
	if got := nettest.ReadLine(t, thirdIn); got != "-BUSY" {
		t.Fatalf("third answered %q", got)
	}
	if len(waits) != 1 || !waits[0].ended {
		t.Fatalf("%d attempts waited for a connection, want one, that has ended", len(waits))
	}
}
