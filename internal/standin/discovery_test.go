package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/nettest"
)

// testDiscovery is a Discovery on pipes, with a client of its own.
type testDiscovery struct {
	*Discovery
	client *http.Client
}

// startDiscovery serves a list of the backends a and b, as revision 1.
func startDiscovery(t *testing.T, cfg DiscoveryConfig) *testDiscovery {
	t.Helper()
	d := NewDiscovery(cfg)
	d.SetList([]Target{{UID: "a", State: "SERVING"}, {UID: "b", State: "SERVING"}})
	ln := serveOnPipes(t, d.Serve, d.Close)
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return ln.Dial(ctx) }}
	return &testDiscovery{d, &http.Client{Transport: transport}}
}

// get sends a call; query is empty for a plain one.
func (r *testDiscovery) get(ctx context.Context, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://discovery"+registryPath+query, nil)
	if err != nil {
		return nil, err
	}
	return r.client.Do(req)
}

// watch opens a watch and returns its lines; the channel is closed with the watch.
func (r *testDiscovery) watch(t *testing.T, since int64) <-chan string {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	resp, err := r.get(ctx, fmt.Sprintf("?follow=1&since=%d", since))
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1<<10)
	go func() {
		defer close(lines)
		defer resp.Body.Close()
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
			lines <- in.Text()
		}
	}()
	return lines
}

// describeObject returns an object's revision, whether it is a snapshot, and its entries.
func describeObject(t *testing.T, object string) string {
	t.Helper()
	var l endpointList
	if err := json.Unmarshal([]byte(object), &l); err != nil {
		t.Fatalf("%q: %v", object, err)
	}
	s := fmt.Sprint(l.Revision, l.Snapshot)
	for _, e := range l.Targets {
		s += " " + e.UID + ":" + e.State
	}
	return s
}

func TestWatchStartsWithChangesOrSnapshot(t *testing.T) {
	for _, c := range []struct {
		keep  int
		since int64
		want  string
	}{
		{0, 4, "4 false"},
		{0, 3, "4 false c:SERVING"},
		{0, 2, "4 false a:DELETED c:SERVING"},
		{0, 1, "4 false a:DELETED c:SERVING"}, // it was draining before: one entry each, the latest
		{0, 0, "4 true b:SERVING c:SERVING"},
		{0, 5, "4 true b:SERVING c:SERVING"}, // of another incarnation
		{1, 4, "4 false"},
		{1, 3, "4 false c:SERVING"},
		{1, 2, "4 true b:SERVING c:SERVING"},
		{2, 2, "4 false a:DELETED c:SERVING"},
	} {
		t.Run(fmt.Sprintf("keep %d, since %d", c.keep, c.since), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startDiscovery(t, DiscoveryConfig{MaxChanges: c.keep})
				r.ApplyChange(Target{UID: "a", State: "DRAINING"})
				r.ApplyChange(Target{UID: "a", State: "DELETED"})
				if rev := r.ApplyChange(Target{UID: "c", State: "SERVING"}); rev != 4 {
					t.Fatalf("revision %d", rev)
				}
				if got := describeObject(t, <-r.watch(t, c.since)); got != c.want {
					t.Errorf("keep %d, since %d: %s, want %s", c.keep, c.since, got, c.want)
				}
			})
		})
	}
}

// A heartbeat is an empty line, every 2 s without a change.
func TestOpenWatchWritesChangesAndHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{})
		lines := r.watch(t, 1)
		if got := describeObject(t, <-lines); got != "1 false" {
			t.Fatalf("first %s", got)
		}
		time.Sleep(7 * time.Second)
		if got := receivedLines(lines); !slices.Equal(got, []string{"", "", ""}) {
			t.Fatalf("in 7 s: %q", got)
		}
		r.ApplyChange(Target{UID: "b", State: "DRAINING"}, Target{UID: "c", State: "SERVING"})
		if got := describeObject(t, <-lines); got != "2 false b:DRAINING c:SERVING" {
			t.Fatalf("change %s", got)
		}
		r.SetList([]Target{{UID: "d", State: "SERVING"}})
		if got := describeObject(t, <-lines); got != "3 true d:SERVING" {
			t.Fatalf("list %s", got)
		}
		synctest.Wait()
		if s := r.Stats(); s.Objects != 3 || s.Watches != 1 || s.OpenWatches != 1 {
			t.Fatalf("%+v", s)
		}
	})
}

func TestRevisionsContinueFromTheInitialOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{InitialRevision: 40})
		lines := r.watch(t, 40)
		if got := describeObject(t, <-lines); got != "41 true a:SERVING b:SERVING" {
			t.Fatalf("list %s", got)
		}
		if rev := r.ApplyChange(Target{UID: "c"}); rev != 42 {
			t.Fatalf("revision %d", rev)
		}
	})
}

