package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// On SIGHUP the ingress switches to the discovery address in the changed configuration file. SIGHUP has no effect with an
// invalid file or during a shutdown.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	hangups := make(chan os.Signal, 1) // prevents SIGHUP from terminating the test process
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	polledServers := make(chan int, 16)
	var discovery [3]string
	for i := range discovery {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polledServers <- i
			io.WriteString(w, `{"rev":1,"all":true,"targets":[]}`)
		}))
		defer s.Close()
		discovery[i] = strings.TrimPrefix(s.URL, "http://")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(configEnv, path)
	const settings = `{"replicasOfMe":1,
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}`
	writeDiscovery := func(addr string) {
		t.Helper()
		writeConfig(t, path, configuration{Listen: "127.0.0.1:0", Discovery: addr, Seed: "1",
			Limits: limits{Cores: 1, Sockets: 256}, Settings: json.RawMessage(settings)})
	}
	sendHangup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	awaitPoll := func(want int) {
		for got := range polledServers {
			if got == want {
				return
			}
		}
	}
	writeDiscovery(discovery[0])
	done := make(chan error, 1)
	go func() { done <- run(slog.New(slog.DiscardHandler)) }() // ends on SIGTERM; awaited below
	awaitPoll(0)
	writeDiscovery(discovery[1])
	sendHangup()
	awaitPoll(1)
	writeDiscovery("nowhere")
	sendHangup()
	writeDiscovery(discovery[2])
	sendHangup()
	awaitPoll(2)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	sendHangup()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The error for an invalid configuration is one line that names the invalid part.
func TestBadConfigurationIsRejectedInOneLine(t *testing.T) {
	const addresses = `"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"`
	for name, c := range map[string]struct{ text, want string }{
		"empty file":  {"", "unexpected end"},
		"no keys":     {"{}", "listen, discovery and settings are required"},
		"bad seed":    {`{` + addresses + `,"seed":"zz","settings":{}}`, "seed"},
		"bad type":    {`{` + addresses + `,"seed":"1","settings":[]}`, "settings"},
		"few sockets": {`{` + addresses + `,"seed":"1","settings":{},"limits":{"sockets":3}}`, "sockets are too few"},
		"bad address": {`{"listen":"127.0.0.1:0","discovery":"nowhere","seed":"1","settings":{},"limits":{"sockets":1024}}`,
			"not an address"},
		"no gateways": {`{` + addresses + `,"seed":"1","settings":{},"limits":{"sockets":1024}}`, "gateway 0 of 0"},
		"no counter": {`{` + addresses + `,"seed":"1","settings":{"familyInfo":{"sharedCounter":true}},"limits":{"sockets":1024}}`,
			"no address of it"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			t.Setenv(configEnv, path)
			err := run(slog.New(slog.DiscardHandler))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got error %v, want one line with %q", c.text, err, c.want)
			}
		})
	}
	t.Setenv(configEnv, "")
	if err := run(slog.New(slog.DiscardHandler)); err == nil {
		t.Errorf("%s is empty: got no error, want one", configEnv)
	}
}
