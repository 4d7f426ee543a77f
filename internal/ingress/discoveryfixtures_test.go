package ingress

import (
	"fmt"
	"testing"

	"lemontack/internal/discovery"
	"lemontack/internal/nettest"
	"lemontack/internal/standin"
)

// startDiscovery starts a discovery service with a list. Lists sent to changes become watch events with increasing revisions.
func startDiscovery(t *testing.T, list discovery.EndpointList, changes <-chan discovery.EndpointList) string {
	t.Helper()
	service := standin.NewDiscovery(standin.DiscoveryConfig{InitialRevision: list.Revision - 1})
	service.SetList(standinTargets(list))
	ln, done := nettest.Listen(t), make(chan struct{})
	go service.Serve(ln) // ended by Close
	go func() {          // ended by done
		for {
			select {
			case <-done:
				return
			case change := <-changes:
				if change.IsSnapshot {
					service.SetList(standinTargets(change))
				} else {
					service.ApplyChange(standinTargets(change)...)
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		service.Close()
	})
	return ln.Addr().String()
}

// standinTargets converts the entries of a list to targets of the stand-in discovery service.
func standinTargets(list discovery.EndpointList) []standin.Target {
	targets := make([]standin.Target, len(list.Entries))
	for i, entry := range list.Entries {
		targets[i] = standin.Target(entry)
	}
	return targets
}

// endpointsAt returns a list of serving endpoints s0, s1 and so on at the given addresses.
func endpointsAt(addrs ...string) discovery.EndpointList {
	list := discovery.EndpointList{Revision: 1, IsSnapshot: true}
	for i, addr := range addrs {
		list.Entries = append(list.Entries, discovery.Entry{UID: fmt.Sprint("s", i), Address: addr, Zone: "a", State: "SERVING"})
	}
	return list
}
