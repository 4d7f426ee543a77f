package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"lemontack/internal/standin"
	"lemontack/policy"
)

// atSize are the settings of one ingress of a fleet of the size that is coming.
func atSize() policy.Settings { return policy.Settings{Index: 4711, GatewayCount: 6400, Zone: "z3"} }

// entryAt is the i-th backend of a long list in nine zones.
func entryAt(i int, state string) Target {
	return Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: "127.0.0.1:9", Zone: fmt.Sprint("z", i%9), Group: i / 5, State: state}
}

// longObject is a whole list of n backends, written as it is read.
func longObject(n int) io.Reader {
	out, in := io.Pipe()
	go func() {
		fmt.Fprint(in, `{"rev":5,"all":true,"targets":[`)
		for i := range n {
			if i > 0 {
				io.WriteString(in, ",\n")
			}
			text, _ := json.Marshal(entryAt(i, "SERVING"))
			in.Write(text)
		}
		fmt.Fprint(in, "]}")
		in.Close()
	}()
	return out
}

// A list of 200,000 is read whole, and no more than the subset of it is ever held; each held one is where the subset says, and
// the estimate of who shares it is near the truth.
func TestLongListIsReadAsAStream(t *testing.T) {
	const listed = 200_000
	m := newMembers(atSize(), quiet)
	entries := 0
	h, f, err := m.read(json.NewDecoder(longObject(listed)), func() { entries++ })
	if err != nil || !h.All || *h.Rev != 5 || entries != listed {
		t.Fatalf("%d entries, %+v, %v", entries, h, err)
	}
	if len(f.Targets) > subsetLimit || len(f.Targets) < subsetMost/2 || cap(f.Targets) > 2*subsetLimit {
		t.Errorf("%d of %d held, room for %d; want %d at most", len(f.Targets), listed, cap(f.Targets), subsetMost)
	}
	f = m.apply(f)
	for _, e := range f.Targets {
		if !m.takes(e) || !m.held[e.UID] && e.Zone == "z3" {
			t.Fatalf("%+v is held", e)
		}
	}
	if got, want := f.Sharers, 6400*float64(len(f.Targets))/listed; got < want/2 || got > want*2 {
		t.Errorf("%v share each, want about %v", got, want)
	}
}

// The list that the module asks for says who shares it, as the news did.
func TestHeldListSaysWhoSharesIt(t *testing.T) {
	g := idleGateway(t, named(t, "a").addr)
	f := fleetOf("127.0.0.1:9")
	f.Sharers = 30
	g.handle(f)
	if ev := g.endpointList(); ev.GatewaysPerEndpoint != 30 {
		t.Errorf("shared by %v, told 30", ev.GatewaysPerEndpoint)
	}
}

// A short list is held whole by every ingress, and all share it.
func TestShortListIsHeldWhole(t *testing.T) {
	for _, set := range []policy.Settings{atSize(), {GatewayCount: 1}, {Index: 299, GatewayCount: 300, Zone: "z0"}} {
		m := newMembers(set, quiet)
		_, f, err := m.read(json.NewDecoder(longObject(subsetMost)), func() {})
		if f = m.apply(f); err != nil || len(f.Targets) != subsetMost || f.Sharers != float64(set.GatewayCount) {
			t.Errorf("%d of %d: %d held, shared by %v, %v", set.Index, set.GatewayCount, len(f.Targets), f.Sharers, err)
		}
	}
}

