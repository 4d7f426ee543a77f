package scale

// tally counts the work of a hollow ingress. Each request has one outcome: served, rejected, failed or unanswered.
type tally struct {
	Requests   uint64
	Served     uint64
	Rejected   uint64
	Failed     uint64
	Unanswered uint64 // the client stopped waiting

	Attempts        uint64 // attempts sent to backends
	CounterCalls    uint64
	TimerEvents     uint64 // timer events of the decision module
	EndpointChanges uint64 // events with a change of endpoints
	ListSnapshots   uint64 // events with a complete endpoint list

	SkippedArrivals uint64 // arrivals for which a busy machine was too late
}

func (t tally) minus(u tally) tally {
	return tally{
		Requests:        t.Requests - u.Requests,
		Served:          t.Served - u.Served,
		Rejected:        t.Rejected - u.Rejected,
		Failed:          t.Failed - u.Failed,
		Unanswered:      t.Unanswered - u.Unanswered,
		Attempts:        t.Attempts - u.Attempts,
		CounterCalls:    t.CounterCalls - u.CounterCalls,
		TimerEvents:     t.TimerEvents - u.TimerEvents,
		EndpointChanges: t.EndpointChanges - u.EndpointChanges,
		ListSnapshots:   t.ListSnapshots - u.ListSnapshots,
		SkippedArrivals: t.SkippedArrivals - u.SkippedArrivals,
	}
}

func (t tally) plus(u tally) tally { return t.minus(tally{}.minus(u)) }
