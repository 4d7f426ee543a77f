package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/nettest"
)

// valueOf is a backend's answer that holds a value.
func valueOf(s string) string { return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(s), s) }

// named is a backend that serves its own name.
func named(t *testing.T, name string) *backendFake { return serving(t, name) }

// moveTo is the change that drains the first backend of a list and brings in another one.
func moveTo(from, to string) string {
	return fmt.Sprintf(`{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":%q,"state":"DRAINING"},
		{"uid":"s1","endpoint":%q,"state":"SERVING"}]}`, from, to)
}

// Whatever a watch brings or leaves out, the next change that can be read is acted on, and until then the list stays in
// force: an object on several lines once broke the watch each time, an endless one would fill the memory.
func TestWatchesThatGoWrong(t *testing.T) {
	text := func(s string) func(http.ResponseWriter, <-chan struct{}) {
		return func(w http.ResponseWriter, _ <-chan struct{}) { io.WriteString(w, s) }
	}
	for name, first := range map[string]func(w http.ResponseWriter, ended <-chan struct{}){
		"unreadable": text("{\"rev\":what}\n"),
		"not a list": text("{\"rev\":9,\"all\":true}\n"),
		"cut off":    text(`{"rev":2,"all":true,"targets":[`),
		"too much":   text("{" + strings.Repeat(" ", 2<<20)), // twice the maximum between entries
		"older":      text(`{"rev":0,"all":true,"targets":[]}`),
		"no answer":  func(_ http.ResponseWriter, ended <-chan struct{}) { <-ended },
		"error":      func(w http.ResponseWriter, _ <-chan struct{}) { w.WriteHeader(http.StatusBadGateway) },
		"elsewhere": func(w http.ResponseWriter, _ <-chan struct{}) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusFound)
		},
	} {
		t.Run(name, func(t *testing.T) {
			testWatches(t, func(n int32, w http.ResponseWriter, change string, ended <-chan struct{}) {
				if n == 1 {
					first(w, ended)
					return
				}
				io.WriteString(w, change+"\n")
				w.(http.Flusher).Flush()
				<-ended
			})
		})
	}
}

// An object on several lines, in pieces, with empty lines around it, is read on the one watch that goes on.
func TestIndentedWatch(t *testing.T) {
	n := testWatches(t, func(_ int32, w http.ResponseWriter, change string, ended <-chan struct{}) {
		for _, part := range strings.SplitAfter("\n"+strings.ReplaceAll(change, ",", ",\n  ")+"\n\n", "e") {
			io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
		<-ended
	})
	if n != 1 {
		t.Fatalf("%d watches, want one", n)
	}
}

// A watch that has fallen silent is opened anew, and brings what was missed.
func TestSilentWatch(t *testing.T) {
	n := testWatches(t, func(n int32, w http.ResponseWriter, change string, ended <-chan struct{}) {
		io.WriteString(w, "\n")
		if n > 1 {
			io.WriteString(w, change)
		}
		w.(http.Flusher).Flush()
		<-ended
	})
	if n < 2 {
		t.Fatalf("%d watches, want a second one", n)
	}
}

// What the agent has counts from the first moment of a new process: the known list may be old.
func TestFreshStart(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	list := fleetOf(a.addr, b.addr)
	list.Revision, list.Entries[0].State = 2, "DRAINING"
	addr, _ := startIngress(t, testConfig(registry(t, list, nil), fleetOf(a.addr)))
	until(t, addr, "b")
	seen := len(a.seen())
	nc, in := nettest.Dial(t, addr)
	for i := range 20 {
		io.WriteString(nc, nettest.Ask(1000+i, nettest.ReadFields))
		nettest.ReadLine(t, in)
		nettest.ReadLine(t, in)
	}
	if n := len(a.seen()); n != seen {
		t.Fatalf("%d commands to a backend that drains", n-seen)
	}
}

// until asks until the backend of that name serves.
func until(t *testing.T, addr, name string) {
	t.Helper()
	nc, in := nettest.Dial(t, addr)
	for i := 0; ; i++ {
		io.WriteString(nc, nettest.Ask(i, nettest.ReadFields))
		if got := nettest.ReadLine(t, in); got != "$1" {
			t.Fatalf("answer %q: no list is in force", got)
		}
		if nettest.ReadLine(t, in) == name {
			return
		}
	}
}

// testWatches lets watch answer the watches of an ingress whose backend serves, and awaits that the change moves the
// requests to another one. It returns the number of watches by then.
func testWatches(t *testing.T, watch func(n int32, w http.ResponseWriter, change string, ended <-chan struct{})) int32 {
	a, b := named(t, "a"), named(t, "b")
	list := fleetOf(a.addr)
	var watches atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/registry/instances":
			t.Errorf("asked at %s", r.URL)
		case r.URL.Query().Get("follow") == "":
			fmt.Fprintf(w, `{"rev":1,"all":true,"targets":[{"uid":"s0","endpoint":%q,"state":"SERVING"}]}`, a.addr)
		default:
			watch(watches.Add(1), w, moveTo(a.addr, b.addr), r.Context().Done())
		}
	}))
	t.Cleanup(s.Close)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), list)
	cfg.Settings.MaxAttempts = 3 // one may be on its way to a backend as that drains
	addr, _ := startIngress(t, cfg)
	until(t, addr, "b")
	return watches.Load()
}

