package soak

import (
	"testing"
	"time"
)

// An ingress has to know of a change at once, or in time after a disruption of its own segment's discovery.
func TestNotificationDeadlineIsExtendedByDisruptions(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ disrupted, want time.Duration }{
		"no disruption":  {-time.Hour, 0},
		"long before":    {-notificationTimeout - time.Second, 0},
		"shortly before": {-time.Second, notificationTimeout},
		"after":          {time.Second, time.Second + notificationTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			d := &disruptions{}
			d.discoveryDisruptedAt[1] = now.Add(c.disrupted)
			if got := d.notificationDeadline(3, now).Sub(now); got != c.want {
				t.Fatalf("notified after %v, want %v", got, c.want)
			}
			if got := d.notificationDeadline(2, now); !got.Equal(now) {
				t.Fatal("the other segment's discovery was not disrupted")
			}
		})
	}
}
