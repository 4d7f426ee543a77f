package listener

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/stall"
	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// recorder is a Handler and an Observer that queues or counts its calls for the test.
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

// newServer returns a server that allows the given number of connections, and memory bytes each for commands and answers.
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
		RejectionReply: []byte("-BUSY\r\n"),
		Clock:          func(t time.Time) time.Duration { return epoch + t.Sub(start) },
		Stalls:         stall.NewDetector(start),
		Log:            slog.New(slog.DiscardHandler),
		LogLimiter:     telemetry.NewLogLimiter(20, time.Second),
		Counters:       NewCounters(),
		Handler:        rec,
		Observer:       rec,
	}), rec
}

// serve runs a connection on a new goroutine and returns a channel that is closed when the connection has ended.
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

var valueReply = []byte("$5\r\nvalue\r\n")

// wantOneUnanswered checks that the disconnect of a client with one unanswered request is reported.
func wantOneUnanswered(t *testing.T, rec *recorder) {
	t.Helper()
	select {
	case request := <-rec.received:
		t.Errorf("got request %v, want a disconnect with one unanswered request", request)
	case unanswered := <-rec.disconnected:
		if len(unanswered) != 1 {
			t.Errorf("got %d unanswered requests, want 1", len(unanswered))
		}
	case <-time.After(nettest.SignalTimeout):
		t.Error("got no report of the disconnect within the time limit, want one")
	}
}
