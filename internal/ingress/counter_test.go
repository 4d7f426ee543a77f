package ingress

import (
	"bufio"
	"net"
	"testing"
	"time"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/internal/nettest"
	"lemontack/policy"
)

// The policy receives one result of each counter call. A reply after the timeout is discarded.
func TestCounterCallIsReportedOnce(t *testing.T) {
	g, err := New(testConfig("", discovery.EndpointList{}), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	call := &counterclient.Call{}
	g.endCounterCall(counterclient.Result{Call: call, Outcome: policy.TimedOut})
	g.endCounterCall(counterclient.Result{Call: call, Outcome: policy.Succeeded, Total: 7})
	if len(g.pendingEvents) != 1 || g.pendingEvents[0].(policy.CounterReply).Outcome != policy.TimedOut {
		t.Fatalf("policy events %v, want the timeout only", g.pendingEvents)
	}
}

// A call to a counter that does not reply times out. A call that was never written ends as ConnectFailed, because it added
// nothing.
func TestSilentCounterTimesOut(t *testing.T) {
	for name, c := range map[string]struct {
		isWritten bool
		want      policy.Outcome
	}{"unwritten": {false, policy.ConnectFailed}, "written": {true, policy.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			g := idleGateway(t, testConfig("", endpointsAt("127.0.0.1:1")))
			lines := make(chan string, 1)
			address := nettest.Serve(t, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				line, _ := in.ReadString('\n')
				lines <- line
				in.ReadString('\n') // sends no reply until the connection is closed
			})
			g.counter = counterclient.New(address, time.Minute, func(r counterclient.Result) { g.post(counterCallEnded{r}) })
			if c.isWritten {
				g.spawn(g.counter.Run)
			}
			g.incrementCounter(policy.IncrementCounter{Name: "a", Delta: 1})
			if c.isWritten {
				<-lines
			}
			g.now += g.cfg.Settings.CounterTimeout
			for callback := g.timers.popDue(g.now); callback != nil &&
				len(g.pendingEvents) == 0; callback = g.timers.popDue(g.now) {
				callback()
			}
			if ev, ok := g.pendingEvents[len(g.pendingEvents)-1].(policy.CounterReply); !ok || ev.Outcome != c.want || ev.Name != "a" {
				t.Fatalf("policy events %v, want outcome %v", g.pendingEvents, c.want)
			}
		})
	}
}
