package listener

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/stall"
	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// recorder is a handler that keeps what it is told until the test asks.
type recorder struct {
	received      chan *Request
	disconnected  chan []*Request
	answeredTwice atomic.Int32
	unanswered    atomic.Int32
}

func (r *recorder) RequestReceived(request *Request) { r.received <- request }

func (r *recorder) ClientDisconnected(unanswered []*Request) { r.disconnected <- unanswered }

func (r *recorder) RequestRead() {}

func (r *recorder) RequestRejected(*Request, string) {}

func (r *recorder) RequestUnanswered(*Request, string) { r.unanswered.Add(1) }

func (r *recorder) RequestAnsweredTwice() { r.answeredTwice.Add(1) }

// newServer returns a server for so many connections, with so many bytes for commands and for answers.
func newServer(ln net.Listener, connections, memory int) (*Server, *recorder) {
	rec := &recorder{received: make(chan *Request, 256), disconnected: make(chan []*Request, 256)}
	start := time.Now()
	epoch := time.Duration(start.UnixNano())
	return New(ln, Config{
		Classes: map[string]policy.Class{
			"read":  {Name: "read", Deadline: time.Minute, Idempotency: policy.Idempotent},
			"write": {Name: "write", Deadline: time.Minute, Idempotency: policy.NonIdempotent},
			"keyed": {Name: "keyed", Deadline: time.Minute, Idempotency: policy.IdempotencyKey},
		},
		Plans:          map[string]bool{"p": true},
		GatewayCount:   1,
		MaxUnits:       4,
		MaxConnections: connections,
		Memory:         memory,
		RejectedReply:  []byte("-BUSY\r\n"),
		Clock:          func(t time.Time) time.Duration { return epoch + t.Sub(start) },
		Stalls:         stall.NewDetector(start),
		Log:            slog.New(slog.DiscardHandler),
		LogLimit:       telemetry.NewLimiter(20, time.Second),
		Counters:       NewCounters(),
		Handler:        rec,
		Observer:       rec,
	}), rec
}

// serve runs a connection to its end, which closes the channel.
func serve(c *conn) <-chan struct{} {
	done := make(chan struct{})
	c.server.connSlots <- struct{}{}
	c.server.track(c)
	go func() {
		defer close(done)
		c.serve()
	}()
	return done
}

func loopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// accepted is a connection over the loopback address: the server's end and the client's.
func accepted(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln := loopback(t)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server.(*net.TCPConn), client.(*net.TCPConn)
}

// dial opens a client's connection; every read of it ends the test after a minute.
func dial(t *testing.T, ln net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	socket, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	socket.SetReadDeadline(time.Now().Add(time.Minute))
	return socket, bufio.NewReader(socket)
}

// await fails the test where a channel stays silent; how long it takes is not asserted.
func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("never: ", what)
	}
}

const (
	readFields  = "c=read,t=p,d=50000,units=1,spread=1,first=0"
	writeFields = "c=write,t=p,d=50000,units=1,spread=1,first=0"
)

func command(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return string(b)
}

func ask(id int, fields string) string {
	return command(commandAsk, "00000000b4d65521", fmt.Sprintf("%016x", id), fields)
}

func line(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	s, err := in.ReadString('\n')
	if err != nil {
		t.Fatalf("read %q: %v", s, err)
	}
	return strings.TrimRight(s, "\r\n")
}

// wantValue reads the answer that the tests give as value.
func wantValue(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if a, b := line(t, in), line(t, in); a != "$5" || b != "value" {
		t.Fatalf("answer %q %q, want the value", a, b)
	}
}

var value = []byte("$5\r\nvalue\r\n")

// wantOneUnanswered takes the word that a client has gone that waits for one answer.
func wantOneUnanswered(t *testing.T, rec *recorder) {
	t.Helper()
	select {
	case request := <-rec.received:
		t.Errorf("received request %v, want one request disconnected", request)
	case unanswered := <-rec.disconnected:
		if len(unanswered) != 1 {
			t.Errorf("%d requests disconnected, want one", len(unanswered))
		}
	case <-time.After(20 * time.Second):
		t.Error("not told that the client has gone")
	}
}
