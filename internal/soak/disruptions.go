package soak

import (
	"sync"
	"time"
)

const (
	delaySettleTime     = 3 * time.Second // time after a proxy's delay in which the backend's times are not checked
	notificationTimeout = 6 * time.Second // time after a disruption of discovery in which an ingress may miss changes
)

// disruptions records the times at which parts of the cluster were disrupted, so that the effects of a disruption are not
// reported as violations. It is safe for concurrent use.
type disruptions struct {
	mu                   sync.Mutex                            // guards the fields below
	delayedAt            [segmentCount][backendCount]time.Time // last time that the proxy of a backend delayed traffic
	discoveryDisruptedAt [segmentCount]time.Time               // last disruption of each segment's discovery
}

// recordDelay records that the proxy of a backend delays traffic at the current time.
func (d *disruptions) recordDelay(segment, backend int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayedAt[segment][backend] = time.Now()
}

// recordDiscoveryDisruption records that a segment's discovery is disrupted at the current time.
func (d *disruptions) recordDiscoveryDisruption(segment int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.discoveryDisruptedAt[segment] = time.Now()
}

// isUndelayed reports whether no proxy has delayed a backend's traffic within delaySettleTime.
func (d *disruptions) isUndelayed(backend int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for segment := range segmentCount {
		if time.Since(d.delayedAt[segment][backend]) < delaySettleTime {
			return false
		}
	}
	return true
}

// notificationDeadline returns the time by which an ingress must have received a change from discovery. This is the time of
// the change, unless discovery was disrupted after it, or so shortly before it that the watch may not be open again. Then it is
// notificationTimeout after the later of the change and the disruption.
func (d *disruptions) notificationDeadline(ingress int, changedAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	disruptedAt := d.discoveryDisruptedAt[segmentOf(ingress)]
	switch {
	case disruptedAt.Before(changedAt.Add(-notificationTimeout)):
		return changedAt
	case disruptedAt.Before(changedAt):
		disruptedAt = changedAt
	}
	return disruptedAt.Add(notificationTimeout)
}
