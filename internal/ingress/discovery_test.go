package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lemontack/policy"
)

// Where discovery is asked, a start takes the known list as it is: only a watch is asked for, from its version on.
func TestStartOfALargeFleetAsksForChangesOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		spread time.Duration
		lists  int
	}{{"told", 0, 1}, {"asked", time.Millisecond, 0}} {
		t.Run(c.name, func(t *testing.T) {
			calls := make(chan string, 64)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				if r.URL.RawQuery == "" {
					w.Write([]byte(`{"rev":7,"all":true,"targets":[]}`))
					return
				}
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			defer s.Close()
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			d := newDiscovery(strings.TrimPrefix(s.URL, "http://"), 7, pace{spread: c.spread, answer: time.Minute, silence: time.Minute,
				first: time.Millisecond, longest: time.Millisecond}, func(event) {}, quiet)
			go d.run(ctx)
			<-d.first
			lists := 0
			for q := range calls {
				if q != "" {
					if q != "follow=1&since=7" {
						t.Errorf("watch asked with %q", q)
					}
					break
				}
				lists++
			}
			if lists != c.lists {
				t.Errorf("%d lists asked for before the watch, want %d", lists, c.lists)
			}
		})
	}
}

// The calls of a fleet are spread over a time that grows with it, as far as the clock allows; a small one, or one that is
// told, asks at once.
func TestSpreadOfDiscoveryGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		ingresses int
		asked     bool
		known     int
		want      time.Duration
	}{{4, true, 1, 0}, {80, false, 1, 0}, {80, true, 0, 0}, {9, true, 1, 9 * askSpread}, {20, true, 1, 20 * askSpread},
		{80, true, 1, askEvery}, {300, true, 1, askEvery}} {
		cfg := Config{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Sockets: 256,
			Known: Fleet{Targets: make([]Target, c.known)},
			Settings: policy.Settings{GatewayCount: c.ingresses, PollEndpoints: c.asked,
				Classes: []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second}}}}
		g, err := New(cfg, quiet)
		if err != nil {
			t.Fatal(err)
		}
		if g.disc.pace.spread != c.want {
			t.Errorf("%+v: spread %v", c, g.disc.pace.spread)
		}
	}
}
