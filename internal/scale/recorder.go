package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// kind is what a histogram is about.
type kind int

// Processor time of the module by event, then what requests wait.
const (
	handleArrival kind = iota
	handleAnswer
	handleReply // of the counter
	handleChange
	handleList
	handleTick
	addedLatency // from the arrival to the first attempt
	lateness     // of a hollow ingress behind its own clock
	kinds
)

const (
	recorderParts = 8 // so that hundreds of ingresses seldom wait for one another
	longestTime   = 60 * time.Second
	digits        = 2 // that a histogram tells apart: 1%
)

// Recorder holds histograms of times, in ns, of many hollow ingresses.
type Recorder struct {
	parts [recorderParts]struct {
		mu    sync.Mutex
		kinds [kinds]*hdrhistogram.Histogram
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longestTime), digits)
}

// NewRecorder returns an empty one.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.parts {
		for k := range r.parts[i].kinds {
			r.parts[i].kinds[k] = newHistogram()
		}
	}
	return r
}

func (r *Recorder) add(who int, k kind, d time.Duration) {
	p := &r.parts[who%recorderParts]
	p.mu.Lock()
	p.kinds[k].RecordValue(int64(min(max(d, 1), longestTime))) // always within its bounds
	p.mu.Unlock()
}

// take returns what was recorded since the last call.
func (r *Recorder) take() [kinds]*hdrhistogram.Histogram {
	var sum [kinds]*hdrhistogram.Histogram
	for k := range sum {
		sum[k] = newHistogram()
	}
	for i := range r.parts {
		p := &r.parts[i]
		p.mu.Lock()
		for k, h := range p.kinds {
			sum[k].Merge(h)
			h.Reset()
		}
		p.mu.Unlock()
	}
	return sum
}
