package listener

import "testing"

// Every event in every state leads to the state in the table of connState.
func TestConnectionStateFollowsTheTable(t *testing.T) {
	states := []connState{stateNew, stateActive, stateIdle, stateDraining, stateConfirming, stateFaulted, stateEnded}
	for event, want := range map[connEvent][]connState{
		commandAccepted: {stateActive, stateActive, stateActive, stateDraining, stateConfirming, stateFaulted, stateEnded},
		allAnswered:     {stateNew, stateIdle, stateIdle, stateDraining, stateConfirming, stateFaulted, stateEnded},
		closeRequested: {stateDraining, stateDraining, stateDraining, stateDraining, stateConfirming, stateFaulted,
			stateEnded},
		endProposed: {stateNew, stateActive, stateIdle, stateConfirming, stateConfirming, stateFaulted, stateEnded},
		endDeclined: {stateNew, stateActive, stateIdle, stateDraining, stateDraining, stateFaulted, stateEnded},
		commandsRefused: {stateFaulted, stateFaulted, stateFaulted, stateFaulted, stateFaulted, stateFaulted,
			stateEnded},
		endDecided: {stateEnded, stateEnded, stateEnded, stateEnded, stateEnded, stateEnded, stateEnded},
	} {
		for i, from := range states {
			if got := from.next(event); got != want[i] {
				t.Errorf("event %d in state %d: got state %d, want %d", event, from, got, want[i])
			}
		}
	}
}
