package scale

import "testing"

func TestLiveFleetAppliesChangesAndStopsItsProcesses(t *testing.T) {
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) { testLiveFleet(t, polled) })
	}
}

func testLiveFleet(t *testing.T, polled bool) {
	t.Helper()
	monitor := newResourceMonitor()
	shape := fleetShape{Ingresses: 3, TenantsPerIngress: 30, RequestRate: 50, PollsEndpoints: polled}
	f, err := startLiveFleet(t.Context(), monitor, shape, newBackendModel(20, 150, meanServiceTime, false), 1)
	if err != nil {
		t.Fatal(err)
	}
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			f.stop()
		}
	}
	t.Cleanup(stop)
	if err := f.setRate(t.Context(), 50); err != nil {
		t.Fatal(err)
	}
	var changes []appliedRevision
	for i := range 3 {
		change, err := f.applyChange(f.backends.drainingChange(i))
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, change)
	}
	for missing := 1; missing > 0; {
		delays, err := f.measurePropagation(t.Context(), changes)
		if err != nil {
			t.Fatal(err)
		}
		missing = delays.missingPairs
	}
	for served, calls := uint64(0), 0; served < 20 || calls == 0; {
		now, err := f.takeReading(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		served, calls = now.tally.Served, now.counter.Counter.Calls
	}
	stop()
	if len(monitor.pids) != 1 || monitor.peakProcesses != 1+standInProcesses {
		t.Errorf("got remaining processes %v, peak %d; want only this process, and a peak with both stand-ins",
			monitor.pids, monitor.peakProcesses)
	}
}
