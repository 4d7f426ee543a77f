// Package latency estimates the latency of answers: a moving mean and mean deviation for each class of
// requests, and one mean over all classes.
package latency

import (
	"math"
	"time"
)

// MaxRelative limits the latency recorded for one answer, in multiples of the mean latency of its class, so
// that a single slow answer does not outweigh many others.
const MaxRelative = 8.0

const (
	overallGain = 0.05 // weight of one answer in the mean over all classes
	classGain   = 0.02 // weight of one answer in the estimate of its class, of which fewer answers are seen

	initialDeviationShare = 0.5 // mean deviation after the first answer, as a share of its latency
)

// OverallMean is the mean latency of the answers of all classes. The zero value is the state before the
// first answer. The estimates of all classes share one OverallMean by pointer.
type OverallMean struct {
	mean float64 // seconds
}

// Seconds returns the mean latency in seconds, or 0 before the first answer.
func (o *OverallMean) Seconds() float64 { return o.mean }

// Duration returns the mean latency, or 0 before the first answer.
func (o *OverallMean) Duration() time.Duration { return time.Duration(o.mean * float64(time.Second)) }

func (o *OverallMean) record(seconds float64) {
	o.mean += overallGain * (seconds - o.mean)
}

// Estimate is the moving estimate of the latency of one class.
type Estimate struct {
	overall   *OverallMean
	mean      float64 // seconds; zero before the first answer
	deviation float64 // mean absolute deviation in seconds
}

// NewEstimate returns an estimate without answers. The latencies that it records also count in overall.
func NewEstimate(overall *OverallMean) Estimate { return Estimate{overall: overall} }

// HasSamples reports whether at least one answer has been recorded.
func (e *Estimate) HasSamples() bool { return e.mean > 0 }

// Expected returns the mean latency plus a number of mean deviations, or 0 before the first answer.
func (e *Estimate) Expected(deviations float64) time.Duration {
	return time.Duration((e.mean + deviations*e.deviation) * float64(time.Second))
}

// Record adds the latency of one successful answer. It returns that latency in multiples of the previous
// mean, at most MaxRelative.
func (e *Estimate) Record(latency time.Duration) (relative float64) {
	seconds := latency.Seconds()
	if e.mean == 0 {
		e.mean = seconds
		e.deviation = seconds * initialDeviationShare
		e.overall.mean = max(e.overall.mean, seconds)
	}
	relative = min(seconds/e.mean, MaxRelative)
	clipped := min(seconds, e.mean*MaxRelative)
	e.deviation += classGain * (math.Abs(clipped-e.mean) - e.deviation)
	e.mean += classGain * (clipped - e.mean)
	e.overall.record(clipped)
	return relative
}
