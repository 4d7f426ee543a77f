package model

// Outcome is the result of an attempt, a health check or a call of the shared counter.
type Outcome uint8

// Outcomes. An unknown value is treated as Failed, which may have been executed.
const (
	Failed        Outcome = iota // answered with an error
	Succeeded                    // answered successfully
	Rejected                     // rejected before processing: not executed
	TimedOut                     // no answer in time
	ConnectFailed                // no connection: not executed
	Reset                        // connection broken
	Cancelled                    // cancelled by the gateway
	NotSent                      // cancelled before its first byte was written: not executed
)

// OutcomeCount is the number of outcomes.
const OutcomeCount = NotSent + 1

// outcomeNames are the names of outcomes in logs.
var outcomeNames = [OutcomeCount]string{
	"failed", "succeeded", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent",
}

// NotExecuted reports whether the outcome proves that the attempt was not executed.
func (outcome Outcome) NotExecuted() bool {
	return outcome == Rejected || outcome == ConnectFailed || outcome == NotSent
}

// String returns the outcome's name in logs.
func (outcome Outcome) String() string {
	if outcome >= OutcomeCount {
		return "unknown"
	}
	return outcomeNames[outcome]
}
