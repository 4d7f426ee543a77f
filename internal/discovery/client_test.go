package discovery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lemontack/policy"
)

// A polling client with a spread start uses the known list as it is: it only watches, from its revision on.
func TestClientOfManyGatewaysStartsWithAWatchOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		spread time.Duration
		lists  int
	}{{"pushed", 0, 1}, {"polled", time.Millisecond, 0}} {
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
			client := NewClient(Config{Address: strings.TrimPrefix(s.URL, "http://"), KnownList: EndpointList{Revision: 7},
				Settings: singleGateway()}, func(EndpointList) {}, quiet)
			client.policy = pollPolicy{startSpread: c.spread, answerTimeout: time.Minute, silenceTimeout: time.Minute,
				minBackoff: time.Millisecond, maxBackoff: time.Millisecond}
			stop := runClient(t, client)
			defer stop()
			<-client.Ready()
			lists := 0
			for q := range calls {
				if q != "" {
					if q != "follow=1&since=7" {
						t.Errorf("watch with query %q", q)
					}
					break
				}
				lists++
			}
			if lists != c.lists {
				t.Errorf("%d polls before the watch, want %d", lists, c.lists)
			}
		})
	}
}

// The first calls of many gateways are spread over a time that grows with their number, as far as the deadline allows. Few
// gateways, gateways that an agent pushes to, and gateways without a known list call at once.
func TestStartSpreadGrowsWithTheNumberOfGateways(t *testing.T) {
	for _, c := range []struct {
		gateways int
		polls    bool
		known    int
		want     time.Duration
	}{{4, true, 1, 0}, {80, false, 1, 0}, {80, true, 0, 0}, {9, true, 1, 9 * spreadPerGateway}, {20, true, 1, 20 * spreadPerGateway},
		{80, true, 1, pollInterval}, {300, true, 1, pollInterval}} {
		client := NewClient(Config{Address: "127.0.0.1:1", KnownList: EndpointList{Entries: make([]Entry, c.known)},
			Settings: policy.Settings{GatewayCount: c.gateways, PollEndpoints: c.polls}}, func(EndpointList) {}, quiet)
		if client.policy.startSpread != c.want {
			t.Errorf("%+v: spread %v", c, client.policy.startSpread)
		}
	}
}
