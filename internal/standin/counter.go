package standin

import (
	"bufio"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	defaultIdleTimeout = 10 * time.Second // the protocol's
	maxLifetimeMillis  = 60_000           // of a name, in milliseconds
	maxNameBytes       = 64               // bytes
	maxCallBytes       = 256              // bytes of a line; a longer one ends its connection
	maxIncrement       = 1e9
	minSweepSize       = 1024 // so many may have expired unnoticed
)

// CounterConfig says how a Counter serves.
type CounterConfig struct {
	CallsPerSecond          float64       // of all parts together; 0: no bound
	Shards                  int           // each has its share of the rate and a line of its own; a name is of one part; 0: one
	MaxQueued               int           // calls that may wait in the line of one part, further ones are busy; 0: any number
	MaxConnectionsPerClient int           // connections of one client address, further ones are reset; 0: any number
	IdleTimeout             time.Duration // a connection without a call for so long is closed; 0: 10 s
}

// CounterStats is what a Counter saw so far.
type CounterStats struct {
	Calls       int           // tally calls in good form
	Rejected    int           // of them, those turned away
	Names       int           // alive now
	BytesIn     int64         // read, in whole lines
	BytesOut    int64         // written
	Connections int           // connections accepted
	MaxWait     time.Duration // from a call to the end of its turn
	MaxQueued   int           // calls in the line of one part at one moment
}

// Counter plays the shared counter.
type Counter struct {
	cfg         CounterConfig
	shards      []*serviceQueue
	connections connectionSet

	mu                  sync.Mutex
	state               State
	silenced            chan struct{} // closed while Silent
	names               map[string]*counterEntry
	sweepAt             int // names, before the expired ones are looked for
	connectionsByClient map[string]int
	stats               CounterStats
}

// counterEntry is a name's total until it expires.
type counterEntry struct {
	total     float64
	expiresAt time.Time
}

// NewCounter returns a counter without names.
func NewCounter(cfg CounterConfig) *Counter {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	cfg.Shards = max(cfg.Shards, 1)
	c := &Counter{cfg: cfg, silenced: make(chan struct{}), names: map[string]*counterEntry{}, sweepAt: minSweepSize,
		connectionsByClient: map[string]int{}}
	for range cfg.Shards {
		c.shards = append(c.shards, newServiceQueue(cfg.CallsPerSecond/float64(cfg.Shards), cfg.MaxQueued))
	}
	return c
}

// Serve answers calls on a listener until Close.
func (c *Counter) Serve(ln net.Listener) error { return c.connections.serve(ln, c.serveConnection) }

// Close ends all connections, and Serve.
func (c *Counter) Close() {
	c.connections.close()
	c.connections.handlers.Wait()
}

// SetState changes how calls are met. A silence stays with the connections that were open or came during it, and what
// waited in line then is never added.
func (c *Counter) SetState(s State) {
	c.mu.Lock()
	if s != c.state {
		if c.state == Silent {
			c.silenced = make(chan struct{})
		}
		if s == Silent {
			close(c.silenced)
		}
		c.state = s
	}
	c.mu.Unlock()
	if s == Up {
		return
	}
	for _, l := range c.shards {
		l.clear()
	}
	if s == Down {
		c.connections.resetAll()
	}
}

// Total is what a name holds now; 0 where there is no such name.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.names[name]; n != nil && time.Now().Before(n.expiresAt) {
		return n.total
	}
	return 0
}

// Stats returns the figures so far.
func (c *Counter) Stats() CounterStats {
	c.mu.Lock()
	c.sweep(time.Now())
	s := c.stats
	s.Names = len(c.names)
	c.mu.Unlock()
	for _, l := range c.shards {
		saw := l.snapshotStats()
		s.MaxWait, s.MaxQueued = max(s.MaxWait, saw.maxWait), max(s.MaxQueued, saw.maxWaiting)
	}
	return s
}

