// Package limiter limits how many attempts a gateway has in flight: an AIMD window, as of TCP's congestion
// control.
//
// Timely ends of attempts widen the window additively. Late ends narrow it multiplicatively, once a round
// trip at most, and only where they are a sign that the endpoints as a whole are overloaded: one slow
// endpoint, or one class whose requests take long, leaves the window as it is.
package limiter

import (
	"math"
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/model"
)

const (
	// lateSampleThreshold is the share of late samples in a round above which the window narrows.
	lateSampleThreshold = 0.1
	// minLateEndpointShare is the share of the endpoints that must have late samples: with fewer of them,
	// only these are slow.
	minLateEndpointShare = 0.25
	// minLateEndpoints bounds that share below, in endpoints: two may be slow by chance.
	minLateEndpoints = 3
	// minClassSamples is the number of samples in a round from which on a class has a late share of its own.
	minClassSamples = 4
	// minRoundSamples is the number of samples that end a round, so that its late share means something.
	minRoundSamples = 8
	// minLateRoundSamples is the number of late samples that end a round earlier, so that the window reacts.
	minLateRoundSamples = 3
	// lateObjectiveDivisor makes an answer late after this part of its latency objective: the window has to
	// narrow before the objective is missed.
	lateObjectiveDivisor = 3

	// maxWindowIncrease is the share of a small window by which one timely sample widens it.
	maxWindowIncrease = 0.05
	// windowDecreaseFactor is the multiplicative decrease, for each round trip that a round lasted.
	windowDecreaseFactor = 0.85
	// maxRoundTripsPerRound is the number of round trips that a long round stands for at most: half the
	// window.
	maxRoundTripsPerRound = 4.0
	// minWindow keeps the window open for one attempt in ten round trips, so that the gateway still learns.
	minWindow = 0.1

	// fullShareToIncrease is the share of the window in flight from which on the window limits, and may widen.
	fullShareToIncrease = 0.8
	// nearlyFullShare is the share of the window in flight from which on requests are about to wait.
	nearlyFullShare = 0.7
)

// Limiter is the window of one gateway. It is not safe for concurrent use. Times are on the gateway's clock.
type Limiter struct {
	latency      *latency.OverallMean
	tickInterval time.Duration // time between two calls of EndRoundIfDue

	window    float64       // attempts that may be in flight
	inFlight  int           // attempts in flight that count
	lastStart time.Duration // start of the last attempt

	round         int // number of the current round; the first is 1
	roundEnd      time.Duration
	timelySamples int // in the current round
	lateSamples   int // in the current round
	lateEndpoints int // endpoints with late samples in the current round
	classes       []*ClassSamples
}

// ClassSamples counts the samples of one class in the current round. The zero value is ready for use.
type ClassSamples struct {
	timely int
	late   int
}

// EndpointSamples remembers in which round an endpoint last had a late sample. The zero value stands for
// none.
type EndpointSamples struct {
	lastLateRound int
}

// Sample tells how an attempt ended.
type Sample struct {
	Outcome          model.Outcome
	Latency          time.Duration
	LatencyObjective time.Duration    // of the request's class
	LoadReport       model.LoadReport // of the endpoint, with the answer
	RequestsQueued   bool             // requests wait for the window
}

// New returns a limiter with an empty window. A round lasts one mean latency of overall, and two tick
// intervals at least; tickInterval is the time between two calls of EndRoundIfDue.
func New(overall *latency.OverallMean, tickInterval time.Duration) *Limiter {
	return &Limiter{latency: overall, tickInterval: tickInterval, round: 1}
}

// AddClass lets a class count by itself when rounds end: a class that is answered in time keeps the window
// open.
func (l *Limiter) AddClass(class *ClassSamples) { l.classes = append(l.classes, class) }

// SetWindow sets the window, in attempts: where nothing has been learned yet.
func (l *Limiter) SetWindow(window float64) { l.window = window }

// Window returns the number of attempts that may be in flight. It can be below 1.
func (l *Limiter) Window() float64 { return l.window }

// InFlight returns the number of attempts in flight that count.
func (l *Limiter) InFlight() int { return l.inFlight }

// Acquire counts an attempt that starts as in flight.
func (l *Limiter) Acquire(now time.Duration) {
	l.inFlight++
	l.lastStart = now
}

// Release no longer counts an attempt as in flight: it has ended, or is overdue.
func (l *Limiter) Release() { l.inFlight-- }

