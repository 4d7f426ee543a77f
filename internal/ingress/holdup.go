package ingress

import (
	"sync/atomic"
	"time"
)

const (
	beatEvery    = 20 * time.Millisecond // the gateway's goroutine runs at least so often
	heldUpLeast  = 40 * time.Millisecond // between two beats: a longer gap is a hold-up
	heldUpSettle = 30 * time.Millisecond // after a hold-up: by then all that came during it has been read
	heldUpMost   = 150 * time.Millisecond
)

// holdUps notices when the process did not run for a while: it was stopped, or its machine was. What is read after that may
// have come at any time since it last ran, and the time of a request counts from when its last byte came. The gateway's
// goroutine beats; readers of connections ask. heldUpMost is the longest hold-up that deadlines and windows have to allow for
// between reading the clock and writing.
type holdUps struct {
	start             time.Time
	beat, from, until atomic.Int64 // since start; from and until are of the last hold-up
}

func newHoldUps(start time.Time) *holdUps {
	h := &holdUps{start: start}
	h.until.Store(int64(-heldUpSettle))
	return h
}

// pulse is a beat; it returns how long the process was held up before it, or 0.
func (h *holdUps) pulse(now time.Time) time.Duration {
	at := int64(now.Sub(h.start))
	before := h.beat.Swap(at)
	gap := time.Duration(at - before)
	if before == 0 || gap < heldUpLeast {
		return 0
	}
	h.from.Store(before)
	h.until.Store(at)
	return gap
}

// last is the end of the last hold-up, in time since start; negative if there was none.
func (h *holdUps) last() time.Duration { return time.Duration(h.until.Load()) }

// cameBy is the earliest time at which what is read now may have come, so far as hold-ups tell; it is now if there was none.
func (h *holdUps) cameBy(now time.Time) time.Time {
	if h == nil {
		return now
	}
	at := now.Sub(h.start)
	if beat := time.Duration(h.beat.Load()); beat > 0 && at-beat >= heldUpLeast {
		return h.start.Add(beat)
	}
	if at-time.Duration(h.until.Load()) < heldUpSettle {
		return h.start.Add(time.Duration(h.from.Load()))
	}
	return now
}
