package scale

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
	"lemontack/internal/standin"
)

func TestReadReplyConsumesAWholeReply(t *testing.T) {
	for _, c := range []struct {
		text string
		want reply
	}{
		{"$2\r\nab\r\n", reply{replyValue, "ab"}},
		{"*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n", reply{replyValue, "ab"}},
		{"-BUSY 20\r\n", reply{replyError, "BUSY 20"}},
		{"+PONG\r\n", reply{replySimple, "PONG"}},
		{"$-1\r\n", reply{replyNull, ""}},
	} {
		var in resp.FrameBuffer
		got, err := readReply(&in, strings.NewReader(c.text).Read)
		if left := len(in.Buffered()); err != nil || got != c.want || left > 0 {
			t.Errorf("%q: got %+v, error %v, %d bytes left; want %+v, no error, none left", c.text, got, err, left, c.want)
		}
	}
}

func TestReadReplyFailsForMalformedReplies(t *testing.T) {
	for _, text := range []string{"$2\r\na", "\r\n", "*0\r\n", "$99999\r\n", "hello\r\n"} {
		var in resp.FrameBuffer
		if got, err := readReply(&in, strings.NewReader(text).Read); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}

func TestLoadGeneratorCountsServedAndMismatchedReplies(t *testing.T) {
	for name, value := range map[string]func([]string) string{
		"own values":   nil,
		"other values": func([]string) string { return "another's" },
	} {
		t.Run(name, func(t *testing.T) {
			listener := nettest.Listen(t)
			backend := standin.NewBackend(standin.BackendConfig{LoadReports: true, ReplyValue: value})
			var serving sync.WaitGroup
			serving.Go(func() { backend.Serve(listener) })
			t.Cleanup(func() { backend.Close(); serving.Wait() })
			g := newLoadGenerator(listener.Addr().String(), 1)
			t.Cleanup(g.close)
			tenants := fleetShape{Ingresses: 1, TenantsPerIngress: 5, RequestRate: 100}.tenantsOf(0)
			g.run(t.Context(), rand.New(rand.NewPCG(1, 1)), tenants, 1000, 50*time.Millisecond, 0)
			served, mismatched := g.served.Load(), g.mismatched.Load()
			if g.sent == 0 || served+mismatched != g.sent {
				t.Errorf("got %d requests, %d served, %d mismatched; want requests, each counted once",
					g.sent, served, mismatched)
			}
			if value == nil && mismatched > 0 || value != nil && served > 0 {
				t.Errorf("got %d served, %d mismatched; want own values served and others mismatched", served, mismatched)
			}
			if n := backend.Stats().Malformed; n > 0 {
				t.Errorf("got %d malformed commands, want none", n)
			}
		})
	}
}
