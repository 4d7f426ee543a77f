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
	// commandOverhead is room for the parts of a command that are not its body, in bytes: most commands fit without growing.
	commandOverhead     = 192
	fieldsArgumentIndex = 3 // the place of the fields among a command's arguments
)

// attempt is an attempt of a request, with what the gateway knows of it. It is the upstream.Command of its upstream.Attempt.
type attempt struct {
	*upstream.Attempt
	gateway   *Gateway
	request   *request
	number    int // among the request's attempts, from 0
	endpoint  *upstream.Endpoint
	startedAt time.Duration
	deadline  time.Duration
	ended     bool
	outcome   policy.Outcome // once it has ended
}

// newAttempt adds an attempt to a request; it has not started.
func (g *Gateway) newAttempt(r *request, endpoint *upstream.Endpoint, deadline time.Duration) *attempt {
	a := &attempt{gateway: g, request: r, number: len(r.attempts), endpoint: endpoint, startedAt: g.now, deadline: deadline}
	a.Attempt = upstream.NewAttempt(endpoint, a)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	return a
}

// send carries out the policy's Send action.
func (g *Gateway) send(action policy.Send) {
	r := g.requests.open[action.ID]
	if r == nil {
		return
	}
	endpoint := g.pool.Endpoint(action.Endpoint)
	if endpoint == nil { // removed and forgotten
		endpoint = &upstream.Endpoint{Endpoint: policy.Endpoint{ID: action.Endpoint, State: policy.Removed}}
	}
	deadline := r.Deadline
	if action.AttemptDeadline > 0 {
		deadline = min(action.AttemptDeadline, r.Deadline)
	}
	g.startAttempt(g.newAttempt(r, endpoint, deadline))
}

// cancelAttempt carries out the policy's Cancel action.
func (g *Gateway) cancelAttempt(action policy.Cancel) {
	r := g.requests.open[action.ID]
	if r != nil && action.Attempt < len(r.attempts) {
		g.pool.Abort(r.attempts[action.Attempt].Attempt, policy.Cancelled)
	}
}

// startAttempt starts an attempt if it may start; otherwise it ends as not sent.
func (g *Gateway) startAttempt(a *attempt) {
	if !a.MayStart() {
		g.pool.CancelUnsent(a.Attempt)
		return
	}
	g.observe.attemptStarted(a)
	g.scheduleAt(a.deadline, func() { g.pool.Abort(a.Attempt, policy.TimedOut) })
	g.pool.Start(a.Attempt)
}

// Encode implements upstream.Command: it is the client's command, with the time that is left for it.
func (a *attempt) Encode() upstream.EncodedCommand {
	milliseconds := max(1, (a.deadline - a.gateway.now).Milliseconds())
	return upstream.EncodedCommand{Frame: encodeCommand(a.request.Request, milliseconds),
		TimeLimit: time.Duration(milliseconds) * time.Millisecond}
}

// encodeCommand returns a client's command with another value in its field of the time-out.
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
func (a *attempt) Abandoned() bool { return a.request.ClientGone() }

// Ended implements upstream.Command: it tells the policy how the attempt ended. The first that is served answers the client.
func (a *attempt) Ended(result upstream.Result) {
	g, r := a.gateway, a.request
	a.ended, a.outcome = true, result.Outcome
	if a.outcome == policy.Succeeded && result.Value == nil { // a form of reply that is none to a request
		a.outcome = policy.Failed
	}
	latency := g.now - a.startedAt
	g.observe.attemptEnded(a, latency)
	if a.outcome == policy.Succeeded && !r.finished {
		g.checkAnswerTime(r)
		r.finished = true
		g.observe.requestEnded(r, requestsServed)
		r.Respond(redcon.AppendBulk(make([]byte, 0, len(result.Value)+16), result.Value))
	}
	r.openAttempts--
	g.enqueue(policy.AttemptEnded{ID: r.ID, Attempt: a.number, Endpoint: a.endpoint.ID, Outcome: a.outcome, Latency: latency,
		RequestFinished: r.finished, SettledUnits: min(result.SettledUnits, g.maxUnits), LoadReport: result.LoadReport})
	g.requests.removeIfDone(r)
}
