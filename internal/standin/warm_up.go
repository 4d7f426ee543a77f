package standin

import (
	"math"
	"time"
)

// WarmUp describes how a backend becomes faster after its start. The zero value describes a backend that is never cold.
type WarmUp struct {
	MinSpeed float64       // fraction of the full speed at the start, 0 to 1
	Duration time.Duration // time from the start until full speed; zero means full speed at once
}

// Speed returns the fraction of the full speed at an age. It rises linearly from MinSpeed to 1.
func (warmUp WarmUp) Speed(age time.Duration) float64 {
	if warmUp.Duration == 0 || age >= warmUp.Duration {
		return 1
	}
	progress := max(0, age.Seconds()/warmUp.Duration.Seconds())
	return warmUp.MinSpeed + (1-warmUp.MinSpeed)*progress
}

// OverloadLimit limits the number of attempts that a cold backend receives within Window. The backend crashes above
// N + Slack*(√N + 1) attempts, where N is CapacityMultiple times the number of attempts of mean service time that it can
// serve within Window at its current speed. Slack allows for random variation where N is small.
type OverloadLimit struct {
	CapacityMultiple float64       // zero means that a cold backend never crashes
	Window           time.Duration // length of the sliding window in which attempts are counted
	Slack            float64
}

// MaxArrivals returns the number of attempts within Window that a backend receives without crashing, at a fraction of its
// full speed and with the given number of cores.
func (o OverloadLimit) MaxArrivals(speed float64, cores int, meanServiceSeconds float64) float64 {
	n := o.CapacityMultiple * speed * float64(cores) / meanServiceSeconds * o.Window.Seconds()
	return n + o.Slack*(math.Sqrt(n)+1)
}
