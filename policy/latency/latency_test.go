package latency

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestFirstAnswerSetsTheEstimate(t *testing.T) {
	var overall OverallMean
	e := NewEstimate(&overall)
	if e.HasSamples() || e.Expected(3) != 0 || overall.Duration() != 0 {
		t.Fatalf("before the first answer: got samples %v, expected %v, overall %v; want false, 0, 0", e.HasSamples(),
			e.Expected(3), overall.Duration())
	}
	if relative := e.Record(100 * ms); relative != 1 {
		t.Errorf("got relative latency %v for the first answer, want 1", relative)
	}
	if !e.HasSamples() || e.Expected(0) != 100*ms || overall.Duration() != 100*ms {
		t.Errorf("got samples %v, expected %v, overall %v; want true, 100ms, 100ms", e.HasSamples(),
			e.Expected(0), overall.Duration())
	}
	if got := e.Expected(1); got < 148*ms || got > 150*ms {
		t.Errorf("got expected latency %v with one deviation, want 148ms to 150ms", got)
	}
}

func TestVerySlowAnswerCountsAsMaxRelative(t *testing.T) {
	var overall OverallMean
	e := NewEstimate(&overall)
	e.Record(100 * ms)
	if relative := e.Record(time.Hour); relative != MaxRelative {
		t.Errorf("got relative latency %v, want %v", relative, MaxRelative)
	}
	if got, want := e.Expected(0).Seconds(), 0.1+classGain*(0.8-0.1); math.Abs(got-want) > 1e-6 {
		t.Errorf("got mean %v, want %v", got, want)
	}
}

func TestOverallMeanStartsWithTheSlowestClass(t *testing.T) {
	var overall OverallMean
	slow, fast := NewEstimate(&overall), NewEstimate(&overall)
	slow.Record(400 * ms)
	fast.Record(10 * ms)
	if got := overall.Duration(); got < 350*ms || got > 400*ms {
		t.Errorf("got overall mean %v after the first answer of a second class, want 350ms to 400ms", got)
	}
}
