package listener

import "lemontack/internal/telemetry"

// FaultKind numbers the kinds of faulty input from clients.
type FaultKind int

// Kinds of client faults.
const (
	FaultFraming    FaultKind = iota // bytes that are not RESP
	FaultTooLong                     // input that is longer than the protocol allows
	FaultMemory                      // input for which no memory is available
	FaultUnfinished                  // a command that does not end before its deadline
	FaultCommand                     // an unknown or malformed command
	FaultRequest                     // a request with malformed or invalid arguments
	FaultDuplicate                   // a request with the id of an open one
	FaultFlood                       // too many unanswered commands
)

// CloseReason numbers the reasons for the end of a connection.
type CloseReason int

// Reasons for the end of a connection.
const (
	CloseByClient   CloseReason = iota // the client closed the connection, or it failed
	CloseIdle                          // the connection had no open request for too long
	CloseForSlot                       // a new connection needed the slot
	CloseForFaults                     // too many faults, or lost framing
	CloseShutdown                      // the process shuts down
	CloseSlowReader                    // the client does not read its answers
)

// Counters counts client faults by kind and closed connections by reason. It is safe for concurrent use.
type Counters struct {
	Faults *telemetry.Counters[FaultKind]
	Closes *telemetry.Counters[CloseReason]
}

// NewCounters returns counters that are all 0.
func NewCounters() *Counters {
	return &Counters{
		Faults: telemetry.NewCounters[FaultKind]("framing", "too_long", "memory", "unfinished", "command", "request",
			"duplicate_id", "flood"),
		Closes: telemetry.NewCounters[CloseReason]("by_client", "idle", "for_slot", "for_faults", "shutdown", "slow_reader"),
	}
}

// observeFault counts and logs a fault; number is the connection's number of faults including this one.
func (c *conn) observeFault(kind FaultKind, text string, number int32) {
	counters := c.server.cfg.Counters
	counters.Faults.Add(kind)
	if c.server.debugEnabled {
		c.server.cfg.Log.Debug("client fault", "client", c.remoteAddr(), "kind", counters.Faults.Name(kind), "reason", text,
			"number", number)
	}
}

// observeEnd counts and logs the end of the connection. If the listener aborted the connection, it reports the requests without
// an answer to the Observer, unless the client did not read its answers. In all other cases the client abandoned its requests.
func (c *conn) observeEnd(unanswered []*Request) {
	c.mu.Lock()
	reason, aborted := c.reason, c.aborted
	c.mu.Unlock()
	counters := c.server.cfg.Counters
	counters.Closes.Add(reason)
	if c.server.debugEnabled {
		c.server.cfg.Log.Debug("client connection closed", "client", c.remoteAddr(), "reason", counters.Closes.Name(reason),
			"unanswered", len(unanswered), "faults", c.faults.Load())
	}
	if !aborted || reason == CloseSlowReader {
		return
	}
	for _, request := range unanswered {
		c.server.cfg.Observer.RequestUnanswered(request, "the connection was closed: "+counters.Closes.Name(reason))
	}
}
