package discovery

import "time"

// heartbeatInterval is the interval at which a watch receives an empty line while nothing changes, as the protocol requires.
const heartbeatInterval = 2 * time.Second

// Timings for lists that a local agent pushes. A change counts as received by the gateway once the agent has it, and from then on
// the gateway has one second to stop sending attempts to a draining endpoint. So the timeout of a call and the maximum backoff
// after it together take less than a second.
const (
	agentAnswerTimeout  = 400 * time.Millisecond // a running agent answers immediately unless discovery is down
	agentSilenceTimeout = heartbeatInterval + 700*time.Millisecond
	agentMaxBackoff     = 400 * time.Millisecond
)

// Timings for gateways that poll discovery. A change has to be published within 6 s after discovery has it and is reachable, even
// after a failed call. A silent watch, a backoff, a failed call and an answer together fit into that time. Discovery queues
// calls, and a caller that disconnects loses its place in the queue. So an unanswered call stays open while hedged calls are
// sent: a call that was lost while discovery was down then costs no more than pollInterval.
const (
	pollAnswerTimeout  = 4 * time.Second
	pollSilenceTimeout = heartbeatInterval + time.Second
	pollInterval       = 1500 * time.Millisecond // maximum from the start of an unanswered call to that of the next
)

// Timings that spread the calls of a fleet. All gateways share one discovery service of fixed capacity, in which calls fail
// after a long time in the queue. So gateways that start or lose their watches at the same time must not all call at once.
const (
	spreadPerGateway         = 50 * time.Millisecond  // time added to the spread for each gateway, up to pollInterval
	maxGatewaysWithoutSpread = 8                      // size of a fleet that may call all at once
	maxAddressChangeSpread   = 500 * time.Millisecond // maximum spread after an address change, which has a deadline of 4 s
	minBackoff               = 100 * time.Millisecond // doubles after each call
)

// callTimings holds the timeouts and delays of calls to discovery.
type callTimings struct {
	startSpread    time.Duration // time over which the first calls of a fleet are spread; zero means no spread
	answerTimeout  time.Duration // maximum time until a call is answered
	silenceTimeout time.Duration // maximum time until a watch receives a heartbeat, a whole object or entriesPerExtension entries
	minBackoff     time.Duration // first pause after a call; it doubles up to maxBackoff
	maxBackoff     time.Duration
	hedgeDelay     time.Duration // time without an answer before a hedged call; zero means no hedged calls
}

// newCallTimings returns the timings for a fleet of the given number of gateways. If isPolling is false, an agent pushes the
// lists. hasKnownList reports whether the configuration file has an endpoint list.
func newCallTimings(isPolling bool, gateways int, hasKnownList bool) callTimings {
	if !isPolling {
		return callTimings{
			answerTimeout:  agentAnswerTimeout,
			silenceTimeout: agentSilenceTimeout,
			minBackoff:     minBackoff,
			maxBackoff:     agentMaxBackoff,
		}
	}
	timings := callTimings{
		answerTimeout:  pollAnswerTimeout,
		silenceTimeout: pollSilenceTimeout,
		minBackoff:     minBackoff,
		maxBackoff:     pollInterval,
		hedgeDelay:     pollInterval,
	}
	if gateways > maxGatewaysWithoutSpread && hasKnownList {
		timings.startSpread = min(spreadPerGateway*time.Duration(gateways), pollInterval)
		timings.minBackoff = timings.startSpread
	}
	return timings
}

// backoff is a sequence of pauses that double up to a maximum.
type backoff struct {
	min, max  time.Duration
	nextPause time.Duration
}

func newBackoff(minPause, maxPause time.Duration) backoff {
	return backoff{min: minPause, max: maxPause, nextPause: minPause}
}

// next returns the next pause of the sequence.
func (b *backoff) next() time.Duration {
	pause := b.nextPause
	b.nextPause = min(2*pause, b.max)
	return pause
}

// reset restarts the sequence at the minimum.
func (b *backoff) reset() { b.nextPause = b.min }
