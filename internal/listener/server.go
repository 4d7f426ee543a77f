// Package listener is the client side of the ingress: it accepts connections, reads commands from them and writes the answers
// in the order of the commands. It passes requests to a Handler, which answers each of them once with Request.Respond.
//
// Each connection has a goroutine that reads and one that writes, which share it under a lock; connState describes its states.
// Reading never waits for answers, so that a disconnect is detected while requests are open.
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
	"lemontack/internal/sockets"
	"lemontack/internal/stall"
	"lemontack/internal/telemetry"
	"lemontack/policy"
)

// maxReadPauseDivisor divides the shortest deadline of a class; the result is Server.maxReadPause. A request that arrives during
// such a pause keeps most of its time.
const maxReadPauseDivisor = 4

// Handler receives the requests of clients. Its methods are called concurrently by the goroutines of the connections, and for
// each connection in the order of its commands.
type Handler interface {
	// RequestReceived receives a complete and well-formed request, which has to be answered exactly once.
	RequestReceived(request *Request)
	// ClientDisconnected reports that the client of these requests disconnected before they were answered.
	ClientDisconnected(unanswered []*Request)
}

// Observer counts and logs requests before the Handler receives them, and faults in answering them. Its methods are called
// concurrently.
type Observer interface {
	// RequestRead is called for each complete and well-formed request.
	RequestRead()
	// RequestRejected is called for a request that the listener answers with Config.RejectionReply: its connection is closing or
	// has too many open commands, or its client may have disconnected while the input waited.
	RequestRejected(request *Request, reason string)
	// RequestUnanswered is called for a request that was read and can no longer be answered, because of a fault of the program
	// or because the listener closed the connection.
	RequestUnanswered(request *Request, cause string)
	// RequestAnsweredTwice is called for a second answer to a command, which is dropped.
	RequestAnsweredTwice()
}

// Config configures a Server. All fields are required except Stalls.
type Config struct {
	Classes        map[string]policy.Class       // request classes by name
	Plans          map[string]bool               // names of the customers' plans
	GatewayCount   int                           // number of gateways that a request may name
	MaxUnits       float64                       // maximum number of units of a request
	MaxConnections int                           // maximum number of open connections
	Memory         int                           // bytes for incoming commands, and as many for unsent answers
	RejectionReply []byte                        // encoded answer to a rejected request
	Clock          func(time.Time) time.Duration // converts to the clock of the times in Request
	Stalls         *stall.Detector               // nil disables the detection of process stalls
	Log            *slog.Logger
	LogLimiter     *telemetry.LogLimiter // limits warnings
	Counters       *Counters
	Handler        Handler
	Observer       Observer
}

// Server accepts and serves the clients' connections on one address.
type Server struct {
	cfg            Config
	debugEnabled   bool // log records of level debug are written
	listener       net.Listener
	connSlots      chan struct{}      // holds one element for each connection that is open or about to be accepted
	commandMemory  *resp.MemoryBudget // memory for incoming commands
	unsentBytes    atomic.Int64       // size of the unwritten answers on all connections
	maxUnsentBytes int64
	maxReadPause   time.Duration // longest time without reading from a connection that has no pending response
	acceptDelay    acceptDelay   // used only by the goroutine that runs Serve
	// acceptQueueLength is sockets.AcceptQueueLength; tests replace it.
	acceptQueueLength func(net.Listener) (length int, ok bool)
	nextSlotClose     time.Time      // earliest time to close a connection for its slot; used only by the goroutine that runs Serve
	acceptDone        chan struct{}  // closed when Serve has returned
	active            sync.WaitGroup // counts the connections that are being served, and Serve

	mu       sync.Mutex // guards the fields below; locked before the mu of a conn
	conns    map[*conn]bool
	draining bool
}

// New returns a server for the connections of a net.Listener, which Drain closes.
func New(listener net.Listener, cfg Config) *Server {
	s := &Server{
		cfg:               cfg,
		debugEnabled:      cfg.Log.Enabled(context.Background(), slog.LevelDebug),
		listener:          listener,
		connSlots:         make(chan struct{}, cfg.MaxConnections),
		commandMemory:     resp.NewMemoryBudget(cfg.Memory),
		maxUnsentBytes:    int64(cfg.Memory),
		maxReadPause:      time.Duration(math.MaxInt64),
		acceptDone:        make(chan struct{}),
		acceptQueueLength: sockets.AcceptQueueLength,
		conns:             map[*conn]bool{},
	}
	for _, class := range cfg.Classes {
		s.maxReadPause = min(s.maxReadPause, class.Deadline/maxReadPauseDivisor)
	}
	return s
}

// ServeConn serves one connection until it ends, in addition to those that Serve accepts.
func (s *Server) ServeConn(socket net.Conn) {
	s.connSlots <- struct{}{}
	c := newConn(s, socket)
	s.track(c)
	c.serve()
}

// track adds the connection to those that the sweeps and Drain close; untrack removes it.
func (s *Server) track(c *conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.active.Add(1)
	draining := s.draining
	s.mu.Unlock()
	if draining {
		c.closeForShutdown()
	}
}

// untrack removes a connection that has ended and releases its slot.
func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.connSlots
}