// serveConnection serves one connection.
func (c *Counter) serveConnection(nc net.Conn) {
	host := nc.RemoteAddr().String()
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	hush, ok := c.admitConnection(host)
	defer c.releaseConnection(host)
	if !ok {
		reset(nc)
		return
	}
	out := newReplyWriter(nc, hush, func(n int) { c.updateStats(func(s *CounterStats) { s.BytesOut += int64(n) }) })
	defer out.stop()
	for in := bufio.NewReaderSize(nc, maxCallBytes); ; {
		if nc.SetReadDeadline(time.Now().Add(c.cfg.IdleTimeout)) != nil {
			return
		}
		text, err := in.ReadSlice('\n')
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && (out.isSilenced() || len(text) == 0 && out.unanswered.Load() > 0):
			continue
		default:
			return
		}
		if !out.isSilenced() {
			out.enqueue(c.handleCall(string(text)))
		}
	}
}

// admitConnection counts a connection in, and says whether it may stay and what silences it.
func (c *Counter) admitConnection(host string) (hush <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Connections++
	c.connectionsByClient[host]++
	return c.silenced, c.state != Down && (c.cfg.MaxConnectionsPerClient == 0 || c.connectionsByClient[host] <= c.cfg.MaxConnectionsPerClient)
}

func (c *Counter) releaseConnection(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connectionsByClient[host]--; c.connectionsByClient[host] == 0 {
		delete(c.connectionsByClient, host)
	}
}

func (c *Counter) updateStats(add func(*CounterStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.stats)
}

// handleCall takes a line in and returns the place of its answer.
func (c *Counter) handleCall(text string) pendingReply {
	c.updateStats(func(s *CounterStats) { s.BytesIn += int64(len(text)) })
	text, whole := strings.CutSuffix(text, "\r\n")
	if whole && text == "ping" {
		return completedReply("pong\r\n")
	}
	name, add, life, ok := parseTally(text)
	if !whole || !ok {
		return completedReply("error\r\n")
	}
	r := make(pendingReply, 1)
	t := &queuedCall{serve: func() { r <- []byte("ok " + formatTotal(c.add(name, add, life)) + "\r\n") }}
	h := fnv.New32a()
	h.Write([]byte(name))
	c.updateStats(func(s *CounterStats) { s.Calls++ })
	if !c.shards[h.Sum32()%uint32(len(c.shards))].enqueue(t) {
		c.updateStats(func(s *CounterStats) { s.Rejected++ })
		return completedReply("busy\r\n")
	}
	return r
}

// parseTally reads a call; it is strict, since what is no such call adds nothing.
func parseTally(text string) (name string, add float64, life time.Duration, ok bool) {
	f := strings.Split(text, " ")
	if len(f) != 4 || f[0] != "tally" || f[1] == "" || len(f[1]) > maxNameBytes {
		return "", 0, 0, false
	}
	if strings.Trim(f[2], "+-.0123456789") != "" { // no exponent, no infinity, not hexadecimal
		return "", 0, 0, false
	}
	add, err := strconv.ParseFloat(f[2], 64)
	ms, badLife := strconv.ParseInt(f[3], 10, 64)
	if err != nil || badLife != nil || math.Abs(add) > maxIncrement || ms < 1 {
		return "", 0, 0, false
	}
	return f[1], add, time.Duration(min(ms, maxLifetimeMillis)) * time.Millisecond, true
}

// add adds to a name, which lives from its first call on, and returns the total.
func (c *Counter) add(name string, add float64, life time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.names[name]
	if n == nil || !now.Before(n.expiresAt) {
		if len(c.names) >= c.sweepAt {
			c.sweep(now)
		}
		n = &counterEntry{expiresAt: now.Add(life)}
		c.names[name] = n
	}
	n.total += add
	return n.total
}

// sweep forgets the names that have expired. The lock is held.
func (c *Counter) sweep(now time.Time) {
	for name, n := range c.names {
		if !now.Before(n.expiresAt) {
			delete(c.names, name)
		}
	}
	c.sweepAt = max(minSweepSize, 2*len(c.names))
}

// formatTotal writes a total to the seven digits that callers may count on.
func formatTotal(total float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(total, 'e', 6, 64), 64)
	if err != nil {
		rounded = total
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
