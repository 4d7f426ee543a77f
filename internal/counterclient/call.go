package counterclient

import (
	"sync/atomic"

	"lemontack/policy"
)

// Call is one call to the counter.
type Call struct {
	increment       policy.IncrementCounter
	state           callStateValue
	notFullyWritten bool // its last byte was not written; used only by the goroutine that writes
	hasReplied      bool // Result.Reply has returned a result; used only by the caller of Client.Increment
}

// callState is the state of a call. It changes once: to callWritten by the connection, or to callExpired by the caller.
type callState int32

const (
	callQueued callState = iota
	callWritten
	callExpired
)

// callStateValue holds a callState. It is safe for concurrent use.
type callStateValue struct{ value atomic.Int32 }

func (state *callStateValue) load() callState { return callState(state.value.Load()) }

// leaveQueued changes the state if it is callQueued, and reports whether it did.
func (state *callStateValue) leaveQueued(to callState) bool {
	return state.value.CompareAndSwap(int32(callQueued), int32(to))
}

// Result is the result of a call.
type Result struct {
	Call    *Call
	Outcome policy.Outcome
	Total   float64 // the counter's total after a success, else 0
}

// Expire ends a call whose timeout has passed. A call that has not been written never will be, so that it adds nothing.
func (call *Call) Expire() Result {
	if call.state.leaveQueued(callExpired) {
		return Result{Call: call, Outcome: policy.ConnectFailed}
	}
	return Result{Call: call, Outcome: policy.TimedOut}
}

// Reply returns the result as an event for the policy, or false if it has returned an earlier result of the call: an answer after
// the timeout is dropped.
func (r Result) Reply() (policy.CounterReply, bool) {
	if r.Call.hasReplied {
		return policy.CounterReply{}, false
	}
	r.Call.hasReplied = true
	return policy.CounterReply{Name: r.Call.increment.Name, Outcome: r.Outcome, Total: r.Total}, true
}
