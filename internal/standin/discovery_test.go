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

// testDiscovery is a Discovery on a PipeListener together with an HTTP client that connects to it.
type testDiscovery struct {
	*Discovery
	client *http.Client
}

// startDiscovery serves a list of the backends a and b as the next revision after the initial one.
func startDiscovery(t *testing.T, config DiscoveryConfig) *testDiscovery {
	t.Helper()
	service := NewDiscovery(config)
	service.SetList([]Target{{UID: "a", State: "SERVING"}, {UID: "b", State: "SERVING"}})
	ln := serveOnPipes(t, service.Serve, service.Close)
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return ln.Dial(ctx) }}
	return &testDiscovery{service, &http.Client{Transport: transport}}
}

// get sends a call. An empty query requests the list.
func (d *testDiscovery) get(ctx context.Context, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://discovery"+registryPath+query, nil)
	if err != nil {
		return nil, err
	}
	return d.client.Do(req)
}

// watch opens a watch and returns a channel of its lines, which is closed when the watch ends.
func (d *testDiscovery) watch(t *testing.T, since int64) <-chan string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	resp, err := d.get(ctx, fmt.Sprintf("?follow=1&since=%d", since))
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1<<10)
	go func() {
		defer close(lines)
		defer resp.Body.Close()
		for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// describeObject formats the revision of a JSON object, whether it is a snapshot, and its entries.
func describeObject(t *testing.T, object string) string {
	t.Helper()
	var update endpointUpdate
	if err := json.Unmarshal([]byte(object), &update); err != nil {
		t.Fatalf("decode %q: %v", object, err)
	}
	description := fmt.Sprint(update.Revision, update.IsSnapshot)
	for _, entry := range update.Targets {
		description += " " + entry.UID + ":" + entry.State
	}
	return description
}

func TestWatchStartsWithChangesOrSnapshot(t *testing.T) {
	for _, c := range []struct {
		maxChanges int
		since      int64
		want       string
	}{
		{0, 4, "4 false"},
		{0, 3, "4 false c:SERVING"},
		{0, 2, "4 false a:DELETED c:SERVING"},
		{0, 1, "4 false a:DELETED c:SERVING"}, // only the latest entry of a
		{0, 0, "4 true b:SERVING c:SERVING"},
		{0, 5, "4 true b:SERVING c:SERVING"}, // a revision of an earlier discovery process
		{1, 4, "4 false"},
		{1, 3, "4 false c:SERVING"},
		{1, 2, "4 true b:SERVING c:SERVING"},
		{2, 2, "4 false a:DELETED c:SERVING"},
	} {
		t.Run(fmt.Sprintf("keep %d, since %d", c.maxChanges, c.since), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := startDiscovery(t, DiscoveryConfig{MaxChanges: c.maxChanges})
				service.ApplyChange(Target{UID: "a", State: "DRAINING"})
				service.ApplyChange(Target{UID: "a", State: "DELETED"})
				if revision := service.ApplyChange(Target{UID: "c", State: "SERVING"}); revision != 4 {
					t.Fatalf("got revision %d, want 4", revision)
				}
				if got := describeObject(t, <-service.watch(t, c.since)); got != c.want {
					t.Errorf("keep %d, since %d: got %s, want %s", c.maxChanges, c.since, got, c.want)
				}
			})
		})
	}
}

