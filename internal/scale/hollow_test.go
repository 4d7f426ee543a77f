package scale

import (
	"testing"
	"time"
)

// runOnSimulatedClock runs a number of requests to their end at each of two ingresses in front of 20 backends.
func runOnSimulatedClock(t *testing.T, requests uint64) ([]tally, *backendModel, *timeRecorder) {
	t.Helper()
	shape := fleetShape{Ingresses: 2, TenantsPerIngress: 30, RequestRate: 200}
	backends, recorder := newBackendModel(20, 400, meanServiceTime, false), newTimeRecorder()
	var tallies []tally
	for index := range shape.Ingresses {
		h, err := newHollowIngress(shape, index, backends, recorder, 7)
		if err != nil {
			t.Fatal(err)
		}
		h.loadEndpoints(backends.targets())
		h.setRate(shape.RequestRate)
		h.advance(time.Hour, func() bool { return h.tally.Requests < requests })
		h.setRate(0)
		h.advance(5*time.Second, func() bool { return true })
		if len(h.requests) > 0 {
			t.Errorf("ingress %d: got %d open requests, want none", index, len(h.requests))
		}
		tallies = append(tallies, h.tally)
	}
	return tallies, backends, recorder
}

func TestSimulatedRunFinishesEachRequestOnce(t *testing.T) {
	const requests = 600
	tallies, backends, recorder := runOnSimulatedClock(t, requests)
	sent := uint64(0)
	for index, counts := range tallies {
		if counts.Requests != requests || counts.Served+counts.Rejected+counts.Failed+counts.Unanswered != requests {
			t.Errorf("ingress %d: got %+v, want one outcome for each of %d requests", index, counts, requests)
		}
		if counts.Served < requests*9/10 || counts.CounterCalls == 0 || counts.ListSnapshots != 1 {
			t.Errorf("ingress %d: got %+v, want nearly all requests served, some counter calls, one list", index, counts)
		}
		sent += counts.Attempts
	}
	received := uint64(0)
	for i := range backends.backends {
		received += backends.backends[i].attempts.Load()
		if n := backends.backends[i].inFlight.Load(); n != 0 {
			t.Errorf("backend %d: got %d attempts in flight after the run, want none", i, n)
		}
	}
	if received != sent {
		t.Errorf("got %d attempts at the backends, want the %d that were sent", received, sent)
	}
	times := recorder.drain()
	if n := times[metricArrival].TotalCount(); n != 2*requests {
		t.Errorf("got %d times of arrivals, want %d", n, 2*requests)
	}
}

func TestSimulatedRunRepeatsForTheSameSeed(t *testing.T) {
	const requests = 600
	first, _, _ := runOnSimulatedClock(t, requests)
	second, _, _ := runOnSimulatedClock(t, requests)
	for index := range first {
		if second[index] != first[index] {
			t.Errorf("ingress %d: got %+v, then %+v with the same seed", index, first[index], second[index])
		}
	}
}

func TestArrivalIsSkippedIfTooLate(t *testing.T) {
	for _, c := range []struct {
		lateness time.Duration
		requests uint64
	}{
		{0, 1},
		{maxLateness, 1},
		{maxLateness + 1, 0},
		{time.Hour, 0},
	} {
		t.Run(c.lateness.String(), func(t *testing.T) {
			backends := newBackendModel(5, 10, meanServiceTime, false)
			shape := fleetShape{Ingresses: 1, TenantsPerIngress: 5, RequestRate: 10}
			h, err := newHollowIngress(shape, 0, backends, newTimeRecorder(), 1)
			if err != nil {
				t.Fatal(err)
			}
			h.loadEndpoints(backends.targets())
			h.requestRate = 10
			due := h.now
			h.now += c.lateness
			h.fireTimer(&timer{at: due, kind: arrivalTimer})
			if h.tally.Requests != c.requests || h.tally.SkippedArrivals != 1-c.requests || !h.arrivalScheduled {
				t.Errorf("got %+v, want %d requests and the others skipped", h.tally, c.requests)
			}
		})
	}
}
