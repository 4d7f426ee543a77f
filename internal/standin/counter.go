package standin

import (
	"bufio"
	"errors"
	"hash/fnv"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	defaultIdleTimeout = 10 * time.Second // the protocol's
	maxCallBytes       = 256              // of a line; a longer one ends its connection
)

// CounterConfig says how a Counter serves.
type CounterConfig struct {
	CallsPerSecond          float64       // of all shards together; 0: no bound
	Shards                  int           // each has its share of the rate and a queue; a name is of one shard; 0: one
	MaxQueued               int           // calls that may wait for one shard, further ones are rejected; 0: any number
	MaxConnectionsPerClient int           // of one client address, further ones are reset; 0: any number
	IdleTimeout             time.Duration // a connection without a call for so long is closed; 0: 10 s
}

// CounterStats is what a Counter has seen so far.
type CounterStats struct {
	Calls       int           // in good form, pings aside
	Rejected    int           // of them, those that were answered busy
	Names       int           // that have not expired
	BytesIn     int64         // read, in complete lines
	BytesOut    int64         // written
	Connections int           // accepted
	MaxWait     time.Duration // from a call to the end of its service
	MaxQueued   int           // calls that waited for one shard at one moment
}

// Counter plays the shared counter.
type Counter struct {
	config      CounterConfig
	shards      []*serviceQueue
	connections connectionSet

	mu                  sync.Mutex // guards what follows
	state               ServiceState
	silenced            chan struct{} // closed while Silent
	table               *CounterTable
	connectionsByClient map[string]int // by address, without its port
	stats               CounterStats
}

// NewCounter returns a counter without names.
func NewCounter(config CounterConfig) *Counter {
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	config.Shards = max(config.Shards, 1)
	c := &Counter{
		config:              config,
		silenced:            make(chan struct{}),
		table:               NewCounterTable(),
		connectionsByClient: map[string]int{},
	}
	for range config.Shards {
		rate := config.CallsPerSecond / float64(config.Shards)
		c.shards = append(c.shards, newServiceQueue(rate, config.MaxQueued))
	}
	return c
}

// Serve answers calls on a listener until Close.
func (c *Counter) Serve(ln net.Listener) error { return c.connections.serve(ln, c.serveConnection) }

// Close ends Serve and all connections, and waits for their goroutines.
func (c *Counter) Close() {
	c.connections.close()
	c.connections.handlers.Wait()
}

// SetState changes how calls are met. A silence stays with the connections that were open or came during it, and calls
// that were queued then are never added.
func (c *Counter) SetState(state ServiceState) {
	c.changeState(state)
	if state == Up {
		return
	}
	for _, shard := range c.shards {
		shard.clear()
	}
	if state == Down {
		c.connections.resetAll()
	}
}

func (c *Counter) changeState(state ServiceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == c.state {
		return
	}
	if c.state == Silent {
		c.silenced = make(chan struct{})
	}
	if state == Silent {
		close(c.silenced)
	}
	c.state = state
}

// Total returns what a name holds now; 0 where there is no such name.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Total(time.Now(), name)
}

// Stats returns the figures so far.
func (c *Counter) Stats() CounterStats {
	c.mu.Lock()
	stats := c.stats
	stats.Names = c.table.Len(time.Now())
	c.mu.Unlock()
	for _, shard := range c.shards {
		queue := shard.snapshotStats()
		stats.MaxWait = max(stats.MaxWait, queue.maxWait)
		stats.MaxQueued = max(stats.MaxQueued, queue.maxWaiting)
	}
	return stats
}

// serveConnection reads the calls of one connection until its end.
func (c *Counter) serveConnection(conn net.Conn) {
	client := clientAddress(conn)
	silenced, ok := c.admitConnection(client)
	defer c.releaseConnection(client)
	if !ok {
		reset(conn)
		return
	}
	replies := newReplyWriter(conn, silenced, func(n int) {
		c.updateStats(func(s *CounterStats) { s.BytesOut += int64(n) })
	})
	defer replies.stop()
	in := bufio.NewReaderSize(conn, maxCallBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(c.config.IdleTimeout)) != nil {
			return
		}
		line, err := in.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && staysWhenIdle(replies, line) {
				continue
			}
			return
		}
		if !replies.isSilenced() {
			replies.enqueue(c.handleLine(string(line)))
		}
	}
}

// staysWhenIdle reports whether a connection outlives its idle timeout: one that is silenced does, and one that waits
// for an answer and has not begun a line.
func staysWhenIdle(replies *replyWriter, begun []byte) bool {
	return replies.isSilenced() || len(begun) == 0 && replies.unanswered.Load() > 0
}

func clientAddress(conn net.Conn) string {
	addr := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}

// admitConnection counts a connection in, and returns whether it may stay and what silences it.
func (c *Counter) admitConnection(client string) (silenced <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Connections++
	c.connectionsByClient[client]++
	limit := c.config.MaxConnectionsPerClient
	withinLimit := limit == 0 || c.connectionsByClient[client] <= limit
	return c.silenced, c.state != Down && withinLimit
}

func (c *Counter) releaseConnection(client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionsByClient[client]--
	if c.connectionsByClient[client] == 0 {
		delete(c.connectionsByClient, client)
	}
}

func (c *Counter) updateStats(update func(*CounterStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.stats)
}

// handleLine takes in a line and returns the place of its answer.
func (c *Counter) handleLine(line string) pendingReply {
	c.updateStats(func(s *CounterStats) { s.BytesIn += int64(len(line)) })
	text, complete := strings.CutSuffix(line, "\r\n")
	if complete && text == "ping" {
		return completedReply(counterReplyPong)
	}
	call, err := parseCounterCall(text)
	if !complete || err != nil {
		return completedReply(counterReplyError)
	}
	reply := make(pendingReply, 1)
	queued := &queuedCall{serve: func() { reply <- []byte("ok " + formatTotal(c.add(call)) + "\r\n") }}
	c.updateStats(func(s *CounterStats) { s.Calls++ })
	if !c.shardOf(call.name).enqueue(queued) {
		c.updateStats(func(s *CounterStats) { s.Rejected++ })
		return completedReply(counterReplyBusy)
	}
	return reply
}

func (c *Counter) shardOf(name string) *serviceQueue {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return c.shards[hash.Sum32()%uint32(len(c.shards))]
}

// add adds to a name and returns its total.
func (c *Counter) add(call counterCall) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Add(time.Now(), call.name, call.delta, call.lifetime)
}
