package listener

import "lemontack/internal/telemetry"

// FaultKind numbers the kinds of input that no client should send.
type FaultKind int

// The kinds of faults, and what was sent.
const (
	FaultFraming    FaultKind = iota // bytes that are no RESP
	FaultTooLong                     // more than the protocol allows
	FaultMemory                      // something for which there is no memory now
	FaultUnfinished                  // a command that does not end in its time
	FaultCommand                     // an unknown command, or none
	FaultRequest                     // a request with malformed or impossible fields
	FaultDuplicate                   // the id of an open request
	FaultFlood                       // too many commands at once
)

// CloseReason numbers the reasons for which a connection ended.
type CloseReason int

// The reasons for the end of a connection.
const (
	CloseByClient   CloseReason = iota // the client closed it, or it broke
	CloseIdle                          // no command came for too long
	CloseForSlot                       // a new connection needs its slot
	CloseForFaults                     // too many faults, or the framing is lost
	CloseShutdown                      // the process ends
	CloseSlowReader                    // the client does not read its answers
)

// Counters counts the faults of clients and the ends of their connections. It is safe for concurrent use.
type Counters struct {
	Faults *telemetry.Counters[FaultKind]
	Closes *telemetry.Counters[CloseReason]
}

// NewCounters returns counters that are all at 0.
func NewCounters() *Counters {
	return &Counters{
		Faults: telemetry.NewCounters[FaultKind]("framing", "too_long", "memory", "unfinished", "command", "request",
			"duplicate_id", "flood"),
		Closes: telemetry.NewCounters[CloseReason]("by_client", "idle", "for_slot", "for_faults", "shutdown", "slow_reader"),
	}
}

// observeFault counts and logs a fault, which is the number-th of the connection.
func (c *conn) observeFault(kind FaultKind, text string, number int32) {
	counters := c.server.cfg.Counters
	counters.Faults.Add(kind)
	if c.server.debugEnabled {
		c.server.cfg.Log.Debug("client fault", "client", c.remoteAddr(), "kind", counters.Faults.Name(kind), "reason", text,
			"number", number)
	}
}

// observeEnd counts and logs the end of the connection. Requests without an answer were abandoned by their client, unless
// the listener closed the socket; for a client that does not read its answers nothing more can be done.
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
