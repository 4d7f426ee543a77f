package listener

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"lemontack/internal/nettest"
)

// lateListener is a net.Listener whose Accept call returns one connection just when the listener is closed.
type lateListener struct {
	net.Listener // nil, because no other method is called
	late         chan net.Conn
	closed       chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	select {
	case socket := <-l.late:
		return socket, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// A connection that is accepted just when the listener is closed is served, and Drain waits for its end.
func TestDrainWaitsForAConnectionAcceptedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := &lateListener{late: make(chan net.Conn, 1), closed: make(chan struct{})}
		s, rec := newServer(ln, 1, 1<<20)
		stop := make(chan struct{})
		var goroutines sync.WaitGroup
		goroutines.Go(s.Serve)
		goroutines.Go(func() { answerRequests(rec, stop) })
		synctest.Wait()
		server, client := newMemoryConn()
		io.WriteString(client, nettest.Ask(1, nettest.ReadFields))
		ln.late <- server
		goroutines.Go(func() {
			if output, err := io.ReadAll(client); string(output) != string(valueReply) || err != nil {
				t.Errorf("got %q, error %v; want the value and the end", output, err)
			}
			client.Close()
		})
		s.Drain(t.Context())
		if got := s.cfg.Counters.Closes.Total(); got != 1 {
			t.Errorf("got %d ended connections when Drain has returned, want 1", got)
		}
		close(stop)
		goroutines.Wait()
	})
}
