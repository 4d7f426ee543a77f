package ingress

import (
	"context"
	"time"

	"lemontack/internal/listener"
	"lemontack/policy"
)

// A shutdown begins with SIGTERM and must complete before SIGKILL. New connections are accepted for acceptPeriod, and
// connections in the accept queue for backlogAcceptPeriod after it. Open connections are served until their last answer,
// and are closed within connectionCloseTimeout after the deadline for answers.
const (
	acceptPeriod           = 500 * time.Millisecond // time in which new connections are accepted, which clients may still open
	backlogAcceptPeriod    = 50 * time.Millisecond  // time after acceptPeriod for connections in the accept queue
	sigkillDelay           = 700 * time.Millisecond // SIGKILL follows SIGTERM after this time plus the longest class deadline
	maxSigkillDeadline     = 3 * time.Second        // upper bound of the longest deadline in that sum
	sigkillMargin          = 250 * time.Millisecond // time between the last answer and SIGKILL, in which connections are closed
	connectionCloseTimeout = 150 * time.Millisecond // time for closing connections after the last answer
)

// shutdownAnswerPeriod returns the time from SIGTERM within which all requests must be answered.
func shutdownAnswerPeriod(classes []policy.Class) time.Duration {
	maxDeadline := time.Duration(0)
	for _, class := range classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	return max(min(maxDeadline, maxSigkillDeadline)+sigkillDelay-sigkillMargin, acceptPeriod)
}

// shutDown answers the admitted requests and closes the client connections. runCtx is the context of the gateway's goroutines.
func (g *Gateway) shutDown(runCtx context.Context, clients *listener.Server) {
	g.log.Info("shutting down")
	answerPeriod := shutdownAnswerPeriod(g.cfg.Settings.Classes)
	drainCtx, cancel := context.WithTimeout(runCtx, answerPeriod+connectionCloseTimeout)
	defer cancel()
	g.post(shutdownEvent{g.sharedTime(time.Now()) + answerPeriod})
	time.Sleep(acceptPeriod)
	clients.Drain(drainCtx)
	g.observer.logCounters("shut down")
}
