package ingress

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/nettest"
	"lemontack/policy"
)

// requestSource is a listener.Handler that passes the requests of a client connection to the test instead of the gateway.
type requestSource struct {
	clientEvents
	received chan *listener.Request
}

// RequestReceived implements listener.Handler.
func (s requestSource) RequestReceived(r *listener.Request) { s.received <- r }

// ClientDisconnected implements listener.Handler.
func (requestSource) ClientDisconnected([]*listener.Request) {}

// sendRequest sends a request on a new connection. It returns the request as parsed by the listener, and the client's reader.
// disconnect closes the client's end and returns once the connection has ended.
func sendRequest(t *testing.T, g *Gateway, id int) (r *listener.Request, in *bufio.Reader, disconnect func()) {
	t.Helper()
	serverEnd, clientEnd := net.Pipe()
	source := requestSource{clientEvents{g}, make(chan *listener.Request, 1)}
	cfg := g.listenerConfig()
	cfg.Handler = source
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		listener.New(nil, cfg).ServeConn(serverEnd)
	}()
	disconnect = func() {
		clientEnd.Close()
		<-ended
	}
	t.Cleanup(disconnect)
	clientEnd.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(clientEnd, nettest.Ask(id, nettest.ReadFields)); err != nil {
		t.Fatal(err)
	}
	return <-source.received, bufio.NewReader(clientEnd), disconnect
}

// newClientRequest returns a request whose Size is set to size, and the reader of its client.
func newClientRequest(t *testing.T, g *Gateway, id, size int) (r *listener.Request, in *bufio.Reader) {
	t.Helper()
	r, in, _ = sendRequest(t, g, id)
	r.Size, r.Deadline = size, g.now+time.Minute
	return r, in
}

// requestOfDisconnectedClient returns a request whose client has disconnected.
func requestOfDisconnectedClient(t *testing.T, g *Gateway) *listener.Request {
	t.Helper()
	r, _, disconnect := sendRequest(t, g, 1)
	disconnect()
	return r
}

// admit passes a request to the gateway and returns its entry in the request table, or nil if it was rejected at once.
func admit(g *Gateway, r *listener.Request) *request {
	g.handle(requestReceived{r})
	return g.requests.open[r.ID]
}

// newWaitingAttempt returns an attempt that has not started. Its request is not in the request table.
func newWaitingAttempt(g *Gateway, id policy.EndpointID) *attempt {
	r := &request{Request: &listener.Request{Args: [][]byte{nil, nil, nil, nil}}}
	return g.newAttempt(r, g.pool.Endpoint(id), g.now+time.Hour)
}
