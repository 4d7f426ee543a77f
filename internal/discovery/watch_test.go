package discovery

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lemontack/policy"
)

// After a watch has ended, the next one requests the changes since the latest revision, so that no change is missed.
func TestBrokenWatchResumesFromTheLatestRevision(t *testing.T) {
	since := make(chan string, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, `{"rev":5,"all":true,"targets":[]}`)
			return
		}
		since <- r.URL.Query().Get("since")
		if len(since) == 1 {
			io.WriteString(w, "\n{\"rev\":6,\"all\":false,\"targets\":[]}\n") // then the watch ends
		}
	}))
	defer s.Close()
	lists := make(chan EndpointList, 64)
	client := NewClient(Config{Address: strings.TrimPrefix(s.URL, "http://"), KnownList: EndpointList{Revision: 1},
		Settings: singleGateway()}, func(list EndpointList) { lists <- list }, discardLog)
	stop := runClient(t, client)
	defer stop()
	if a, b := <-lists, <-lists; a.Revision != 5 || b.Revision != 6 {
		t.Fatalf("published revisions %d, %d; want 5, 6", a.Revision, b.Revision)
	}
	if a, b := <-since, <-since; a != "5" || b != "6" {
		t.Fatalf("watched since %s, then %s; want 5, 6", a, b)
	}
}

// Invalid entries are ignored, and so are stale lists, which would restore removed endpoints.
func TestClientIgnoresStaleListsAndInvalidEntries(t *testing.T) {
	var published []EndpointList
	client := NewClient(Config{Address: "127.0.0.1:1", KnownList: EndpointList{Revision: 7}, Settings: singleGateway()},
		func(list EndpointList) { published = append(published, list) }, discardLog)
	for _, c := range []struct {
		in         string
		isValid    bool
		entryCount int // published entries; -1 if no list is published
	}{
		{`{"rev":8`, false, -1},
		{`[]`, false, -1},
		{`{"rev":"x","all":true,"targets":[]}`, false, -1},
		{`{}`, false, -1},
		{`{"rev":9,"all":true}`, false, -1},
		{`{"all":true,"targets":[]}`, false, -1},
		{`{"rev":6,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`, true, -1},
		{`{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},
			{"endpoint":"127.0.0.1:1","state":"SERVING"},{"uid":"b","state":"SERVING"},{"uid":"c","state":"DELETED"},
			{"uid":"d","endpoint":"127.0.0.1","state":"SERVING"},{"uid":"e","endpoint":"127.0.0.1:1","boot_ms":-5}]}`, true, 2},
	} {
		published = nil
		if err := client.receive(json.NewDecoder(strings.NewReader(c.in)), func() {}); (err == nil) != c.isValid {
			t.Errorf("%s: got error %v, want valid %v", c.in, err, c.isValid)
		}
		if c.entryCount < 0 && len(published) > 0 || c.entryCount >= 0 &&
			(len(published) != 1 || len(published[0].Entries) != c.entryCount) {
			t.Errorf("%s: published %v, want %d entries", c.in, published, c.entryCount)
		}
	}
	if e := (Entry{UID: "a", Address: "127.0.0.1:1", State: "ODD"}).PolicyEndpoint(); e.State != policy.Draining {
		t.Errorf("unknown state: got %v, want draining", e.State)
	}
}
