package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"lemontack/internal/resp"
	"lemontack/policy"
)

const (
	dialTimeout    = time.Second
	replyTimeout   = 4 * time.Second // longer than any deadline of a request
	rejectedPrefix = "BUSY"          // start of the error reply to a rejected request
)

// loadGenerator sends randomly drawn requests to one address at their scheduled times, whether or not earlier ones have
// been answered (open loop). It reuses its connections.
type loadGenerator struct {
	addr  string
	index int // index of the generator; part of the ids of its requests

	// Numbers of requests. Only run writes sent, and no other goroutine may read it before run has returned.
	sent       uint64
	served     atomic.Uint64
	rejected   atomic.Uint64
	failed     atomic.Uint64
	mismatched atomic.Uint64 // replies with the value of another request

	mu           sync.Mutex // guards the fields below
	idleConns    []*generatorConn
	openConns    map[*generatorConn]struct{}
	addedLatency *hdrhistogram.Histogram // latency of the served requests beyond the service time
	lastError    string
}

// generatorConn is a connection, which one request at a time uses.
type generatorConn struct {
	net.Conn
	in resp.FrameBuffer
}

func newLoadGenerator(addr string, index int) *loadGenerator {
	return &loadGenerator{
		addr:         addr,
		index:        index,
		openConns:    map[*generatorConn]struct{}{},
		addedLatency: newHistogram(),
	}
}

// run sends requests at a rate, in requests per second, until ctx ends or the duration is over. It returns once all
// requests have ended.
func (g *loadGenerator) run(ctx context.Context, rng *rand.Rand, tenants []tenant, rate float64,
	duration, serviceTime time.Duration) {
	var inFlight sync.WaitGroup // one goroutine for each request; the timeouts of the request end it
	defer inFlight.Wait()
	start := time.Now()
	for offset := time.Duration(0); ; {
		offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		due := start.Add(offset)
		if offset > duration || sleep(ctx, time.Until(due)) != nil {
			return
		}
		g.sent++
		command, id := g.nextCommand(drawRequest(rng, tenants, 0))
		inFlight.Go(func() {
			answer, err := g.call(ctx, command)
			g.recordReply(answer, err, id, time.Since(due)-serviceTime)
		})
	}
}

// nextCommand returns a request in the client protocol, and its id.
func (g *loadGenerator) nextCommand(request policy.Request) (command []byte, id string) {
	id = fmt.Sprintf("%08x%08x", g.index, g.sent)
	attributes := fmt.Sprintf("c=%s,t=%s,d=%d,units=%v,spread=%d,first=%d", request.Class, request.Plan,
		request.Deadline.Milliseconds(), request.Units, request.GatewaySpan, request.FirstGateway)
	arguments := []string{"Q.ASK", request.Customer, id, attributes}
	if request.Class == orderClass {
		arguments = []string{"Q.DO", request.Customer, id, attributes, "body"}
	}
	command = redcon.AppendArray(nil, len(arguments))
	for _, argument := range arguments {
		command = redcon.AppendBulkString(command, argument)
	}
	return command, id
}

// recordReply counts the outcome of the request with an id. Backends answer a request with its id.
func (g *loadGenerator) recordReply(answer reply, err error, id string, addedLatency time.Duration) {
	switch {
	case err != nil:
		g.recordFailure(err.Error())
	case answer == reply{replyValue, id}:
		g.served.Add(1)
		g.mu.Lock()
		defer g.mu.Unlock()
		recordTime(g.addedLatency, addedLatency)
	case answer.kind == replyError && strings.HasPrefix(answer.text, rejectedPrefix):
		g.rejected.Add(1)
	case answer.kind == replyError:
		g.recordFailure(answer.text)
	case answer.kind == replyNull:
		g.recordFailure("null")
	default:
		g.mismatched.Add(1)
	}
}

func (g *loadGenerator) recordFailure(text string) {
	g.failed.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastError = text
}

// call sends one command and returns the reply.
func (g *loadGenerator) call(ctx context.Context, command []byte) (reply, error) {
	if conn := g.takeIdleConn(); conn != nil {
		answer, err := g.exchange(conn, command)
		var netErr net.Error
		if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
			return answer, err
		}
		// The peer may have closed the connection while it was idle: the request is sent again on a new one.
	}
	conn, err := g.dial(ctx)
	if err != nil {
		return reply{}, err
	}
	return g.exchange(conn, command)
}

// exchange writes a command and reads its reply. The connection then becomes idle, or is closed after an error.
func (g *loadGenerator) exchange(conn *generatorConn, command []byte) (reply, error) {
	answer, err := conn.exchange(command)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		conn.Close()
		delete(g.openConns, conn)
		return reply{}, err
	}
	g.idleConns = append(g.idleConns, conn)
	return answer, nil
}

func (conn *generatorConn) exchange(command []byte) (reply, error) {
	if err := conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return reply{}, err
	}
	if _, err := conn.Write(command); err != nil {
		return reply{}, err
	}
	return readReply(&conn.in, conn.Read)
}

// takeIdleConn returns the idle connection that was used last, or nil if all are in use.
func (g *loadGenerator) takeIdleConn() *generatorConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := len(g.idleConns) - 1
	if last < 0 {
		return nil
	}
	conn := g.idleConns[last]
	g.idleConns = g.idleConns[:last]
	return conn
}

func (g *loadGenerator) dial(ctx context.Context) (*generatorConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", g.addr)
	if err != nil {
		return nil, err
	}
	newConn := &generatorConn{Conn: conn}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openConns[newConn] = struct{}{}
	return newConn, nil
}

// close closes all connections. It must be called after run has returned.
func (g *loadGenerator) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.openConns {
		conn.Close()
	}
}
