// Package listener is the client side of the ingress: it accepts connections, reads commands from them and writes the answers
// in the order of the commands. Requests go to a Handler, which answers each of them once through the Request itself.
//
// Each connection has a goroutine that reads and one that writes, which share it under a lock; connState describes its states.
// Reading never waits for answers, so that the end of a client is noticed while it has open requests.
package listener

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/stall"
	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// maxUnreadShare is the part of the shortest deadline for which a client that is owed nothing may be left unread: one
// quarter, so that a request behind it keeps most of its time.
const maxUnreadShare = 4

// Handler receives what clients ask for. Its methods are called by the goroutines of many connections at once, and in the
// order of the commands for each connection.
type Handler interface {
	// RequestReceived takes a request that is complete and well formed. Exactly one answer has to be given to it.
	RequestReceived(request *Request)
	// ClientDisconnected reports that the client of these requests has gone before they were answered.
	ClientDisconnected(unanswered []*Request)
}

// Observer counts and logs what happens to requests before the Handler has them and where it answers. Like those of Handler
// its methods are called by many goroutines at once.
type Observer interface {
	// RequestRead is called for each request that is complete and well formed.
	RequestRead()
	// RequestRejected is called for a request that is answered with Config.RejectedReply here.
	RequestRejected(request *Request, reason string)
	// RequestUnanswered is called for a request that was read and cannot have its answer any more through a fault of the
	// program, or because the listener closed its connection.
	RequestUnanswered(request *Request, cause string)
	// RequestAnsweredTwice is called when a second answer is given to a command. It is dropped.
	RequestAnsweredTwice()
}

// Config configures a Server. All fields are needed unless said otherwise.
type Config struct {
	Classes        map[string]policy.Class       // of requests, by name
	Plans          map[string]bool               // names of the customers' plans
	GatewayCount   int                           // gateways that a request may name
	MaxUnits       float64                       // of one request
	MaxConnections int                           // open at once
	Memory         int                           // bytes for commands that are coming in, and as many for unread answers
	RejectedReply  []byte                        // the answer to a request that is rejected
	Clock          func(time.Time) time.Duration // the clock of the times in a Request
	Stalls         *stall.Detector               // nil: stalls of the process are not noticed
	Log            *slog.Logger
	LogLimiter     *telemetry.LogLimiter // of warnings
	Counters       *Counters
	Handler        Handler
	Observer       Observer
}

// Server accepts and serves the clients' connections on one address.
type Server struct {
	cfg            Config
	tracing        bool // records of level debug are written
	listener       net.Listener
	connSlots      chan struct{}      // one element for each connection that is open, or about to be accepted
	commandMemory  *resp.MemoryBudget // of commands that are coming in
	unsentBytes    atomic.Int64       // of answers that clients have not read, on all connections
	maxUnsentBytes int64
	maxUnread      time.Duration  // for which a client that is owed nothing may be left unread
	acceptDelay    acceptDelay    // of the goroutine that runs Serve
	acceptEnded    chan struct{}  // closed when no more connections are accepted
	serving        sync.WaitGroup // one for each connection

	mu       sync.Mutex // guards the fields below; taken before the mu of a conn
	conns    map[*conn]bool
	draining bool
}

// New returns a server of the listener's connections, which the server closes in Drain.
func New(listener net.Listener, cfg Config) *Server {
	s := &Server{
		cfg:            cfg,
		tracing:        cfg.Log.Enabled(context.Background(), slog.LevelDebug),
		listener:       listener,
		connSlots:      make(chan struct{}, cfg.MaxConnections),
		commandMemory:  resp.NewMemoryBudget(cfg.Memory),
		maxUnsentBytes: int64(cfg.Memory),
		maxUnread:      time.Duration(math.MaxInt64),
		acceptEnded:    make(chan struct{}),
		conns:          map[*conn]bool{},
	}
	for _, class := range cfg.Classes {
		s.maxUnread = min(s.maxUnread, class.Deadline/maxUnreadShare)
	}
	return s
}

// ServeConn serves one connection to its end, beside those that Serve accepts.
func (s *Server) ServeConn(socket net.Conn) {
	s.connSlots <- struct{}{}
	c := newConn(s, socket)
	s.track(c)
	c.serve()
}

// track makes the connection known to the sweeps and to Drain; serve ends that.
func (s *Server) track(c *conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.serving.Add(1)
	draining := s.draining
	s.mu.Unlock()
	if draining {
		c.closeSoon()
	}
}

// untrack forgets a connection that has ended.
func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.connSlots
}
