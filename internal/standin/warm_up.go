package standin

import (
	"math"
	"time"
)

// WarmUp says how a backend becomes faster after its start. The zero value is a backend that is never cold.
type WarmUp struct {
	MinSpeed float64       // share of the full speed at the start, 0 to 1
	Duration time.Duration // from the start to the full speed; 0: it has that at once
}

// Speed returns the share of the full speed at an age; it rises evenly from MinSpeed to 1.
func (w WarmUp) Speed(age time.Duration) float64 {
	if w.Duration == 0 || age >= w.Duration {
		return 1
	}
	progress := max(0, age.Seconds()/w.Duration.Seconds())
	return w.MinSpeed + (1-w.MinSpeed)*progress
}

// OverloadLimit says how many attempts a cold backend bears: it crashes when it gets more than N + Slack*(√N + 1) of mean
// service time within Window, N being Multiple times what it can serve in that time at its speed. The slack leaves room
// for chance where N is small.
type OverloadLimit struct {
	CapacityMultiple float64       // 0: a cold backend never crashes
	Window           time.Duration // in which attempts are counted
	Slack            float64
}

// MaxArrivals returns the number of attempts within Window that a backend bears, which works at a share of its full speed on
// so many cores. meanServiceTime is in seconds.
func (o OverloadLimit) MaxArrivals(speed float64, cores int, meanServiceTime float64) float64 {
	n := o.CapacityMultiple * speed * float64(cores) / meanServiceTime * o.Window.Seconds()
	return n + o.Slack*(math.Sqrt(n)+1)
}
