package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metric says what a histogram of times is about.
type metric int

const (
	// Processor time of the decision module for an event.
	metricArrival metric = iota
	metricAttemptEnd
	metricCounterReply
	metricChange
	metricSnapshot
	metricTimer

	metricAddedLatency // of a request, from its arrival to its first attempt
	metricLateness     // of an arrival, behind the clock of its ingress

	metricCount
)

const (
	recorderShards    = 8 // so that hundreds of ingresses seldom wait for one another
	maxRecordedTime   = 60 * time.Second
	significantDigits = 2 // of a histogram: errors of at most 1%
)

// histograms holds a histogram of times in ns for each metric.
type histograms [metricCount]*hdrhistogram.Histogram

func newHistograms() histograms {
	var h histograms
	for m := range h {
		h[m] = newHistogram()
	}
	return h
}

// merge adds what other has recorded; other stays as it is.
func (hs *histograms) merge(other histograms) {
	for m := range hs {
		hs[m].Merge(other[m])
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
}

// recordTime adds a time to a histogram of newHistogram; one outside its bounds counts as the nearest bound.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(int64(min(max(d, 1), maxRecordedTime))) // fails only for values outside the bounds
}

// timeRecorder gathers times of many hollow ingresses. It is safe for concurrent use.
type timeRecorder struct {
	shards [recorderShards]struct {
		mu         sync.Mutex // guards histograms
		histograms histograms
	}
}

// newTimeRecorder returns a recorder without times.
func newTimeRecorder() *timeRecorder {
	r := &timeRecorder{}
	for i := range r.shards {
		r.shards[i].histograms = newHistograms()
	}
	return r
}

// record adds a time of one ingress.
func (recorder *timeRecorder) record(ingress int, m metric, d time.Duration) {
	shard := &recorder.shards[ingress%recorderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	recordTime(shard.histograms[m], d)
}

// drain returns what was recorded since the last call.
func (recorder *timeRecorder) drain() histograms {
	sum := newHistograms()
	for i := range recorder.shards {
		shard := &recorder.shards[i]
		shard.mu.Lock()
		sum.merge(shard.histograms)
		for _, h := range shard.histograms {
			h.Reset()
		}
		shard.mu.Unlock()
	}
	return sum
}
