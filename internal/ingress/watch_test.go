package ingress

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// After a failed watch the cached list remains in use until the next watch event that can be decoded. An endless object must not
// fill the memory.
func TestEndpointsAreUpdatedAfterAFailedWatch(t *testing.T) {
	text := func(s string) func(http.ResponseWriter, <-chan struct{}) {
		return func(w http.ResponseWriter, _ <-chan struct{}) { io.WriteString(w, s) }
	}
	for name, fail := range map[string]func(w http.ResponseWriter, ended <-chan struct{}){
		"invalid JSON": text("{\"rev\":what}\n"),
		"no targets":   text("{\"rev\":9,\"all\":true}\n"),
		"truncated":    text(`{"rev":2,"all":true,"targets":[`),
		"too long":     text("{" + strings.Repeat(" ", 2<<20)), // twice the maximum of bytes between entries
		"old revision": text(`{"rev":0,"all":true,"targets":[]}`),
		"no response":  func(_ http.ResponseWriter, ended <-chan struct{}) { <-ended },
		"error status": func(w http.ResponseWriter, _ <-chan struct{}) { w.WriteHeader(http.StatusBadGateway) },
		"redirect": func(w http.ResponseWriter, _ <-chan struct{}) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusFound)
		},
	} {
		t.Run(name, func(t *testing.T) {
			awaitUpdateByWatch(t, func(n int32, w http.ResponseWriter, event string, ended <-chan struct{}) {
				if n == 1 {
					fail(w, ended)
					return
				}
				io.WriteString(w, event+"\n")
				w.(http.Flusher).Flush()
				<-ended
			})
		})
	}
}

// A watch event that spans several lines and writes, with empty lines around it, is decoded without a new watch.
func TestIndentedWatchEventIsReadOnTheSameWatch(t *testing.T) {
	n := awaitUpdateByWatch(t, func(_ int32, w http.ResponseWriter, event string, ended <-chan struct{}) {
		for _, part := range strings.SplitAfter("\n"+strings.ReplaceAll(event, ",", ",\n  ")+"\n\n", "e") {
			io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
		<-ended
	})
	if n != 1 {
		t.Fatalf("%d watches, want 1", n)
	}
}

// A watch without traffic is reopened, and the new watch delivers the missed event.
func TestSilentWatchIsReopened(t *testing.T) {
	n := awaitUpdateByWatch(t, func(n int32, w http.ResponseWriter, event string, ended <-chan struct{}) {
		io.WriteString(w, "\n")
		if n > 1 {
			io.WriteString(w, event)
		}
		w.(http.Flusher).Flush()
		<-ended
	})
	if n < 2 {
		t.Fatalf("%d watches, want at least 2", n)
	}
}

// awaitUpdateByWatch runs an ingress whose watch requests are handled by watch, the n-th with n, and waits until the
// ingress sends requests to the endpoint that event adds. It returns the number of watches opened so far.
func awaitUpdateByWatch(t *testing.T, watch func(n int32, w http.ResponseWriter, event string, ended <-chan struct{})) int32 {
	t.Helper()
	a, b := startServingEndpoint(t, "a"), startServingEndpoint(t, "b")
	list := endpointsAt(a.addr)
	var watches atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/registry/instances":
			t.Errorf("request for %s, want /registry/instances", r.URL)
		case r.URL.Query().Get("follow") == "":
			fmt.Fprintf(w, `{"rev":1,"all":true,"targets":[{"uid":"s0","endpoint":%q,"state":"SERVING"}]}`, a.addr)
		default:
			watch(watches.Add(1), w, replacementEvent(a.addr, b.addr), r.Context().Done())
		}
	}))
	t.Cleanup(server.Close)
	cfg := testConfig(strings.TrimPrefix(server.URL, "http://"), list)
	cfg.Settings.MaxAttempts = 3 // an attempt may be in flight to the endpoint that begins to drain
	addr, _ := startIngress(t, cfg)
	awaitServedBy(t, addr, "b")
	return watches.Load()
}

// replacementEvent returns a watch event that drains endpoint s0 at from and adds s1 at to.
func replacementEvent(from, to string) string {
	return fmt.Sprintf(`{"rev":2,"all":false,"targets":[{"uid":"s0","endpoint":%q,"state":"DRAINING"},
		{"uid":"s1","endpoint":%q,"state":"SERVING"}]}`, from, to)
}
