package scale

// tally counts what a hollow ingress has done. Each request has one end: it is served, rejected, failed or unanswered.
type tally struct {
	Requests   uint64
	Served     uint64
	Rejected   uint64
	Failed     uint64
	Unanswered uint64 // the client gave up

	Attempts        uint64 // sent to backends
	CounterCalls    uint64
	TimerEvents     uint64 // of the decision module
	EndpointChanges uint64 // of endpoints
	ListSnapshots   uint64 // of the endpoint list

	SkippedArrivals uint64 // arrivals left out since a busy machine was too late for them
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
