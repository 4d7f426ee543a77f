// Package limiter limits the attempts that a gateway has in flight, by an AIMD window as in TCP congestion
// control.
//
// Timely attempts increase the window additively. Late attempts decrease it multiplicatively, at most once
// per round trip, and only if they indicate that the endpoints as a whole are overloaded: a single slow
// endpoint, or a class whose requests take long, does not change the window.
package limiter

import (
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/model"
	"lemontack/policy/portable"
)

const (
	// lateSampleThreshold is the share of late samples in a round above which the window decreases.
	lateSampleThreshold = 0.1
	// minLateEndpointShare is the share of the endpoints that must have late samples. If fewer have them,
	// only those endpoints are slow.
	minLateEndpointShare = 0.25
	// minLateEndpoints is the minimum number of endpoints with late samples: two may be slow by chance.
	minLateEndpoints = 3
	// minClassSamples is the number of samples in a round that a class needs to have a late share of its
	// own.
	minClassSamples = 4
	// minRoundSamples is the number of samples that a round needs to end, so that its late share is
	// significant.
	minRoundSamples = 8
	// minLateRoundSamples is the number of late samples with which a round may end earlier, so that the
	// window reacts soon.
	minLateRoundSamples = 3
	// lateObjectiveDivisor divides the latency objective into the latency above which an answer is late:
	// the window has to decrease before the objective is missed.
	lateObjectiveDivisor = 3

	// maxWindowIncrease is the maximum increase by one timely sample, as a share of the window; it limits
	// the increase of a small window.
	maxWindowIncrease = 0.05
	// windowDecreaseFactor is the multiplicative decrease for each round trip that a round has lasted.
	windowDecreaseFactor = 0.85
	// maxRoundTripsPerRound is the maximum number of round trips counted for a long round. It limits the
	// decrease to about half of the window.
	maxRoundTripsPerRound = 4.0
	// minWindow permits one attempt in ten round trips, so that the gateway still gets samples.
	minWindow = 0.1

	// limitingWindowShare is the minimum share of the window in flight at which the window counts as the
	// limit, and may increase.
	limitingWindowShare = 0.8
	// nearlyFullShare is the share of the window in flight above which requests are about to wait.
	nearlyFullShare = 0.7
)

// Limiter is the window of one gateway. It is not safe for concurrent use. Times are on the gateway's
// clock.
type Limiter struct {
	latency      *latency.OverallMean
	tickInterval time.Duration // time between two calls of EndRoundIfDue

	window    float64       // limit on the attempts in flight
	inFlight  int           // attempts in flight, as counted by Acquire and Release
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

// EndpointSamples holds the last round in which an endpoint had a late sample. The zero value means none.
type EndpointSamples struct {
	lastLateRound int
}

// Sample describes the end of an attempt.
type Sample struct {
	Outcome          model.Outcome
	Latency          time.Duration
	LatencyObjective time.Duration    // objective of the request's class
	LoadReport       model.LoadReport // load report that the endpoint sent with the answer
	RequestsQueued   bool             // requests are waiting for the window
}

// New returns a limiter with a window of zero. A round lasts at least one mean latency of overall and at
// least two tick intervals; tickInterval is the time between two calls of EndRoundIfDue.
func New(overall *latency.OverallMean, tickInterval time.Duration) *Limiter {
	return &Limiter{latency: overall, tickInterval: tickInterval, round: 1}
}

// AddClass makes the samples of a class count separately when a round ends. The window does not decrease
// while one class is answered in time.
func (l *Limiter) AddClass(class *ClassSamples) { l.classes = append(l.classes, class) }

// SetWindow sets the window, in attempts, when nothing is known about the endpoints yet.
func (l *Limiter) SetWindow(window float64) { l.window = window }

// Window returns the limit on attempts in flight. It can be below 1.
func (l *Limiter) Window() float64 { return l.window }

// InFlight returns the number of attempts in flight that are counted.
func (l *Limiter) InFlight() int { return l.inFlight }

// Acquire counts a starting attempt as in flight.
func (l *Limiter) Acquire(now time.Duration) {
	l.inFlight++
	l.lastStart = now
}

// Release stops counting an attempt that has ended or is overdue.
func (l *Limiter) Release() { l.inFlight-- }

// HasCapacity reports whether another attempt may start. A window below 1 permits one attempt at a time,
// with pauses of 1/window mean latencies between two starts, so that the mean number in flight is the
// window.
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

// Record counts the end of an attempt for its class and endpoint, and increases the window if the attempt
// was timely. Outcomes that do not depend on the load, such as cancellation, are not counted.
func (l *Limiter) Record(sample Sample, class *ClassSamples, endpoint *EndpointSamples) {
	switch {
	case sample.isLate():
		l.recordLate(class, endpoint)
	case sample.Outcome == model.Succeeded:
		l.recordTimely(class, sample.RequestsQueued)
	}
}

// isLate reports whether the sample indicates overload. A slow answer from an endpoint that reports an
// empty queue does not: the request took long to process, or the endpoint is slow.
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

// recordTimely increases the window by about one attempt per round trip, but only if the window is the
// limit.
func (l *Limiter) recordTimely(class *ClassSamples, requestsQueued bool) {
	l.timelySamples++
	class.timely++
	if float64(l.inFlight) >= limitingWindowShare*l.window-1 || requestsQueued {
		l.window += min(1/l.window, l.window*maxWindowIncrease)
	}
}

// EndRoundIfDue ends the round if it has lasted a round trip and has enough samples, and decreases the
// window if the samples indicate overload. The window does not decrease below minWindow or below this
// gateway's share of one attempt in flight at each endpoint; gatewaysPerEndpoint is the number of gateways
// that share one endpoint.
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

// takeLateShare returns the lowest share of late samples, of all samples or of those of one class, and
// resets the counts of the classes. The lowest share is used since slow requests of one class are not an
// overload.
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

// hasEnoughLateEndpoints reports whether so many endpoints have late samples that the cause is not a few
// slow endpoints. If there are fewer samples than endpoints, the required share refers to the samples.
func (l *Limiter) hasEnoughLateEndpoints(samples, endpoints float64) bool {
	enough := max(min(minLateEndpoints, endpoints), minLateEndpointShare*min(samples, endpoints))
	return float64(l.lateEndpoints) >= enough
}

// decreaseFactor returns the factor on the window after a round that indicates overload. With few requests
// a round has lasted several round trips; the decrease then applies once for each of them.
func (l *Limiter) decreaseFactor(now time.Duration) float64 {
	roundTrip := max(l.latency.Seconds(), l.tickInterval.Seconds())
	roundTrips := min(1+(now-l.roundEnd).Seconds()/roundTrip, maxRoundTripsPerRound)
	return portable.Pow(windowDecreaseFactor, roundTrips)
}
