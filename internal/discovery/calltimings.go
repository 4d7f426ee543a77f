package discovery

import "time"

// heartbeatInterval is how often a watch brings an empty line while nothing changes, by the protocol.
const heartbeatInterval = 2 * time.Second

// Where an agent pushes lists, what it has counts as known to the gateway, and endpoints that drain have one second from
// then on. The timeout of a call and the maximum backoff after it fit into that second together.
const (
	agentAnswerTimeout  = 400 * time.Millisecond // the agent answers at once, unless discovery is down
	agentSilenceTimeout = heartbeatInterval + 700*time.Millisecond
	agentMaxBackoff     = 400 * time.Millisecond
)

// Where gateways poll, discovery's changes have to be known within 6 s of the moment at which it could be reached, also
// after a failed call; a silent watch, a backoff, a failed call and an answer fit into that time together. A call may have to
// wait for its turn, and a caller that gives up loses its place. So a call without an answer stays open, and hedged ones are
// made beside it: a call that was lost while discovery was down then costs pollInterval only.
const (
	pollAnswerTimeout  = 4 * time.Second
	pollSilenceTimeout = heartbeatInterval + time.Second
	pollInterval       = 1500 * time.Millisecond // maximum between the beginnings of a call without an answer and of the next
)

// All gateways share one discovery service of a fixed capacity, and calls that have waited for long fail there. So the
// gateways of a fleet that starts, or loses its watches, at one moment must not all call at one moment.
const (
	spreadPerGateway         = 50 * time.Millisecond  // of the time over which a fleet's calls are spread, up to pollInterval
	maxGatewaysWithoutSpread = 8                      // a fleet of up to this size may call at one moment
	maxMoveSpread            = 500 * time.Millisecond // after a change of address, whose changes have to be known within 4 s
	minBackoff               = 100 * time.Millisecond // doubled after each call
)

// callTimings says how discovery is called.
type callTimings struct {
	startSpread    time.Duration // over which the first calls of a fleet are spread; 0: they are not
	answerTimeout  time.Duration // of a call
	silenceTimeout time.Duration // of a watch that brings nothing, or too little of an object
	minBackoff     time.Duration // pause after a call; it doubles up to maxBackoff
	maxBackoff     time.Duration
	hedgeDelay     time.Duration // without an answer; 0: no hedged calls
}

// newCallTimings returns the policy for a fleet of that many gateways which poll, or to which an agent pushes. hasKnownList
// says that the configuration brought a list to begin with.
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
	nextPause time.Duration // the next one
}

func newBackoff(minPause, maxPause time.Duration) backoff {
	return backoff{min: minPause, max: maxPause, nextPause: minPause}
}

// next returns the pause to make now.
func (b *backoff) next() time.Duration {
	pause := b.nextPause
	b.nextPause = min(2*pause, b.max)
	return pause
}

// reset makes the minimum the next pause.
func (b *backoff) reset() { b.nextPause = b.min }
