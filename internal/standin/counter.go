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
	counterIdle = 10 * time.Second // the protocol's
	longestLife = 60_000           // of a name, in milliseconds
	longestName = 64               // bytes
	longestCall = 256              // bytes of a line; a longer one ends its connection
	mostAdded   = 1e9
	fewNames    = 1024 // so many may have expired unnoticed
)

// CounterConfig says how a Counter serves.
type CounterConfig struct {
	CallsPerSecond float64       // of all parts together; 0: no bound
	Parts          int           // each has its share of the rate and a line of its own; a name is of one part; 0: one
	MostWaiting    int           // calls that may wait in the line of one part, further ones are busy; 0: any number
	MostConns      int           // connections of one client address, further ones are reset; 0: any number
	Idle           time.Duration // a connection without a call for so long is closed; 0: 10 s
}

// CounterStats is what a Counter saw so far.
type CounterStats struct {
	Calls       int           // tally calls in good form
	Busy        int           // of them, those turned away
	Names       int           // alive now
	BytesIn     int64         // read, in whole lines
	BytesOut    int64         // written
	Conns       int           // connections accepted
	LongestWait time.Duration // from a call to the end of its turn
	MostWaiting int           // calls in the line of one part at one moment
}

// Counter plays the shared counter.
type Counter struct {
	cfg   CounterConfig
	parts []*line
	conns conns

	mu      sync.Mutex
	state   State
	hush    chan struct{} // closed while Silent
	names   map[string]*tally
	sweepAt int // names, before the expired ones are looked for
	hosts   map[string]int
	stats   CounterStats
}

// tally is a name's total until it expires.
type tally struct {
	total float64
	until time.Time
}

// NewCounter returns a counter without names.
func NewCounter(cfg CounterConfig) *Counter {
	if cfg.Idle == 0 {
		cfg.Idle = counterIdle
	}
	cfg.Parts = max(cfg.Parts, 1)
	c := &Counter{cfg: cfg, hush: make(chan struct{}), names: map[string]*tally{}, sweepAt: fewNames,
		hosts: map[string]int{}}
	for range cfg.Parts {
		c.parts = append(c.parts, newLine(cfg.CallsPerSecond/float64(cfg.Parts), cfg.MostWaiting))
	}
	return c
}

// Serve answers calls on a listener until Close.
func (c *Counter) Serve(ln net.Listener) error { return c.conns.serve(ln, c.handle) }

// Close ends all connections, and Serve.
func (c *Counter) Close() {
	c.conns.end()
	c.conns.all.Wait()
}

// SetState changes how calls are met. A silence stays with the connections that were open or came during it, and what
// waited in line then is never added.
func (c *Counter) SetState(s State) {
	c.mu.Lock()
	if s != c.state {
		if c.state == Silent {
			c.hush = make(chan struct{})
		}
		if s == Silent {
			close(c.hush)
		}
		c.state = s
	}
	c.mu.Unlock()
	if s == Up {
		return
	}
	for _, l := range c.parts {
		l.drop()
	}
	if s == Down {
		c.conns.cut()
	}
}

// Total is what a name holds now; 0 where there is no such name.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.names[name]; n != nil && time.Now().Before(n.until) {
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
	for _, l := range c.parts {
		saw := l.saw()
		s.LongestWait, s.MostWaiting = max(s.LongestWait, saw.longest), max(s.MostWaiting, saw.most)
	}
	return s
}

// handle serves one connection.
func (c *Counter) handle(nc net.Conn) {
	host := nc.RemoteAddr().String()
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	hush, ok := c.enter(host)
	defer c.leave(host)
	if !ok {
		reset(nc)
		return
	}
	out := newReplies(nc, hush, func(n int) { c.count(func(s *CounterStats) { s.BytesOut += int64(n) }) })
	defer out.stop()
	for in := bufio.NewReaderSize(nc, longestCall); ; {
		if nc.SetReadDeadline(time.Now().Add(c.cfg.Idle)) != nil {
			return
		}
		text, err := in.ReadSlice('\n')
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && (out.silent() || len(text) == 0 && out.out.Load() > 0):
			continue
		default:
			return
		}
		if !out.silent() {
			out.next(c.call(string(text)))
		}
	}
}

// enter counts a connection in, and says whether it may stay and what silences it.
func (c *Counter) enter(host string) (hush <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Conns++
	c.hosts[host]++
	return c.hush, c.state != Down && (c.cfg.MostConns == 0 || c.hosts[host] <= c.cfg.MostConns)
}

func (c *Counter) leave(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[host]--; c.hosts[host] == 0 {
		delete(c.hosts, host)
	}
}

func (c *Counter) count(add func(*CounterStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.stats)
}

// call takes a line in and returns the place of its answer.
func (c *Counter) call(text string) reply {
	c.count(func(s *CounterStats) { s.BytesIn += int64(len(text)) })
	text, whole := strings.CutSuffix(text, "\r\n")
	if whole && text == "ping" {
		return answered("pong\r\n")
	}
	name, add, life, ok := parseTally(text)
	if !whole || !ok {
		return answered("error\r\n")
	}
	r := make(reply, 1)
	t := &turn{serve: func() { r <- []byte("ok " + digits(c.add(name, add, life)) + "\r\n") }}
	h := fnv.New32a()
	h.Write([]byte(name))
	c.count(func(s *CounterStats) { s.Calls++ })
	if !c.parts[h.Sum32()%uint32(len(c.parts))].join(t) {
		c.count(func(s *CounterStats) { s.Busy++ })
		return answered("busy\r\n")
	}
	return r
}

// parseTally reads a call; it is strict, since what is no such call adds nothing.
func parseTally(text string) (name string, add float64, life time.Duration, ok bool) {
	f := strings.Split(text, " ")
	if len(f) != 4 || f[0] != "tally" || f[1] == "" || len(f[1]) > longestName {
		return "", 0, 0, false
	}
	if strings.Trim(f[2], "+-.0123456789") != "" { // no exponent, no infinity, not hexadecimal
		return "", 0, 0, false
	}
	add, err := strconv.ParseFloat(f[2], 64)
	ms, badLife := strconv.ParseInt(f[3], 10, 64)
	if err != nil || badLife != nil || math.Abs(add) > mostAdded || ms < 1 {
		return "", 0, 0, false
	}
	return f[1], add, time.Duration(min(ms, longestLife)) * time.Millisecond, true
}

// add adds to a name, which lives from its first call on, and returns the total.
func (c *Counter) add(name string, add float64, life time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.names[name]
	if n == nil || !now.Before(n.until) {
		if len(c.names) >= c.sweepAt {
			c.sweep(now)
		}
		n = &tally{until: now.Add(life)}
		c.names[name] = n
	}
	n.total += add
	return n.total
}

// sweep forgets the names that have expired. The lock is held.
func (c *Counter) sweep(now time.Time) {
	for name, n := range c.names {
		if !now.Before(n.until) {
			delete(c.names, name)
		}
	}
	c.sweepAt = max(fewNames, 2*len(c.names))
}

// digits writes a total to the seven digits that callers may count on.
func digits(total float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(total, 'e', 6, 64), 64)
	if err != nil {
		rounded = total
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
