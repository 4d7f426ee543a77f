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

// recorder is a handler that queues the events for the test.
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

// newServer returns a server with these limits of connections and of bytes of commands and answers.
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
		LogLimiter:     telemetry.NewLogLimiter(20, time.Second),
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

var value = []byte("$5\r\nvalue\r\n")

// wantOneUnanswered receives the disconnect of a client that waits for one answer.
func wantOneUnanswered(t *testing.T, rec *recorder) {
	t.Helper()
	select {
	case request := <-rec.received:
		t.Errorf("received request %v, want one request disconnected", request)
	case unanswered := <-rec.disconnected:
		if len(unanswered) != 1 {
			t.Errorf("%d requests disconnected, want one", len(unanswered))
		}
	case <-time.After(nettest.SignalTimeout):
		t.Error("the disconnect was not reported")
	}
}
