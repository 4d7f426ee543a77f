package ingress

import (
	"context"
	"time"

	"lemontack/internal/listener"
	"lemontack/policy"
)

// A shutdown begins with SIGTERM and has to be over before SIGKILL. New connections are accepted for shutdownGrace, and those that
// wait to be accepted for backlogTime more; open ones are served until the last answer, and end within connectionsGrace.
const (
	shutdownGrace    = 500 * time.Millisecond // for new connections: clients may not know of the shutdown yet
	backlogTime      = 50 * time.Millisecond  // then, for those that came and were not accepted yet
	killDelay        = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM and the longest deadline
	maxKillDeadline  = 3 * time.Second        // that deadline counts as this where it is longer
	killMargin       = 250 * time.Millisecond // before SIGKILL: everything has its answer, and connections end
	connectionsGrace = 150 * time.Millisecond // for the end of the connections then
)

// timeToLastAnswer is how long after SIGTERM the last answer is given: SIGKILL follows the longest deadline of the settings.
func timeToLastAnswer(classes []policy.Class) time.Duration {
	maxDeadline := time.Duration(0)
	for _, class := range classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	return max(min(maxDeadline, maxKillDeadline)+killDelay-killMargin, shutdownGrace)
}

// shutDown answers what was admitted and ends the clients' connections. life is the context of the gateway's goroutines.
func (g *Gateway) shutDown(life context.Context, clients *listener.Server) {
	g.log.Info("shutting down")
	remaining := timeToLastAnswer(g.cfg.Settings.Classes)
	limit, cancel := context.WithTimeout(life, remaining+connectionsGrace)
	defer cancel()
	g.post(shutdownEvent{g.clock(time.Now()) + remaining})
	time.Sleep(shutdownGrace)
	clients.Drain(limit)
	g.observe.writeCounters("shut down")
}
