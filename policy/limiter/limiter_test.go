package limiter

import (
	"testing"
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/model"
)

const (
	ms        = time.Millisecond
	objective = 500 * ms
)

func newLimiter(window float64) *Limiter {
	l := New(&latency.OverallMean{}, 10*ms)
	l.SetWindow(window)
	return l
}

func sample(outcome model.Outcome, took time.Duration) Sample {
	return Sample{Outcome: outcome, Latency: took, LatencyObjective: objective}
}

func TestSlowAnswerIsLateOnlyIfRequestsWaitAtTheEndpoint(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome model.Outcome
		took    time.Duration
		load    model.LoadReport
		late    int
		timely  int
	}{
		{"late, no load report", model.Succeeded, 400 * ms, nil, 1, 0},
		{"late, one request waits", model.Succeeded, 400 * ms, model.LoadReport{"queue": 1}, 1, 0},
		{"late, no request waits", model.Succeeded, 400 * ms, model.LoadReport{"queue": 0, "util": 0.9}, 0, 1},
		{"timely", model.Succeeded, 20 * ms, nil, 0, 1},
		{"rejected", model.Rejected, 0, model.LoadReport{"queue": 0}, 1, 0},
		{"timed out", model.TimedOut, objective, nil, 1, 0},
		{"cancelled", model.Cancelled, 20 * ms, nil, 0, 0},
		{"reset", model.Reset, 20 * ms, nil, 0, 0},
		{"failed", model.Failed, 20 * ms, nil, 0, 0},
	} {
		l := newLimiter(10)
		s := sample(c.outcome, c.took)
		s.LoadReport = c.load
		l.Record(s, &ClassSamples{}, &EndpointSamples{})
		if l.lateSamples != c.late || l.timelySamples != c.timely {
			t.Errorf("%s: got %d late and %d timely samples, want %d and %d", c.name, l.lateSamples, l.timelySamples,
				c.late, c.timely)
		}
	}
}

func TestTimelyAnswersIncreaseOnlyALimitingWindow(t *testing.T) {
	for _, c := range []struct {
		name     string
		inFlight int
		queued   bool
		want     float64
	}{
		{"idle", 0, false, 10},
		{"nearly all in flight", 7, false, 10.1},
		{"requests wait", 0, true, 10.1},
	} {
		l := newLimiter(10)
		for range c.inFlight {
			l.Acquire(0)
		}
		s := sample(model.Succeeded, 20*ms)
		s.RequestsQueued = c.queued
		l.Record(s, &ClassSamples{}, &EndpointSamples{})
		if l.Window() != c.want {
			t.Errorf("%s: got window %v, want %v", c.name, l.Window(), c.want)
		}
	}
}

func TestHasCapacityOnlyBelowTheWindow(t *testing.T) {
	l := newLimiter(2)
	for i, want := range []bool{true, true, false} {
		if got := l.HasCapacity(0); got != want {
			t.Errorf("%d in flight: got capacity %v, want %v", i, got, want)
		}
		l.Acquire(0)
	}
	l.Release()
	l.Release()
	if !l.HasCapacity(0) || l.InFlight() != 1 {
		t.Errorf("got capacity %v with %d in flight, want true with 1", l.HasCapacity(0), l.InFlight())
	}
}

func TestWindowBelowOnePausesBetweenAttempts(t *testing.T) {
	overall := &latency.OverallMean{}
	estimate := latency.NewEstimate(overall)
	estimate.Record(100 * ms)
	l := New(overall, 10*ms)
	l.SetWindow(0.5)
	l.Acquire(time.Minute)
	l.Release()
	if l.HasCapacity(time.Minute + 190*ms) {
		t.Error("got capacity before two mean latencies have passed, want none")
	}
	if !l.HasCapacity(time.Minute + 210*ms) {
		t.Error("got no capacity after two mean latencies, want some")
	}
}

func TestOverloadDecreasesTheWindowOncePerRound(t *testing.T) {
	l := newLimiter(100)
	endpoints := make([]EndpointSamples, 12)
	now := time.Minute
	for i := range 24 {
		l.Record(sample(model.TimedOut, 0), &ClassSamples{}, &endpoints[i%12])
	}
	l.EndRoundIfDue(now, 12, 1)
	decreased := l.Window()
	if decreased >= 100 || decreased < 100*0.5 {
		t.Fatalf("got window %v after a round of late samples, want at least 50 and less than 100", decreased)
	}
	for i := range 24 {
		l.Record(sample(model.TimedOut, 0), &ClassSamples{}, &endpoints[i%12])
	}
	if l.EndRoundIfDue(now+19*ms, 12, 1); l.Window() != decreased {
		t.Errorf("got window %v before the end of the round, want %v", l.Window(), decreased)
	}
	if l.EndRoundIfDue(now+20*ms, 12, 1); l.Window() >= decreased {
		t.Errorf("got window %v after a second round, want less than %v", l.Window(), decreased)
	}
}

func TestLateSamplesOfFewEndpointsKeepTheWindow(t *testing.T) {
	l := newLimiter(100)
	endpoints := make([]EndpointSamples, 2)
	for i := range 50 {
		l.Record(sample(model.TimedOut, 0), &ClassSamples{}, &endpoints[i%2])
	}
	if l.EndRoundIfDue(time.Minute, 12, 1); l.Window() != 100 {
		t.Errorf("got window %v after late samples of two endpoints of twelve, want 100", l.Window())
	}
}

func TestTimelyClassKeepsTheWindow(t *testing.T) {
	for _, registered := range []bool{true, false} {
		l := newLimiter(100)
		endpoints := make([]EndpointSamples, 4)
		var timely, late ClassSamples
		if registered {
			l.AddClass(&timely)
			l.AddClass(&late)
		}
		for i := range 40 {
			l.Record(sample(model.Succeeded, 400*ms), &late, &endpoints[i%4])
			l.Record(sample(model.Succeeded, 20*ms), &timely, &endpoints[i%4])
		}
		l.EndRoundIfDue(time.Minute, 4, 1)
		if kept := l.Window() == 100; kept != registered {
			t.Errorf("classes added %v: got window %v, want 100 only if added", registered, l.Window())
		}
	}
}

func TestWindowStaysAtOrAboveTheGatewaysShareOfTheEndpoints(t *testing.T) {
	for _, c := range []struct {
		endpoints           int
		gatewaysPerEndpoint float64
		want                float64
	}{{8, 2, 4}, {8, 800, minWindow}} {
		l := newLimiter(4.1)
		endpoints := make([]EndpointSamples, c.endpoints)
		now := time.Minute
		for range 60 {
			for i := range endpoints {
				l.Record(sample(model.Rejected, 0), &ClassSamples{}, &endpoints[i])
			}
			now += time.Second
			l.EndRoundIfDue(now, c.endpoints, c.gatewaysPerEndpoint)
		}
		if l.Window() != c.want {
			t.Errorf("got window %v for %d endpoints of %v gateways each, want %v", l.Window(), c.endpoints,
				c.gatewaysPerEndpoint, c.want)
		}
	}
}