// Changes are applied one by one: what is told of a held backend counts, in whatever form it comes; others cost nothing; and
// what the subset grows too small for is told to be gone.
func TestChangesOfALongList(t *testing.T) {
	m := newMembers(atSize(), quiet)
	_, f, err := m.read(json.NewDecoder(longObject(20_000)), func() {})
	if err != nil {
		t.Fatal(err)
	}
	first := m.apply(f).Targets
	change := func(targets ...Target) Fleet {
		text, _ := json.Marshal(Fleet{Rev: 6, Targets: targets})
		_, f, err := m.read(json.NewDecoder(strings.NewReader(string(text))), func() {})
		if err != nil {
			t.Fatal(err)
		}
		return m.apply(f)
	}
	drains := first[0]
	drains.State = "DRAINING"
	if got := change(drains); len(got.Targets) != 1 || got.Targets[0] != drains {
		t.Errorf("told of %v, want one that drains", got.Targets)
	}
	gone := Target{UID: first[1].UID, State: stateGone} // with no zone
	if got := change(gone, entryAt(7_000_000, stateGone)); len(got.Targets) != 1 || got.Targets[0].UID != gone.UID {
		t.Errorf("told of %v, want one that is gone", got.Targets)
	}
	told := map[string]bool{}
	for _, e := range first {
		told[e.UID] = e.UID != gone.UID
	}
	for i := 20_000; i < 40_000; i++ { // one by one
		for _, e := range change(entryAt(i, "SERVING")).Targets {
			told[e.UID] = e.State != stateGone
		}
	}
	held := 0
	for uid, here := range told {
		if _, held := m.held[uid]; held != here {
			t.Fatalf("%s: held %v, told %v", uid, held, here)
		}
		if here {
			held++
		}
	}
	if held > subsetMost || held < subsetMost/2 {
		t.Errorf("%d held after 20,000 have joined", held)
	}
}

// An ingress at size takes a whole list of 200,000 from its agent, serves from it, and follows its changes; when the list
// grows short it is read again, until all of it is held.
func TestLongListFromDiscovery(t *testing.T) {
	a := named(t, "a")
	at := standin.NewDiscovery(standin.DiscoveryConfig{})
	list := func(n int, addr string) (targets []standin.Target) {
		for i := range n {
			e := entryAt(i, "SERVING")
			e.Endpoint = addr
			targets = append(targets, standin.Target(e))
		}
		return targets
	}
	at.SetList(list(200_000, a.addr))
	ln := loopback(t)
	go at.Serve(ln)
	t.Cleanup(func() { at.Close() })
	cfg := testConfig(ln.Addr().String(), Fleet{})
	cfg.Settings.Index, cfg.Settings.GatewayCount = 4711, 6400
	addr, _ := startIngress(t, cfg)
	until(t, addr, "a")
	b := named(t, "b")
	at.SetList(list(200_000, b.addr))
	nc, in := dial(t, addr)
	for i := 1_000_000; ; i++ {
		io.WriteString(nc, ask(i, readFields))
		line(t, in)
		if line(t, in) == "b" {
			break
		}
	}
}

// When a long list grows short it is read again, until all of it is held; one reader needs few lists for that.
func TestListThatGrowsShort(t *testing.T) {
	at := standin.NewDiscovery(standin.DiscoveryConfig{})
	set := func(n int) {
		var targets []standin.Target
		for i := range n {
			targets = append(targets, standin.Target(entryAt(i, "SERVING")))
		}
		at.SetList(targets)
	}
	set(20_000)
	ln := loopback(t)
	go at.Serve(ln)
	t.Cleanup(func() { at.Close() })
	events := make(chan event, 64)
	d := newDiscovery(ln.Addr().String(), 0, paceOf(false, 1, true), func(e event) { events <- e }, quiet)
	d.known = newMembers(atSize(), quiet)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.run(ctx)
	}()
	for n := len((<-events).(Fleet).Targets); n < 300; { // held of the long list
		n = len((<-events).(Fleet).Targets)
	}
	lists := at.Stats().Lists
	set(300)
	for f := range events {
		if f := f.(Fleet); f.All && len(f.Targets) == 300 {
			if f.Sharers != 6400 {
				t.Errorf("shared by %v, want all", f.Sharers)
			}
			break
		}
	}
	if again := at.Stats().Lists - lists; again > 3 {
		t.Errorf("%d lists to hold it whole", again)
	}
	cancel()
	<-done
}
