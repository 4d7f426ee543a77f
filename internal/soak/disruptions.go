package soak

import (
	"sync"
	"time"
)

const (
	delaySettleTime     = 3 * time.Second // after a proxy's delay, for which its backend's times are not checked
	notificationTimeout = 6 * time.Second // after a disruption of discovery, by which an ingress has to know what changed
)

// disruptions records which parts of the cluster were disrupted when, so that the effects of a disruption are not taken for
// violations. It is safe for concurrent use.
type disruptions struct {
	mu                   sync.Mutex                            // guards the fields below
	delayedAt            [segmentCount][backendCount]time.Time // when the proxy of a backend last delayed what it forwards
	discoveryDisruptedAt [segmentCount]time.Time               // when discovery was last disrupted
}

// recordDelay records that the proxy of a backend delays what it forwards, now.
func (d *disruptions) recordDelay(segment, backend int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayedAt[segment][backend] = time.Now()
}

// recordDiscoveryDisruption records that a segment's discovery is disrupted, now.
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

// notificationDeadline returns when an ingress has to know of a change in discovery: at once, or notificationTimeout after the last
// disruption, if that came after the change or so shortly before it that a watch may not have been opened again.
func (d *disruptions) notificationDeadline(ingress int, changedAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	disrupted := d.discoveryDisruptedAt[segmentOf(ingress)]
	switch {
	case disrupted.Before(changedAt.Add(-notificationTimeout)):
		return changedAt
	case disrupted.Before(changedAt):
		disrupted = changedAt
	}
	return disrupted.Add(notificationTimeout)
}
