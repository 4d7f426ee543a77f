package policy

import (
	"math"
	"time"
)

// This file estimates how long answers of a class take. What follows from an estimate is decided elsewhere.

const latencyGain = 0.02 // of one answer of a server

// classState is a class, with how long its answers take.
type classState struct {
	Class
	meanLatency, latencyDeviation float64 // latency of answers, seconds
	timelySamples, lateSamples    int     // timely and untimely ends in this round
}

// expectedLatency is the latency to reckon with: the mean, and so many mean deviations more.
func (c *classState) expectedLatency(devs float64) time.Duration {
	return time.Duration((c.meanLatency + devs*c.latencyDeviation) * float64(time.Second))
}

// recordLatency takes one latency in, in seconds.
func (c *classState) recordLatency(latency float64) {
	c.latencyDeviation += latencyGain * (math.Abs(latency-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += latencyGain * (latency - c.meanLatency)
}

// meanAnswerTime is the mean latency of answers.
func (g *Gateway) meanAnswerTime() time.Duration {
	return max(time.Duration(g.meanLatency*float64(time.Second)), g.tickInterval)
}
