package listener

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

// shortageClient is a client that writes many commands at once, some of them long, and expects their answers in order.
type shortageClient struct {
	t      *testing.T
	socket *memoryConn
	rng    *rand.Rand
	nextID int
}

// play writes a number of rounds of commands in pieces of random length. It returns how many requests were served and rejected.
func (client *shortageClient) play(rounds int) (served, rejected int) {
	const mostCommands, longestPiece = 20, 5000
	in := bufio.NewReader(client.socket)
	for range rounds {
		var text strings.Builder
		firstID, count := client.nextID, 1+client.rng.IntN(mostCommands)
		for range count {
			text.WriteString(client.nextCommand())
		}
		for rest := text.String(); rest != ""; {
			n := min(1+client.rng.IntN(longestPiece), len(rest))
			if _, err := io.WriteString(client.socket, rest[:n]); err != nil {
				client.t.Errorf("writing: %v", err)
				return served, rejected
			}
			rest = rest[n:]
		}
		for id := firstID; id < firstID+count; id++ {
			switch got := nettest.ReadLine(client.t, in); got {
			case fmt.Sprintf("+%016x", id):
				served++
			case "-BUSY":
				rejected++
			default:
				client.t.Errorf("request %016x: got answer %q, want its own or a rejection", id, got)
				return served, rejected
			}
		}
	}
	return served, rejected
}

// nextCommand returns a request with a body that is short, long or missing.
func (client *shortageClient) nextCommand() string {
	client.nextID++
	id := client.nextID - 1
	switch client.rng.IntN(4) {
	case 0:
		body := strings.Repeat("x", client.rng.IntN(resp.MaxValueLength))
		return nettest.DoWithBody(id, nettest.WriteFields, body)
	case 1:
		return nettest.Do(id, nettest.WriteFields)
	}
	return nettest.Ask(id, nettest.ReadFields)
}

// While clients that have stopped in the middle of a command hold the memory, each request of other clients has one answer in its
// place, whatever the lengths and the pieces, and no connection ends.
func TestEachRequestHasItsAnswerInAShortageOfMemory(t *testing.T) {
	const (
		clients = 8
		stopped = 4
		rounds  = 15
		memory  = 300 << 10 // the clients that have stopped hold most of it
	)
	s, rec := newServer(nil, clients+stopped, memory)
	stop := make(chan struct{})
	var answering, serving, playing sync.WaitGroup
	answering.Go(func() {
		for {
			select {
			case request := <-rec.received:
				request.Respond([]byte("+" + request.ExternalIDString() + "\r\n"))
			case <-rec.disconnected:
			case <-stop:
				return
			}
		}
	})
	connect := func() *memoryConn {
		server, client := newMemoryConn()
		serving.Go(func() { s.ServeConn(server) })
		return client
	}
	var sockets []*memoryConn
	for range stopped {
		client := connect()
		sockets = append(sockets, client)
		whole := nettest.DoWithBody(0xff, nettest.WriteFields, strings.Repeat("x", resp.MaxValueLength))
		io.WriteString(client, whole[:len(whole)*2/3])
	}
	nettest.Eventually(t, "the stopped clients hold the memory for a long command", func() bool {
		isFree := s.commandMemory.Reserve(resp.MaxValueLength)
		if isFree {
			s.commandMemory.Release(resp.MaxValueLength)
		}
		return !isFree
	})
	var served, rejected [clients]int
	for i := range clients {
		client := &shortageClient{t: t, socket: connect(), rng: rand.New(rand.NewPCG(uint64(i), 9)), nextID: 1000 * (i + 1)}
		sockets = append(sockets, client.socket)
		playing.Go(func() { served[i], rejected[i] = client.play(rounds) })
	}
	playing.Wait()
	for i := range clients {
		if served[i] <= rejected[i] {
			t.Errorf("client %d: got %d requests served and %d rejected, want most of them served", i, served[i], rejected[i])
		}
	}
	if faults := s.cfg.Counters.Faults.Value(FaultMemory) + s.cfg.Counters.Faults.Value(FaultFraming); faults > 0 {
		t.Errorf("got %d faults of clients, want none", faults)
	}
	for _, socket := range sockets {
		socket.Close()
	}
	serving.Wait()
	close(stop)
	answering.Wait()
	if !s.commandMemory.Reserve(memory) {
		t.Error("got memory for commands that is not returned at the end, want all of it")
	}
}