func TestPlainCallReturnsASnapshot(t *testing.T) {
	for _, c := range []struct {
		indent bool
		lines  int
	}{{false, 1}, {true, 26}} {
		t.Run(fmt.Sprintf("indent %v", c.indent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startDiscovery(t, DiscoveryConfig{Indent: c.indent})
				resp, err := r.get(t.Context(), "")
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				if got := describeObject(t, string(body)); got != "1 true a:SERVING b:SERVING" {
					t.Errorf("list %s", got)
				}
				if got := strings.Count(string(body), "\n"); got != c.lines {
					t.Errorf("%d lines, want %d", got, c.lines)
				}
				synctest.Wait()
				if s := r.Stats(); s.Calls != 1 || s.Lists != 1 || s.Bytes != int64(len(body)) {
					t.Errorf("%+v", s)
				}
			})
		})
	}
}

func TestMalformedCallsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{})
		for query, want := range map[string]int{"/x": http.StatusNotFound, "?follow=1&since=x": http.StatusBadRequest} {
			resp, err := r.get(t.Context(), query)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("%s: %s", query, resp.Status)
			}
		}
	})
}

// callResult is how and when a call of a test ended.
type callResult struct {
	call   int
	status string
	after  time.Duration
}

// callAll sends calls a millisecond apart, each with a timeout of its own, and returns their results as they come.
func (r *testDiscovery) callAll(t *testing.T, times ...time.Duration) (ends []callResult) {
	t.Helper()
	began, done := time.Now(), make(chan callResult)
	for i, limit := range times {
		time.Sleep(time.Millisecond)
		go func() {
			ctx, stop := context.WithTimeout(t.Context(), limit)
			defer stop()
			resp, err := r.get(ctx, "")
			e := callResult{i, "no answer", time.Since(began).Truncate(100 * time.Millisecond)}
			if err == nil {
				e.status = resp.Status
				resp.Body.Close()
			}
			done <- e
		}()
	}
	for range times {
		ends = append(ends, <-done)
	}
	return ends
}

// They are, whatever their clients do meanwhile.
func TestQueuedCallsAreServedInOrder(t *testing.T) {
	const long, short, s = time.Minute, 500 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		cfg  DiscoveryConfig
		call []time.Duration
		want []callResult
		most int
	}{
		"no bound": {DiscoveryConfig{}, []time.Duration{long, long},
			[]callResult{{0, "200 OK", 0}, {1, "200 OK", 0}}, 0},
		"in order": {DiscoveryConfig{CallsPerSecond: 1}, []time.Duration{long, long, long},
			[]callResult{{0, "200 OK", s}, {1, "200 OK", 2 * s}, {2, "200 OK", 3 * s}}, 2},
		"cancelled ones take their time": {DiscoveryConfig{CallsPerSecond: 1}, []time.Duration{long, short, short, long},
			[]callResult{{1, "no answer", short}, {2, "no answer", short}, {0, "200 OK", s}, {3, "200 OK", 4 * s}}, 3},
		"cancelled ones leave": {DiscoveryConfig{CallsPerSecond: 1, DropCancelled: true},
			[]time.Duration{long, short, short, long},
			[]callResult{{1, "no answer", short}, {2, "no answer", short}, {0, "200 OK", s}, {3, "200 OK", 2 * s}}, 3},
		"timeout": {DiscoveryConfig{CallsPerSecond: 1, QueueTimeout: 2500 * time.Millisecond},
			[]time.Duration{long, long, long, long}, // the service of the third one has begun
			[]callResult{{0, "200 OK", s}, {1, "200 OK", 2 * s}, {3, "503 Service Unavailable", 2500 * time.Millisecond},
				{2, "200 OK", 3 * s}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startDiscovery(t, c.cfg)
				if got := r.callAll(t, c.call...); !slices.Equal(got, c.want) {
					t.Errorf("%v, want %v", got, c.want)
				}
				if s := r.Stats(); s.MaxQueued != c.most || s.Calls != len(c.call) {
					t.Errorf("%+v", s)
				}
			})
		})
	}
}

