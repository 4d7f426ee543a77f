package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
)

// serveOnPipes runs a stand-in on a PipeListener and closes it at the end of the test.
func serveOnPipes(t *testing.T, serve func(net.Listener) error, closeStandIn func() error) *PipeListener {
	t.Helper()
	ln := NewPipeListener()
	served := make(chan error, 1)
	go func() { served <- serve(ln) }()
	t.Cleanup(func() {
		if err := errors.Join(closeStandIn(), <-served); err != nil {
			t.Error(err)
		}
	})
	return ln
}

func startBackend(t *testing.T, config BackendConfig) (*Backend, *PipeListener) {
	t.Helper()
	b := NewBackend(config)
	return b, serveOnPipes(t, b.Serve, func() error {
		b.Close()
		return nil
	})
}

func startCounter(t *testing.T, config CounterConfig) (*Counter, *PipeListener) {
	t.Helper()
	c := NewCounter(config)
	return c, serveOnPipes(t, c.Serve, func() error {
		c.Close()
		return nil
	})
}

// testClient is a client connection that reads the received lines into a channel.
type testClient struct {
	net.Conn
	lines chan string // received lines; closed when the connection closes
}

func dialClient(t *testing.T, ln *PipeListener) *testClient {
	t.Helper()
	conn, err := ln.Dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := &testClient{conn, make(chan string, 1<<10)}
	go func() {
		defer close(client.lines)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			client.lines <- scanner.Text()
		}
	}()
	return client
}

// sendLines sends lines with a single write.
func (client *testClient) sendLines(t *testing.T, lines ...string) {
	t.Helper()
	if _, err := io.WriteString(client, strings.Join(lines, "\r\n")+"\r\n"); err != nil {
		t.Fatal(err)
	}
}

// receivedLines returns all lines received so far.
func receivedLines(lines <-chan string) (received []string) {
	synctest.Wait()
	for len(lines) > 0 {
		received = append(received, <-lines)
	}
	return received
}
