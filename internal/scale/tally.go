package scale

// tally counts the work of a hollow ingress. Each request has one outcome: served, rejected, failed or unanswered.
type tally struct {
	Requests   uint64
	Served     uint64
	Rejected   uint64
	Failed     uint64
	Unanswered uint64 // the client stopped waiting

	Attempts        uint64
	CounterCalls    uint64
	TimerEvents     uint64 // timer events of the policy
	EndpointChanges uint64 // events with a change of endpoints
	ListSnapshots   uint64 // events with a complete endpoint list

	SkippedArrivals uint64 // arrivals that were skipped because they were more than maxLateness late
}

func (counts tally) minus(other tally) tally {
	return tally{
		Requests:        counts.Requests - other.Requests,
		Served:          counts.Served - other.Served,
		Rejected:        counts.Rejected - other.Rejected,
		Failed:          counts.Failed - other.Failed,
		Unanswered:      counts.Unanswered - other.Unanswered,
		Attempts:        counts.Attempts - other.Attempts,
		CounterCalls:    counts.CounterCalls - other.CounterCalls,
		TimerEvents:     counts.TimerEvents - other.TimerEvents,
		EndpointChanges: counts.EndpointChanges - other.EndpointChanges,
		ListSnapshots:   counts.ListSnapshots - other.ListSnapshots,
		SkippedArrivals: counts.SkippedArrivals - other.SkippedArrivals,
	}
}

func (counts tally) plus(other tally) tally { return counts.minus(tally{}.minus(other)) }