// A heartbeat is an empty line that is written after every 2 s without a change.
func TestOpenWatchWritesChangesAndHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{})
		lines := service.watch(t, 1)
		if got := describeObject(t, <-lines); got != "1 false" {
			t.Fatalf("first object: got %s, want 1 false", got)
		}
		time.Sleep(7 * time.Second)
		if got := receivedLines(lines); !slices.Equal(got, []string{"", "", ""}) {
			t.Fatalf("in 7 s: got %q, want three heartbeats", got)
		}
		service.ApplyChange(Target{UID: "b", State: "DRAINING"}, Target{UID: "c", State: "SERVING"})
		if got := describeObject(t, <-lines); got != "2 false b:DRAINING c:SERVING" {
			t.Fatalf("change: got %s, want 2 false b:DRAINING c:SERVING", got)
		}
		service.SetList([]Target{{UID: "d", State: "SERVING"}})
		if got := describeObject(t, <-lines); got != "3 true d:SERVING" {
			t.Fatalf("list: got %s, want 3 true d:SERVING", got)
		}
		synctest.Wait()
		if stats := service.Stats(); stats.Objects != 3 || stats.Watches != 1 || stats.OpenWatches != 1 {
			t.Fatalf("got stats %+v, want 3 objects, 1 watch, 1 open watch", stats)
		}
	})
}

func TestRevisionsContinueFromInitialRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{InitialRevision: 40})
		lines := service.watch(t, 40)
		if got := describeObject(t, <-lines); got != "41 true a:SERVING b:SERVING" {
			t.Fatalf("list: got %s, want 41 true a:SERVING b:SERVING", got)
		}
		if revision := service.ApplyChange(Target{UID: "c"}); revision != 42 {
			t.Fatalf("got revision %d, want 42", revision)
		}
	})
}

func TestListCallReturnsSnapshot(t *testing.T) {
	for _, c := range []struct {
		indent    bool
		wantLines int
	}{{false, 1}, {true, 26}} {
		t.Run(fmt.Sprintf("indent %v", c.indent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := startDiscovery(t, DiscoveryConfig{Indent: c.indent})
				resp, err := service.get(t.Context(), "")
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				if got := describeObject(t, string(body)); got != "1 true a:SERVING b:SERVING" {
					t.Errorf("list: got %s, want 1 true a:SERVING b:SERVING", got)
				}
				if got := strings.Count(string(body), "\n"); got != c.wantLines {
					t.Errorf("got %d lines, want %d", got, c.wantLines)
				}
				synctest.Wait()
				if stats := service.Stats(); stats.Calls != 1 || stats.Lists != 1 || stats.Bytes != int64(len(body)) {
					t.Errorf("got stats %+v, want 1 call, 1 list and the bytes of the body", stats)
				}
			})
		})
	}
}

func TestMalformedCallsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{})
		for query, want := range map[string]int{"/x": http.StatusNotFound, "?follow=1&since=x": http.StatusBadRequest} {
			resp, err := service.get(t.Context(), query)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("%s: got status %s, want 404 for the path and 400 for the revision", query, resp.Status)
			}
		}
	})
}

// callResult is the result of a call for the list.
type callResult struct {
	index   int           // position of the call in the order of sending
	status  string        // HTTP status, or "no answer" after an error
	elapsed time.Duration // time since the first call was prepared, truncated to 0.1 s
}

// sendListCalls sends one call per timeout, a millisecond apart, and returns their results in the order of completion.
func (d *testDiscovery) sendListCalls(t *testing.T, timeouts ...time.Duration) (results []callResult) {
	t.Helper()
	start, finished := time.Now(), make(chan callResult)
	for i, timeout := range timeouts {
		time.Sleep(time.Millisecond)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			resp, err := d.get(ctx, "")
			result := callResult{i, "no answer", time.Since(start).Truncate(100 * time.Millisecond)}
			if err == nil {
				result.status = resp.Status
				resp.Body.Close()
			}
			finished <- result
		}()
	}
	for range timeouts {
		results = append(results, <-finished)
	}
	return results
}

