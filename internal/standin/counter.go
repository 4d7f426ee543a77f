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
	defaultIdleTimeout = 10 * time.Second // as the protocol defines it
	maxLineBytes       = 256              // maximum length of a line; a longer line closes the connection
)

// CounterConfig configures a Counter.
type CounterConfig struct {
	CallsPerSecond          float64       // capacity of all shards together; zero means no limit
	Shards                  int           // number of shards, which divide the names and CallsPerSecond among them; zero means one
	MaxQueued               int           // maximum number of waiting calls per shard; others are rejected; zero means no limit
	MaxConnectionsPerClient int           // maximum number for a client address; further ones are reset; zero means no limit
	IdleTimeout             time.Duration // time without a call after which a connection is closed; zero means 10 s
}

// CounterStats holds the statistics of a Counter since its start.
type CounterStats struct {
	Calls       int           // well-formed calls, without pings
	Rejected    int           // calls that were answered busy
	Names       int           // names that have not expired
	BytesIn     int64         // bytes of complete lines read
	BytesOut    int64         // bytes written
	Connections int           // accepted connections
	MaxWait     time.Duration // maximum time from the arrival of a call to the end of its service
	MaxQueued   int           // maximum number of calls that waited for one shard at the same time
}

// Counter simulates the shared counter.
type Counter struct {
	config      CounterConfig
	shards      []*serviceQueue
	connections connectionSet

	mu                  sync.Mutex // guards the fields below
	state               ServiceState
	silenced            chan struct{} // closed while the state is Silent
	table               *CounterTable
	connectionsByClient map[string]int // number of open connections by client address without the port
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

// Serve accepts connections on a listener and answers their calls until Close.
func (c *Counter) Serve(ln net.Listener) error { return c.connections.serve(ln, c.serveConnection) }

// Close makes Serve return, closes all connections and waits for their goroutines.
func (c *Counter) Close() {
	c.connections.close()
	c.connections.handlers.Wait()
}

// SetState sets the state. Connections that were open or opened while the state was Silent never get another answer. In
// state Down the open connections are reset, and so are new ones. Calls that are queued when the state changes to Silent
// or Down add nothing.
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

// Total returns the current total of a name, or 0 if the name does not exist.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Total(time.Now(), name)
}

// Stats returns the statistics since the start.
func (c *Counter) Stats() CounterStats {
	c.mu.Lock()
	stats := c.stats
	stats.Names = c.table.Len(time.Now())
	c.mu.Unlock()
	for _, shard := range c.shards {
		shardStats := shard.snapshotStats()
		stats.MaxWait = max(stats.MaxWait, shardStats.maxWait)
		stats.MaxQueued = max(stats.MaxQueued, shardStats.maxWaiting)
	}
	return stats
}

// serveConnection handles the calls of one connection until it closes.
func (c *Counter) serveConnection(conn net.Conn) {
	client := clientAddress(conn)
	silenced, ok := c.admitConnection(client)
	defer c.releaseConnection(client)
	if !ok {
		resetConnection(conn)
		return
	}
	replies := newReplyWriter(conn, silenced, func(n int) {
		c.updateStats(func(stats *CounterStats) { stats.BytesOut += int64(n) })
	})
	defer replies.stop()
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(c.config.IdleTimeout)) != nil {
			return
		}
		line, err := reader.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && exemptFromIdleTimeout(replies, line) {
				continue
			}
			return
		}
		if !replies.isSilenced() {
			replies.enqueue(c.handleLine(string(line)))
		}
	}
}

// exemptFromIdleTimeout reports whether a connection stays open after its idle timeout. It does if it is silenced, or if
// it waits for an answer and has sent no part of a further line.
func exemptFromIdleTimeout(replies *replyWriter, partialLine []byte) bool {
	return replies.isSilenced() || len(partialLine) == 0 && replies.unansweredCalls.Load() > 0
}

func clientAddress(conn net.Conn) string {
	addr := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}

// admitConnection counts a connection and returns whether it may stay open. silenced is closed when the connection must
// get no further answers.
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

// handleLine handles a line and returns its pending reply.
func (c *Counter) handleLine(line string) pendingReply {
	c.updateStats(func(stats *CounterStats) { stats.BytesIn += int64(len(line)) })
	text, complete := strings.CutSuffix(line, "\r\n")
	if complete && text == "ping" {
		return completedReply(counterReplyPong)
	}
	call, err := parseCounterCall(text)
	if !complete || err != nil {
		return completedReply(counterReplyError)
	}
	reply := make(pendingReply, 1)
	queued := &queuedCall{onServed: func() { reply <- []byte("ok " + formatTotal(c.add(call)) + "\r\n") }}
	c.updateStats(func(stats *CounterStats) { stats.Calls++ })
	if !c.shardOf(call.name).enqueue(queued) {
		c.updateStats(func(stats *CounterStats) { stats.Rejected++ })
		return completedReply(counterReplyBusy)
	}
	return reply
}

func (c *Counter) shardOf(name string) *serviceQueue {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return c.shards[hash.Sum32()%uint32(len(c.shards))]
}

// add adds the increment of a call to its name and returns the new total.
func (c *Counter) add(call counterCall) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Add(time.Now(), call.name, call.increment, call.lifetime)
}
