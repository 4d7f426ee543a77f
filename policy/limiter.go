package policy

import (
	"math"
	"time"
)

const (
	lateSampleThreshold   = 0.1  // share of untimely answers in a round that narrows the window
	minLateEndpointShare  = 0.25 // untimely answers from fewer servers are theirs, not the fleet's
	maxWindowIncrease     = 0.05 // growth of a small window by one timely answer
	windowDecreaseFactor  = 0.85 // multiplicative decrease
	minWindow             = 0.1  // so that a gateway still learns: an attempt each ten round trips
	maxRoundTripsPerRound = 4.0  // round trips that a round stands for at most: half the window
)

// initialWindow is this gateway's part of a few attempts for each server: the window's start, the retries saved up.
func (g *Gateway) initialWindow() float64 {
	return max(1, initialAttemptsPerEndpoint*float64(len(g.serving))/g.gatewaysPerEndpoint)
}

// windowHasCapacity says whether the window lets another attempt out; below one they go one by one, with pauses.
func (g *Gateway) windowHasCapacity() bool {
	return float64(g.inFlight) < g.window && (g.window >= 1 || (g.now-g.lastSend).Seconds() >= g.meanLatency/g.window)
}

// recordSample counts an attempt's end towards the window. A late answer of a server that says that nothing waits
// there was long work or comes from a slow machine: no sign that the back end is full.
func (g *Gateway) recordSample(a *attempt, c *classState, o Outcome, took time.Duration, load LoadReport) {
	waiting, told := load.QueueLength()
	switch {
	case o == Rejected || o == TimedOut || o == Succeeded && took > c.LatencyObjective/3 && (waiting >= 1 || !told):
		g.lateSamples++
		c.lateSamples++
		if a.endpoint.lastLateRound != g.roundNumber {
			a.endpoint.lastLateRound = g.roundNumber
			g.lateEndpoints++
		}
	case o == Succeeded:
		g.timelySamples++
		c.timelySamples++
		if float64(g.inFlight) >= 0.8*g.window-1 || len(g.queue) > 0 {
			g.window += min(1/g.window, g.window*maxWindowIncrease)
		}
	}
}

// closeRound narrows the window, once a round trip at most, where many servers answer late or turn work away.
func (g *Gateway) closeRound() {
	n := float64(g.timelySamples + g.lateSamples)
	if g.now < g.roundEnd || n < 8 && g.lateSamples < 3 {
		return
	}
	least := float64(g.lateSamples) / n // long calls of one class are not a full back end: the best class tells
	for _, c := range g.classes {
		if m := c.timelySamples + c.lateSamples; m >= 4 {
			least = min(least, float64(c.lateSamples)/float64(m))
		}
		c.timelySamples, c.lateSamples = 0, 0
	}
	fleet := float64(len(g.serving))
	if least > lateSampleThreshold && float64(g.lateEndpoints) >= max(min(3, fleet), minLateEndpointShare*min(n, fleet)) {
		// Scarce evidence fills a round slowly: it then stands for all the round trips that have gone by.
		trips := min(1+(g.now-g.roundEnd).Seconds()/max(g.meanLatency, g.tickInterval.Seconds()), maxRoundTripsPerRound)
		g.window = max(g.window*math.Pow(windowDecreaseFactor, trips), minWindow, fleet/g.gatewaysPerEndpoint)
	}
	g.timelySamples, g.lateSamples, g.lateEndpoints = 0, 0, 0
	g.roundNumber++
	g.roundEnd = g.now + max(time.Duration(g.meanLatency*float64(time.Second)), 2*g.tickInterval)
}