// The order does not depend on whether clients cancel queued calls.
func TestQueuedCallsAreServedInOrder(t *testing.T) {
	const longTimeout, shortTimeout, second = time.Minute, 500 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		config        DiscoveryConfig
		timeouts      []time.Duration
		want          []callResult
		wantMaxQueued int
	}{
		"no limits": {DiscoveryConfig{}, []time.Duration{longTimeout, longTimeout},
			[]callResult{{0, "200 OK", 0}, {1, "200 OK", 0}}, 0},
		"in order": {DiscoveryConfig{CallsPerSecond: 1}, []time.Duration{longTimeout, longTimeout, longTimeout},
			[]callResult{{0, "200 OK", second}, {1, "200 OK", 2 * second}, {2, "200 OK", 3 * second}}, 2},
		"cancelled calls use capacity": {DiscoveryConfig{CallsPerSecond: 1},
			[]time.Duration{longTimeout, shortTimeout, shortTimeout, longTimeout},
			[]callResult{{1, "no answer", shortTimeout}, {2, "no answer", shortTimeout}, {0, "200 OK", second},
				{3, "200 OK", 4 * second}}, 3},
		"cancelled calls are removed": {DiscoveryConfig{CallsPerSecond: 1, DropCancelled: true},
			[]time.Duration{longTimeout, shortTimeout, shortTimeout, longTimeout},
			[]callResult{{1, "no answer", shortTimeout}, {2, "no answer", shortTimeout}, {0, "200 OK", second},
				{3, "200 OK", 2 * second}}, 3},
		"timeout": {DiscoveryConfig{CallsPerSecond: 1, QueueTimeout: 2500 * time.Millisecond},
			[]time.Duration{longTimeout, longTimeout, longTimeout, longTimeout}, // the third call is in service at its timeout
			[]callResult{{0, "200 OK", second}, {1, "200 OK", 2 * second},
				{3, "503 Service Unavailable", 2500 * time.Millisecond},
				{2, "200 OK", 3 * second}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := startDiscovery(t, c.config)
				if got := service.sendListCalls(t, c.timeouts...); !slices.Equal(got, c.want) {
					t.Errorf("got results %v, want %v", got, c.want)
				}
				if stats := service.Stats(); stats.MaxQueued != c.wantMaxQueued || stats.Calls != len(c.timeouts) {
					t.Errorf("got stats %+v, want the calls and the maximum queue of the case", stats)
				}
			})
		})
	}
}

// New watches get the changes that were made in state Silent.
func TestSilencedCallsAndWatchesGetNoOutputAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{CallsPerSecond: 10})
		before := service.watch(t, 1)
		<-before
		service.SetState(Silent)
		service.ApplyChange(Target{UID: "c", State: "SERVING"})
		during := make(chan callResult, 1)
		go func() { during <- service.sendListCalls(t, time.Hour)[0] }()
		time.Sleep(10 * time.Second)
		service.SetState(Up)
		if got := describeObject(t, <-service.watch(t, 1)); got != "2 false c:SERVING" {
			t.Fatalf("new watch after state Silent: got %s, want 2 false c:SERVING", got)
		}
		service.ApplyChange(Target{UID: "d", State: "SERVING"})
		time.Sleep(time.Minute)
		if got := receivedLines(before); len(got) > 0 {
			t.Fatalf("silenced watch: got %q, want no output", got)
		}
		if stats := service.Stats(); stats.OpenWatches != 2 || len(during) > 0 {
			t.Fatalf("got stats %+v and %d results of silenced calls, want 2 open watches and none", stats, len(during))
		}
		service.SetState(Down)
		if _, open := <-before; open {
			t.Fatal("silenced watch in state Down: got it open, want it closed")
		}
		if result := <-during; result.status != "no answer" {
			t.Fatalf("silenced call: got %+v, want no answer", result)
		}
	})
}

// Calls that are queued when the state changes to Silent use no capacity afterwards.
func TestSilentStateClearsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{CallsPerSecond: 1})
		queuedResults := make(chan []callResult, 1)
		go func() { queuedResults <- service.sendListCalls(t, time.Hour, time.Hour, time.Hour) }()
		time.Sleep(500 * time.Millisecond)
		service.SetState(Silent)
		time.Sleep(700 * time.Millisecond) // past the end of the current service, but not of the services of the queued calls
		service.SetState(Up)
		if got := service.sendListCalls(t, time.Hour); got[0] != (callResult{0, "200 OK", time.Second}) {
			t.Fatalf("call after state Silent: got %v, want 200 OK after 1s", got)
		}
		service.SetState(Down)
		for _, result := range <-queuedResults {
			if result.status != "no answer" {
				t.Fatalf("queued call: got %+v, want no answer", result)
			}
		}
	})
}

func TestDownStateDisconnectsAndUpStateServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{})
		lines := service.watch(t, 1)
		<-lines
		service.SetState(Down)
		if got, open := <-lines; open {
			t.Fatalf("watch in state Down: got %q, want it closed", got)
		}
		if got := service.sendListCalls(t, time.Hour); got[0] != (callResult{0, "no answer", 0}) {
			t.Fatalf("call in state Down: got %v, want no answer at once", got)
		}
		synctest.Wait()
		if stats := service.Stats(); stats.Failed != 2 || stats.OpenWatches != 0 || stats.Watches != 1 {
			t.Fatalf("got stats %+v, want 2 failed, 1 watch, 0 open watches", stats)
		}
		service.SetState(Up)
		if got := service.sendListCalls(t, time.Hour); got[0].status != "200 OK" {
			t.Fatalf("call after state Down: got %v, want 200 OK", got)
		}
	})
}

// Disconnected watches close and silenced watches stay open. New watches are not affected.
func TestDisconnectedAndSilencedWatchesGetNoOutput(t *testing.T) {
	for name, c := range map[string]struct {
		stopWatches func(*Discovery)
		wantOpen    int
	}{"disconnected": {(*Discovery).DisconnectWatches, 1}, "silenced": {(*Discovery).SilenceWatches, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := startDiscovery(t, DiscoveryConfig{})
				oldLines := service.watch(t, 1)
				<-oldLines
				c.stopWatches(service.Discovery)
				service.ApplyChange(Target{UID: "c", State: "SERVING"})
				newLines := service.watch(t, 1)
				if got := describeObject(t, <-newLines); got != "2 false c:SERVING" {
					t.Fatalf("new watch: got %s, want 2 false c:SERVING", got)
				}
				time.Sleep(time.Minute)
				if got := receivedLines(oldLines); len(got) > 0 {
					t.Fatalf("old watch: got %q, want no output", got)
				}
				if got := receivedLines(newLines); len(got) < 29 {
					t.Fatalf("new watch: got %d lines in a minute, want at least 29", len(got))
				}
				if stats := service.Stats(); stats.OpenWatches != c.wantOpen || stats.Failed != 2-c.wantOpen {
					t.Fatalf("got stats %+v, want the old watch open only if silenced, and failed otherwise", stats)
				}
			})
		})
	}
}

func TestWatchOfDisconnectedClientIsNotOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startDiscovery(t, DiscoveryConfig{})
		for i := range 3 {
			ctx, cancel := context.WithCancel(t.Context())
			resp, err := service.get(ctx, "?follow=1")
			if err != nil {
				t.Fatal(err)
			}
			if i == 1 {
				service.SetState(Silent)
				synctest.Wait()
			}
			cancel()
			resp.Body.Close()
			synctest.Wait()
			if stats := service.Stats(); stats.OpenWatches != 0 || stats.Watches != i+1 {
				t.Fatalf("watch %d: got stats %+v, want no open watches and all watches counted", i, stats)
			}
			service.SetState(Up)
		}
	})
}

func TestDiscoveryServesOverLoopback(t *testing.T) {
	service, ln := NewDiscovery(DiscoveryConfig{CallsPerSecond: 1000}), nettest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- service.Serve(ln) }()
	service.SetList([]Target{{UID: "a"}})
	resp, err := http.Get("http://" + ln.Addr().String() + registryPath + "?follow=1&since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	firstLine, err := reader.ReadString('\n')
	if err != nil || describeObject(t, firstLine) != "1 true a:" {
		t.Fatalf("first line: got %q, error %v, want 1 true a:", firstLine, err)
	}
	if err := service.Close(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(reader); err == nil {
		t.Fatalf("watch after Close: got a complete body ending with %q, want a read error", rest)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
