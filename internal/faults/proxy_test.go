package faults

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"lemontack/internal/nettest"
)

// startEchoServer starts a server that echoes all data and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	return nettest.Serve(t, func(conn net.Conn) { io.Copy(conn, conn) })
}

func startProxy(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	p, err := NewProxy(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	nc, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return p, nc
}

func wantEcho(t *testing.T, nc net.Conn) {
	t.Helper()
	io.WriteString(nc, "hello\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "hello\n" {
		t.Fatalf("got echo %q, %v, want %q", line, err, "hello\n")
	}
}

func wantReset(t *testing.T, nc net.Conn) {
	t.Helper()
	if n, err := nc.Read(make([]byte, 1)); err == nil {
		t.Fatalf("got %d bytes, want a reset connection", n)
	}
}

func TestProxyForwardsDataAndEndOfStreamAlsoWhenThrottled(t *testing.T) {
	p, nc := startProxy(t)
	wantEcho(t, nc)
	p.SetThrottle(time.Millisecond, 1)
	wantEcho(t, nc)
	nc.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(nc); len(rest) > 0 || err != nil {
		t.Fatalf("after CloseWrite: got %q, %v, want the end of the stream", rest, err)
	}
}

// When forwarding resumes, connections that were silent are reset and new connections work.
func TestSilencedConnectionIsResetWhenForwardingResumes(t *testing.T) {
	p, nc := startProxy(t)
	wantEcho(t, nc)
	p.SetMode(Silent)
	io.WriteString(nc, "lost\n")
	p.SetMode(Forwarding)
	wantReset(t, nc)
	reconnected, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer reconnected.Close()
	wantEcho(t, reconnected)
}

func TestProxyResetsConnectionsAndRefusesNewOnes(t *testing.T) {
	p, nc := startProxy(t)
	wantEcho(t, nc)
	if n := p.ResetConnections(); n != 1 {
		t.Fatalf("got %d connections reset, want 1", n)
	}
	wantReset(t, nc)
	p.SetMode(Refusing)
	refused, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return
	}
	defer refused.Close()
	wantReset(t, refused)
}
