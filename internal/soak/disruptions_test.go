package soak

import (
	"testing"
	"time"
)

// The deadline is extended only by a disruption of discovery in the segment of the ingress.
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
				t.Fatalf("got deadline %v after the change, want %v", got, c.want)
			}
			if got := d.notificationDeadline(2, now); !got.Equal(now) {
				t.Fatalf("undisrupted segment: got deadline %v, want %v", got, now)
			}
		})
	}
}
