package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metric is what a histogram is about.
type metric int

// Processor time of the module by event, then what requests wait.
const (
	metricArrival metric = iota
	metricAttemptEnd
	metricCounterReply // of the counter
	metricChange
	metricSnapshot
	metricTimer
	metricAddedLatency // from the arrival to the first attempt
	metricLateness     // of a hollow ingress behind its own clock
	metricCount
)

const (
	recorderShards    = 8 // so that hundreds of ingresses seldom wait for one another
	maxRecordedTime   = 60 * time.Second
	significantDigits = 2 // that a histogram tells apart: 1%
)

// Recorder holds histograms of times, in ns, of many hollow ingresses.
type Recorder struct {
	shards [recorderShards]struct {
		mu    sync.Mutex
		kinds [metricCount]*hdrhistogram.Histogram
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
}

// NewRecorder returns an empty one.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		for k := range r.shards[i].kinds {
			r.shards[i].kinds[k] = newHistogram()
		}
	}
	return r
}

func (r *Recorder) record(who int, k metric, d time.Duration) {
	p := &r.shards[who%recorderShards]
	p.mu.Lock()
	p.kinds[k].RecordValue(int64(min(max(d, 1), maxRecordedTime))) // always within its bounds
	p.mu.Unlock()
}

// drain returns what was recorded since the last call.
func (r *Recorder) drain() [metricCount]*hdrhistogram.Histogram {
	var sum [metricCount]*hdrhistogram.Histogram
	for k := range sum {
		sum[k] = newHistogram()
	}
	for i := range r.shards {
		p := &r.shards[i]
		p.mu.Lock()
		for k, h := range p.kinds {
			sum[k].Merge(h)
			h.Reset()
		}
		p.mu.Unlock()
	}
	return sum
}