// HasCapacity reports whether another attempt may start. A window below 1 lets attempts start one by one,
// with pauses of so many mean latencies that the mean number in flight is the window.
func (l *Limiter) HasCapacity(now time.Duration) bool {
	if float64(l.inFlight) >= l.window {
		return false
	}
	return l.window >= 1 || (now-l.lastStart).Seconds() >= l.latency.Seconds()/l.window
}

// NearlyFull reports whether so much of the window is in flight that requests are about to wait.
func (l *Limiter) NearlyFull() bool {
	return float64(l.inFlight) > max(1, nearlyFullShare*l.window)
}

// Record counts the end of an attempt for its class and endpoint, and widens the window on a timely one. Ends
// that say nothing of the load, as that of a cancelled attempt, do not count.
func (l *Limiter) Record(sample Sample, class *ClassSamples, endpoint *EndpointSamples) {
	switch {
	case sample.isLate():
		l.recordLate(class, endpoint)
	case sample.Outcome == model.Succeeded:
		l.recordTimely(class, sample.RequestsQueued)
	}
}

// isLate reports whether the sample is a sign of overload. An answer that took long from an endpoint that
// reports an empty queue is none: the request took long to process, or the machine is slow.
func (sample Sample) isLate() bool {
	switch sample.Outcome {
	case model.Rejected, model.TimedOut:
		return true
	case model.Succeeded:
		queued, reported := sample.LoadReport.QueueLength()
		return sample.Latency > sample.LatencyObjective/lateObjectiveDivisor && (queued >= 1 || !reported)
	default:
		return false
	}
}

func (l *Limiter) recordLate(class *ClassSamples, endpoint *EndpointSamples) {
	l.lateSamples++
	class.late++
	if endpoint.lastLateRound != l.round {
		endpoint.lastLateRound = l.round
		l.lateEndpoints++
	}
}

// recordTimely widens the window by about one attempt in a round trip, but only while the window is what
// limits.
func (l *Limiter) recordTimely(class *ClassSamples, requestsQueued bool) {
	l.timelySamples++
	class.timely++
	if float64(l.inFlight) >= fullShareToIncrease*l.window-1 || requestsQueued {
		l.window += min(1/l.window, l.window*maxWindowIncrease)
	}
}

// EndRoundIfDue ends the round once it has lasted a round trip and has enough samples, and narrows the window
// where they show overload. The window stays above this gateway's share of one attempt in flight at each of
// the endpoints; gatewaysPerEndpoint is the number of gateways that share one of them.
func (l *Limiter) EndRoundIfDue(now time.Duration, endpoints int, gatewaysPerEndpoint float64) {
	samples := float64(l.timelySamples + l.lateSamples)
	if now < l.roundEnd || samples < minRoundSamples && l.lateSamples < minLateRoundSamples {
		return
	}
	late := l.takeLateShare(float64(l.lateSamples) / samples)
	if late > lateSampleThreshold && l.hasEnoughLateEndpoints(samples, float64(endpoints)) {
		floor := max(minWindow, float64(endpoints)/gatewaysPerEndpoint)
		l.window = max(l.window*l.decreaseFactor(now), floor)
	}
	l.timelySamples, l.lateSamples, l.lateEndpoints = 0, 0, 0
	l.round++
	l.roundEnd = now + max(l.latency.Duration(), 2*l.tickInterval)
}

// takeLateShare returns the least share of late samples, of all samples or of those of one class, and clears
// the counts of the classes. The class with the least share decides: requests of one class that take long are
// no overload.
func (l *Limiter) takeLateShare(overall float64) float64 {
	least := overall
	for _, class := range l.classes {
		if samples := class.timely + class.late; samples >= minClassSamples {
			least = min(least, float64(class.late)/float64(samples))
		}
		*class = ClassSamples{}
	}
	return least
}

// hasEnoughLateEndpoints reports whether the late samples come from so many endpoints that it is not the fault
// of a few. With fewer samples than endpoints the samples bound how many can have shown anything.
func (l *Limiter) hasEnoughLateEndpoints(samples, endpoints float64) bool {
	enough := max(min(minLateEndpoints, endpoints), minLateEndpointShare*min(samples, endpoints))
	return float64(l.lateEndpoints) >= enough
}

// decreaseFactor is the factor on the window of a round that shows overload. A gateway with few requests fills a
// round slowly; the round then stands for the round trips that have gone by meanwhile.
func (l *Limiter) decreaseFactor(now time.Duration) float64 {
	roundTrip := max(l.latency.Seconds(), l.tickInterval.Seconds())
	roundTrips := min(1+(now-l.roundEnd).Seconds()/roundTrip, maxRoundTripsPerRound)
	return math.Pow(windowDecreaseFactor, roundTrips)
}
