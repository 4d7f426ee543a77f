package ingress

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/listener"
	"lemontack/internal/upstream"
	"lemontack/policy"
)

const (
	// commandOverhead is the buffer space, in bytes, for the parts of a command other than its body. Most commands then fit
	// without reallocation.
	commandOverhead     = 192
	fieldsArgumentIndex = 3 // index of the fields among the arguments of a command
)

// attempt is one attempt of a request. It implements upstream.Command for the upstream.Attempt that it embeds.
type attempt struct {
	*upstream.Attempt
	gateway   *Gateway
	request   *request
	number    int // index among the attempts of the request
	endpoint  *upstream.Endpoint
	startedAt time.Duration
	deadline  time.Duration
	ended     bool
	outcome   policy.Outcome // set when the attempt has ended
}

// newAttempt adds an attempt to a request without starting it.
func (g *Gateway) newAttempt(r *request, endpoint *upstream.Endpoint, deadline time.Duration) *attempt {
	a := &attempt{gateway: g, request: r, number: len(r.attempts), endpoint: endpoint, startedAt: g.now, deadline: deadline}
	a.Attempt = upstream.NewAttempt(endpoint, a)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	return a
}

// send executes the policy's Send action.
func (g *Gateway) send(action policy.Send) {
	r := g.requests.open[action.ID]
	if r == nil {
		return
	}
	endpoint := g.pool.Endpoint(action.Endpoint)
	if endpoint == nil { // removed from the list and already deleted from the pool
		endpoint = &upstream.Endpoint{Endpoint: policy.Endpoint{ID: action.Endpoint, State: policy.Removed}}
	}
	deadline := r.Deadline
	if action.AttemptDeadline > 0 {
		deadline = min(action.AttemptDeadline, r.Deadline)
	}
	g.startAttempt(g.newAttempt(r, endpoint, deadline))
}

// cancelAttempt executes the policy's Cancel action.
func (g *Gateway) cancelAttempt(action policy.Cancel) {
	r := g.requests.open[action.ID]
	if r != nil && action.Attempt < len(r.attempts) {
		g.pool.Abort(r.attempts[action.Attempt].Attempt, policy.Cancelled)
	}
}

// startAttempt starts an attempt, or ends it with the outcome NotSent if it may not start.
func (g *Gateway) startAttempt(a *attempt) {
	if !a.MayStart() {
		g.pool.CancelUnsent(a.Attempt)
		return
	}
	g.observer.attemptStarted(a)
	g.scheduleAt(a.deadline, func() { g.pool.Abort(a.Attempt, policy.TimedOut) })
	g.pool.Start(a.Attempt)
}

// Encode implements upstream.Command. It returns the client's command with the remaining time as its timeout.
func (a *attempt) Encode() upstream.EncodedCommand {
	milliseconds := max(1, (a.deadline - a.gateway.now).Milliseconds())
	return upstream.EncodedCommand{Frame: encodeCommand(a.request.Request, milliseconds),
		TimeLimit: time.Duration(milliseconds) * time.Millisecond}
}

// encodeCommand returns the RESP encoding of a client's command with its timeout replaced.
func encodeCommand(r *listener.Request, milliseconds int64) []byte {
	body := r.Args[len(r.Args)-1]
	frame := redcon.AppendArray(make([]byte, 0, commandOverhead+len(body)), len(r.Args))
	for i, argument := range r.Args {
		if i == fieldsArgumentIndex {
			fields := append(make([]byte, 0, len(argument)+8), argument[:r.TimeoutStart]...)
			fields = strconv.AppendInt(fields, milliseconds, 10)
			argument = append(fields, argument[r.TimeoutEnd:]...)
		}
		frame = redcon.AppendBulk(frame, argument)
	}
	return frame
}

// Abandoned implements upstream.Command.
func (a *attempt) Abandoned() bool { return a.request.ClientDisconnected() }

// Ended implements upstream.Command. It reports the outcome to the policy; the first attempt that succeeds answers the client.
func (a *attempt) Ended(result upstream.Result) {
	g, r := a.gateway, a.request
	a.ended, a.outcome = true, result.Outcome
	if a.outcome == policy.Succeeded && result.Value == nil { // a valid reply, but not to a request: PONG or a load report
		a.outcome = policy.Failed
	}
	latency := g.now - a.startedAt
	g.observer.attemptEnded(a, latency)
	if a.outcome == policy.Succeeded && !r.finished {
		g.checkAnswerTime(r)
		r.finished = true
		g.observer.requestEnded(r, requestsServed)
		r.Respond(redcon.AppendBulk(make([]byte, 0, len(result.Value)+16), result.Value))
	}
	r.openAttempts--
	g.enqueue(policy.AttemptEnded{ID: r.ID, Attempt: a.number, Endpoint: a.endpoint.ID, Outcome: a.outcome, Latency: latency,
		RequestFinished: r.finished, SettledUnits: min(result.SettledUnits, g.maxUnits), LoadReport: result.LoadReport})
	g.requests.removeIfDone(r)
}
