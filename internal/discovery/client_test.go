package discovery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lemontack/policy"
)

// A client whose start is spread does not poll: it uses the known list and watches the changes since its revision.
func TestClientWithSpreadStartWatchesWithoutAPoll(t *testing.T) {
	for _, c := range []struct {
		name   string
		spread time.Duration
		lists  int
	}{{"pushed", 0, 1}, {"polled", time.Millisecond, 0}} {
		t.Run(c.name, func(t *testing.T) {
			queries := make(chan string, 64)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				queries <- r.URL.RawQuery
				if r.URL.RawQuery == "" {
					w.Write([]byte(`{"rev":7,"all":true,"targets":[]}`))
					return
				}
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			defer s.Close()
			client := NewClient(Config{Address: strings.TrimPrefix(s.URL, "http://"), KnownList: EndpointList{Revision: 7},
				Settings: singleGateway()}, func(EndpointList) {}, discardLog)
			client.timings = callTimings{startSpread: c.spread, answerTimeout: time.Minute, silenceTimeout: time.Minute,
				minBackoff: time.Millisecond, maxBackoff: time.Millisecond}
			stop := runClient(t, client)
			defer stop()
			<-client.Ready()
			lists := 0
			for query := range queries {
				if query != "" {
					if query != "follow=1&since=7" {
						t.Errorf("got watch query %q, want follow=1&since=7", query)
					}
					break
				}
				lists++
			}
			if lists != c.lists {
				t.Errorf("got %d polls before the watch, want %d", lists, c.lists)
			}
		})
	}
}

// The first calls of many gateways are spread over a time that grows with the number of gateways, up to pollInterval. The
// calls are not spread in a small fleet, if an agent pushes the lists, or without a known list.
func TestStartSpreadGrowsWithTheGatewayCount(t *testing.T) {
	for _, c := range []struct {
		gateways     int
		isPolling    bool
		knownEntries int
		want         time.Duration
	}{{4, true, 1, 0}, {80, false, 1, 0}, {80, true, 0, 0}, {9, true, 1, 9 * spreadPerGateway}, {20, true, 1, 20 * spreadPerGateway},
		{80, true, 1, pollInterval}, {300, true, 1, pollInterval}} {
		client := NewClient(Config{Address: "127.0.0.1:1", KnownList: EndpointList{Entries: make([]Entry, c.knownEntries)},
			Settings: policy.Settings{GatewayCount: c.gateways, PollEndpoints: c.isPolling}}, func(EndpointList) {}, discardLog)
		if client.timings.startSpread != c.want {
			t.Errorf("%+v: got spread %v, want %v", c, client.timings.startSpread, c.want)
		}
	}
}
