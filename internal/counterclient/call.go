package counterclient

import (
	"sync/atomic"

	"lemontack/policy"
)

// Call is one call of the counter.
type Call struct {
	increment  policy.IncrementCounter
	state      callStateValue
	incomplete bool // its last byte was never written; belongs to the goroutine that writes
	replied    bool // Result.Reply has reported a result; belongs to the caller of Client.Increment
}

// callState is the state of a call, which leaves callQueued once: the connection writes the call, or the caller drops it.
type callState int32

const (
	callQueued callState = iota
	callWritten
	callDropped
)

// callStateValue holds a callState. It is safe for concurrent use.
type callStateValue struct{ value atomic.Int32 }

func (s *callStateValue) load() callState { return callState(s.value.Load()) }

// leaveQueued changes callQueued to another state, and reports whether it did.
func (s *callStateValue) leaveQueued(to callState) bool {
	return s.value.CompareAndSwap(int32(callQueued), int32(to))
}

// Result is the end of a call.
type Result struct {
	Call    *Call
	Outcome policy.Outcome
	Total   float64 // of the counter, after a success
}

// Expire ends a call whose timeout is over. One that is not written by now never will be, so that nothing was added.
func (c *Call) Expire() Result {
	if c.state.leaveQueued(callDropped) {
		return Result{Call: c, Outcome: policy.ConnectFailed}
	}
	return Result{Call: c, Outcome: policy.TimedOut}
}

// Reply returns the result as an event of the decision module, and false if an earlier result of the call has been returned:
// an answer that comes after the timeout is dropped.
func (r Result) Reply() (policy.CounterReply, bool) {
	if r.Call.replied {
		return policy.CounterReply{}, false
	}
	r.Call.replied = true
	return policy.CounterReply{Name: r.Call.increment.Name, Outcome: r.Outcome, Total: r.Total}, true
}
