package standin

import (
	"testing"
	"time"
)

func TestWarmUpSpeedRisesLinearly(t *testing.T) {
	cold := WarmUp{MinSpeed: 0.5, Duration: 10 * time.Second}
	for _, c := range []struct {
		warmUp WarmUp
		age    time.Duration
		want   float64
	}{
		{WarmUp{}, 0, 1},
		{cold, -time.Second, 0.5},
		{cold, 0, 0.5},
		{cold, 5 * time.Second, 0.75},
		{cold, 10 * time.Second, 1},
		{cold, time.Hour, 1},
	} {
		if got := c.warmUp.Speed(c.age); got != c.want {
			t.Errorf("%+v at age %v: got speed %v, want %v", c.warmUp, c.age, got, c.want)
		}
	}
}
