package scale

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// fetchConfig returns the configuration of clients whose discovery is the given handler.
func fetchConfig(t *testing.T, handler http.HandlerFunc) clientConfig {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	settings, err := fleetShape{Ingresses: 1, TenantsPerIngress: 1, RequestRate: 1}.policySettings(0)
	if err != nil {
		t.Fatal(err)
	}
	return clientConfig{discoveryAddr: strings.TrimPrefix(server.URL, "http://"), settings: settings}
}

func TestFetchListReturnsTheLastLogLineWithoutAList(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls atomic.Int32
	config := fetchConfig(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 { // the first failure has been logged by then
			cancel()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if fetch, logged := fetchList(ctx, config); fetch.keptEndpoints != 0 || !strings.Contains(logged, "503") {
		t.Errorf("got %d endpoints and log line %q, want none and status 503", fetch.keptEndpoints, logged)
	}
}

func TestFetchListCountsTheEndpointsOfAList(t *testing.T) {
	config := fetchConfig(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`)
	})
	if fetch, logged := fetchList(t.Context(), config); fetch.keptEndpoints != 1 {
		t.Errorf("got %d endpoints and log line %q, want 1 endpoint", fetch.keptEndpoints, logged)
	}
}