// New calls then get what changed during the silence.
func TestSilentCallsAndWatchesStaySilentAfterTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{CallsPerSecond: 10})
		old := r.watch(t, 1)
		<-old
		r.SetState(Silent)
		r.ApplyChange(Target{UID: "c", State: "SERVING"})
		during := make(chan callResult, 1)
		go func() { during <- r.callAll(t, time.Hour)[0] }()
		time.Sleep(10 * time.Second)
		r.SetState(Up)
		if got := describeObject(t, <-r.watch(t, 1)); got != "2 false c:SERVING" {
			t.Fatalf("after the return: %s", got)
		}
		r.ApplyChange(Target{UID: "d", State: "SERVING"})
		time.Sleep(time.Minute)
		if got := receivedLines(old); len(got) > 0 {
			t.Fatalf("the silent watch says %q", got)
		}
		if s := r.Stats(); s.OpenWatches != 2 || len(during) > 0 {
			t.Fatalf("%+v; %d calls of the silence ended", s, len(during))
		}
		r.SetState(Down)
		if _, open := <-old; open {
			t.Fatal("the silent watch outlives its discovery")
		}
		if e := <-during; e.status != "no answer" {
			t.Fatalf("call of the silence: %+v", e)
		}
	})
}

// The calls that are queued when a silence begins take no time of the service after it.
func TestSilenceClearsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{CallsPerSecond: 1})
		lost := make(chan []callResult, 1)
		go func() { lost <- r.callAll(t, time.Hour, time.Hour, time.Hour) }()
		time.Sleep(500 * time.Millisecond)
		r.SetState(Silent)
		time.Sleep(700 * time.Millisecond) // the call in service is over, the others would not be
		r.SetState(Up)
		if got := r.callAll(t, time.Hour); got[0] != (callResult{0, "200 OK", time.Second}) {
			t.Fatalf("after the return: %v", got)
		}
		r.SetState(Down)
		for _, e := range <-lost {
			if e.status != "no answer" {
				t.Fatalf("%+v", e)
			}
		}
	})
}

func TestDownDisconnectsAndUpServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{})
		lines := r.watch(t, 1)
		<-lines
		r.SetState(Down)
		if got, open := <-lines; open {
			t.Fatalf("the watch says %q", got)
		}
		if got := r.callAll(t, time.Hour); got[0] != (callResult{0, "no answer", 0}) {
			t.Fatalf("while down: %v", got)
		}
		synctest.Wait()
		if s := r.Stats(); s.Failed != 2 || s.OpenWatches != 0 || s.Watches != 1 {
			t.Fatalf("%+v", s)
		}
		r.SetState(Up)
		if got := r.callAll(t, time.Hour); got[0].status != "200 OK" {
			t.Fatalf("after: %v", got)
		}
	})
}

// Broken ones end, silenced ones stay open; new ones work either way.
func TestBrokenAndSilencedWatchesGetNothingMore(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*Discovery)
		open int
	}{"broken": {(*Discovery).DisconnectWatches, 1}, "silenced": {(*Discovery).SilenceWatches, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startDiscovery(t, DiscoveryConfig{})
				old := r.watch(t, 1)
				<-old
				c.end(r.Discovery)
				r.ApplyChange(Target{UID: "c", State: "SERVING"})
				lines := r.watch(t, 1)
				if got := describeObject(t, <-lines); got != "2 false c:SERVING" {
					t.Fatalf("a new watch: %s", got)
				}
				time.Sleep(time.Minute)
				if got := receivedLines(old); len(got) > 0 {
					t.Fatalf("the old one says %q", got)
				}
				if got := receivedLines(lines); len(got) < 29 {
					t.Fatalf("the new one: %d lines in a minute", len(got))
				}
				if s := r.Stats(); s.OpenWatches != c.open || s.Failed != 2-c.open {
					t.Fatalf("%+v", s)
				}
			})
		})
	}
}

func TestWatchOfAGoneClientIsNotOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startDiscovery(t, DiscoveryConfig{})
		for i := range 3 {
			ctx, leave := context.WithCancel(t.Context())
			resp, err := r.get(ctx, "?follow=1")
			if err != nil {
				t.Fatal(err)
			}
			if i == 1 {
				r.SetState(Silent)
				synctest.Wait()
			}
			leave()
			resp.Body.Close()
			synctest.Wait()
			if s := r.Stats(); s.OpenWatches != 0 || s.Watches != i+1 {
				t.Fatalf("watch %d: %+v", i, s)
			}
			r.SetState(Up)
		}
	})
}

func TestDiscoveryOnLoopback(t *testing.T) {
	d, ln := NewDiscovery(DiscoveryConfig{CallsPerSecond: 1000}), nettest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- d.Serve(ln) }()
	d.SetList([]Target{{UID: "a"}})
	resp, err := http.Get("http://" + ln.Addr().String() + registryPath + "?follow=1&since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	first, err := in.ReadString('\n')
	if err != nil || describeObject(t, first) != "1 true a:" {
		t.Fatalf("%q, %v", first, err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(in); err == nil {
		t.Fatalf("the watch ends well with %q", rest)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
