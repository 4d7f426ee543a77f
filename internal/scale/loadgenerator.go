package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"lemontack/policy"
)

const (
	dialTimeout  = time.Second
	replyTimeout = 4 * time.Second // beyond the longest deadline: the connection is given up
)

// loadGenerator send drawn requests to one address, each at its time whether or not the others have answers, on connections
// that they keep.
type loadGenerator struct {
	addr         string
	index        int // part of the requests' ids
	served       atomic.Uint64
	rejected     atomic.Uint64
	failed       atomic.Uint64
	mismatched   atomic.Uint64 // served with a value made for another request
	mu           sync.Mutex
	idle         []*generatorConn
	open         map[*generatorConn]bool
	addedLatency *hdrhistogram.Histogram // time of the served ones, less the backend's work
	lastError    string                  // the last one
	sent         uint64
}

type generatorConn struct {
	net.Conn
	in *bufio.Reader
}

func newLoadGenerator(addr string, number int) *loadGenerator {
	return &loadGenerator{addr: addr, index: number, open: map[*generatorConn]bool{}, addedLatency: newHistogram()}
}

// run sends requests at the rate until ctx ends or the time is over, and returns when all have ended.
func (c *loadGenerator) run(ctx context.Context, rng *rand.Rand, tenants []tenant, rate float64, d, work time.Duration) {
	var out sync.WaitGroup
	defer out.Wait()
	began := time.Now()
	for due := time.Duration(0); ; {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if due > d || sleep(ctx, time.Until(began.Add(due))) != nil {
			return
		}
		c.sent++
		command, id := c.nextCommand(drawRequest(rng, tenants, 0))
		at := began.Add(due)
		out.Go(func() { c.recordReply(c.call(ctx, command), id, at, work) })
	}
}

// nextCommand is a request as a client writes it, with its id.
func (c *loadGenerator) nextCommand(q policy.Request) ([]byte, string) {
	verb, id := "Q.ASK", fmt.Sprintf("%08x%08x", c.index, c.sent)
	words := []string{q.Customer, id, fmt.Sprintf("c=%s,t=%s,d=%d,units=%v,spread=%d,first=%d", q.Class, q.Plan,
		q.Deadline.Milliseconds(), q.Units, q.GatewaySpan, q.FirstGateway)}
	if q.Class == "order" {
		verb, words = "Q.DO", append(words, "body")
	}
	b := redcon.AppendBulkString(redcon.AppendArray(nil, 1+len(words)), verb)
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b, id
}

func (c *loadGenerator) recordReply(answer string, id string, at time.Time, work time.Duration) {
	switch {
	case answer == id:
		c.served.Add(1)
		c.mu.Lock()
		c.addedLatency.RecordValue(int64(min(max(time.Since(at)-work, 1), maxRecordedTime))) // always within its bounds
		c.mu.Unlock()
	case strings.HasPrefix(answer, "-BUSY"):
		c.rejected.Add(1)
	case strings.HasPrefix(answer, "-"):
		c.failed.Add(1)
		c.mu.Lock()
		c.lastError = answer[1:]
		c.mu.Unlock()
	default:
		c.mismatched.Add(1)
	}
}

// call sends one command and returns the value, or an error line.
func (c *loadGenerator) call(ctx context.Context, command []byte) string {
	if nc := c.takeIdle(); nc != nil {
		answer, err := c.exchange(nc, command)
		if err == nil {
			return answer
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			return "-" + err.Error()
		} // else the peer closed it while it was idle: the request goes out one more time, on a new one
	}
	nc, err := c.dial(ctx)
	if err != nil {
		return "-" + err.Error()
	}
	answer, err := c.exchange(nc, command)
	if err != nil {
		return "-" + err.Error()
	}
	return answer
}

// exchange writes a command and reads its answer; a connection on which that went well is kept.
func (c *loadGenerator) exchange(nc *generatorConn, command []byte) (string, error) {
	nc.SetDeadline(time.Now().Add(replyTimeout))
	_, err := nc.Write(command)
	answer := ""
	if err == nil {
		answer, err = readReply(nc.in)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		nc.Close()
		delete(c.open, nc)
		return "", err
	}
	c.idle = append(c.idle, nc)
	return answer, nil
}

// takeIdle is a connection that was used before, if one is free.
func (c *loadGenerator) takeIdle() *generatorConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	nc := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return nc
}

func (c *loadGenerator) dial(ctx context.Context) (*generatorConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	nc := &generatorConn{raw, bufio.NewReader(raw)}
	c.mu.Lock()
	c.open[nc] = true
	c.mu.Unlock()
	return nc, nil
}

func (c *loadGenerator) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		nc.Close()
	}
}

const maxValueLength = 64 << 10 // the protocol's bound of a value

// readReply reads a value, an array's first one, or a line that begins with + or -.
func readReply(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", fmt.Errorf("an empty answer")
	}
	n, err := strconv.Atoi(line[1:])
	switch {
	case line[0] == '+' || line[0] == '-':
		return line, nil
	case err != nil:
		return "", fmt.Errorf("answer %q: %w", line, err)
	case line[0] == '$' && n < 0:
		return "-null", nil
	case line[0] == '$' && n <= maxValueLength:
		b := make([]byte, n+2)
		_, err := io.ReadFull(in, b)
		return string(b[:n]), err
	case line[0] == '*' && n > 0 && n < 8:
		first, err := readReply(in)
		for i := 1; i < n && err == nil; i++ {
			_, err = readReply(in)
		}
		return first, err
	}
	return "", fmt.Errorf("answer %q", line)
}