// held is a backend that answers nothing, and tells which of its connections are given up.
func held(t *testing.T, ended chan<- struct{}) *backendFake {
	return newBackend(t, func(_ int, _ []string, nc net.Conn) string {
		go func() {
			nc.Read(make([]byte, 1))
			ended <- struct{}{}
		}()
		return ""
	})
}

// A client that leaves while its connection would not be read is noticed all the same: behind more commands than may
// wait, and behind nonsense after which nothing is taken any more.
func TestLeavesUnread(t *testing.T) {
	for name, more := range map[string]string{
		"many commands": func() string {
			var b strings.Builder
			for i := range 3 * listener.MaxPipelined {
				b.WriteString(nettest.Ask(10+i, nettest.ReadFields))
			}
			return b.String()
		}(),
		"lost framing": "?\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1000)
			be := held(t, ended)
			list := fleetOf(be.addr)
			addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
			nc, _ := nettest.Dial(t, addr)
			io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
			for len(be.seen()) < 1 {
				time.Sleep(time.Millisecond)
			}
			io.WriteString(nc, more)
			nc.Close()
			nettest.Await(t, "the attempt is given up", ended)
		})
	}
}

// What a client that leaves had waiting in the queue is not sent on, though its going makes room: the next one in the queue
// is another client's.
func TestLeavesInTheQueue(t *testing.T) {
	const of = 10
	be := newBackend(t, func(_ int, args []string, _ net.Conn) string {
		if strings.HasPrefix(args[2], "a") {
			return ""
		}
		return served
	})
	list := fleetOf(be.addr)
	addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
	leaves, _ := nettest.Dial(t, addr)
	for i := range of {
		io.WriteString(leaves, nettest.Command("Q.ASK", "00000000b4d65521", fmt.Sprintf("a%015x", i), nettest.ReadFields))
	}
	for len(be.seen()) < 1 {
		time.Sleep(time.Millisecond)
	}
	stays, in := nettest.Dial(t, addr)
	io.WriteString(stays, nettest.Command("PING"))
	nettest.ReadLine(t, in)
	io.WriteString(stays, nettest.Ask(1, nettest.ReadFields))
	leaves.Close()
	nettest.WantValue(t, in)
	io.WriteString(stays, nettest.Ask(2, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := len(be.seen()) - 2; n >= of || n < 1 {
		t.Fatalf("%d of %d commands of the client that left were sent", n, of)
	}
}
