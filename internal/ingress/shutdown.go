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
	acceptPeriod           = 500 * time.Millisecond // for new connections: clients may not know of the shutdown yet
	backlogAcceptPeriod    = 50 * time.Millisecond  // then, for those that came and were not accepted yet
	sigkillDelay           = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM and the longest deadline
	maxSigkillDeadline     = 3 * time.Second        // that deadline counts as this where it is longer
	sigkillMargin          = 250 * time.Millisecond // before SIGKILL: everything has its answer, and connections end
	connectionCloseTimeout = 150 * time.Millisecond // for the end of the connections then
)

// shutdownAnswerPeriod is how long after SIGTERM the last answer is given: SIGKILL follows the longest deadline of the settings.
func shutdownAnswerPeriod(classes []policy.Class) time.Duration {
	maxDeadline := time.Duration(0)
	for _, class := range classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	return max(min(maxDeadline, maxSigkillDeadline)+sigkillDelay-sigkillMargin, acceptPeriod)
}

// shutDown answers what was admitted and ends the clients' connections. life is the context of the gateway's goroutines.
func (g *Gateway) shutDown(runCtx context.Context, clients *listener.Server) {
	g.log.Info("shutting down")
	answerPeriod := shutdownAnswerPeriod(g.cfg.Settings.Classes)
	drainCtx, cancel := context.WithTimeout(runCtx, answerPeriod+connectionCloseTimeout)
	defer cancel()
	g.post(shutdownEvent{g.sharedTime(time.Now()) + answerPeriod})
	time.Sleep(acceptPeriod)
	clients.Drain(drainCtx)
	g.observe.logCounters("shut down")
}
