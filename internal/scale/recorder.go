package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metric is the kind of time that a histogram holds.
type metric int

const (
	// Times that the policy takes to handle an event.
	metricArrival metric = iota
	metricAttemptEnd
	metricCounterReply
	metricChange
	metricSnapshot
	metricTimer

	metricAddedLatency // time from the arrival of a request to its first attempt
	metricLateness     // delay of an arrival behind the clock of its ingress

	metricCount
)

const (
	recorderShards    = 8 // each has its own lock, which reduces contention among hundreds of ingresses
	maxRecordedTime   = 60 * time.Second
	significantDigits = 2 // precision of a histogram, for errors of at most 1%
)

// histograms holds a histogram of times in ns for each metric.
type histograms [metricCount]*hdrhistogram.Histogram

func newHistograms() histograms {
	var hs histograms
	for m := range hs {
		hs[m] = newHistogram()
	}
	return hs
}

// merge adds the recorded times of other, which does not change.
func (hs *histograms) merge(other histograms) {
	for m := range hs {
		hs[m].Merge(other[m])
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
}

// recordTime adds a time to a histogram that newHistogram returned; a time outside its bounds counts as the nearest bound.
func recordTime(histogram *hdrhistogram.Histogram, d time.Duration) {
	histogram.RecordValue(int64(min(max(d, 1), maxRecordedTime))) // fails only for values outside the bounds
}

// timeRecorder collects times of many hollow ingresses. It is safe for concurrent use.
type timeRecorder struct {
	shards [recorderShards]struct {
		mu         sync.Mutex // guards histograms
		histograms histograms
	}
}

func newTimeRecorder() *timeRecorder {
	recorder := &timeRecorder{}
	for i := range recorder.shards {
		recorder.shards[i].histograms = newHistograms()
	}
	return recorder
}

// record adds a time of the ingress at an index.
func (recorder *timeRecorder) record(ingress int, m metric, d time.Duration) {
	shard := &recorder.shards[ingress%recorderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	recordTime(shard.histograms[m], d)
}

// drain returns the times recorded since the last call.
func (recorder *timeRecorder) drain() histograms {
	sum := newHistograms()
	for i := range recorder.shards {
		shard := &recorder.shards[i]
		shard.mu.Lock()
		sum.merge(shard.histograms)
		for _, histogram := range shard.histograms {
			histogram.Reset()
		}
		shard.mu.Unlock()
	}
	return sum
}
