package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/standin"
)

// clientGroup holds the clients of many gateways that share one discovery service, on a simulated clock.
type clientGroup struct {
	service        *standin.Discovery
	listener       *standin.PipeListener
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	clients        []*Client
	mu             sync.Mutex
	firstPublished []map[int64]time.Time // time of the first publication by revision, for each client
}

// startClients starts n clients at the same time, all with a known list of revision 1.
func startClients(n int, isPolling bool, seed uint64, service *standin.Discovery) *clientGroup {
	ctx, cancel := context.WithCancel(context.Background())
	group := &clientGroup{service: service, listener: standin.NewPipeListener(), cancel: cancel}
	group.goroutines.Go(func() { service.Serve(group.listener) })
	for i := range n {
		published := map[int64]time.Time{}
		config := Config{
			Address:   "127.0.0.1:1",
			KnownList: EndpointList{Revision: 1},
			Settings:  singleGateway(),
			Random:    rand.New(rand.NewPCG(seed, uint64(i))),
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return group.listener.Dial(ctx)
			},
		}
		client := NewClient(config, func(list EndpointList) {
			group.mu.Lock()
			defer group.mu.Unlock()
			if published[list.Revision].IsZero() {
				published[list.Revision] = time.Now()
			}
		}, discardLog)
		client.timings = newCallTimings(isPolling, n, true)
		group.firstPublished, group.clients = append(group.firstPublished, published), append(group.clients, client)
		group.goroutines.Go(func() { client.Run(ctx) })
	}
	return group
}

func (group *clientGroup) close() {
	group.cancel()
	group.service.Close()
	group.goroutines.Wait()
}

// lastPublished returns the delay from the given time until the last client published the revision or a later one, and the
// number of clients that did not.
func (group *clientGroup) lastPublished(revision int64, since time.Time) (delay time.Duration, missing int) {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, published := range group.firstPublished {
		first := time.Time{}
		for r, t := range published {
			if r >= revision && (first.IsZero() || t.Before(first)) {
				first = t
			}
		}
		if first.IsZero() {
			missing++
		} else {
			delay = max(delay, first.Sub(since))
		}
	}
	return delay, missing
}

func target(i int, state string) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Address: "127.0.0.1:9", State: state}
}

// outage causes a fault of discovery. It returns the revision that clients have to publish, and the time from which the deadline
// counts: when discovery has the revision and is reachable, or when the watches have fallen silent.
type outage func(group *clientGroup) (revision int64, since time.Time)

// isShortSilence reports whether open watches are silent for too short a time to be detected during the fault. The deadline
// of a silent watch then applies, even where lists are pushed.
func isShortSilence(name string) bool {
	return name == "watches fall silent" || name == "silent for 100ms" || name == "silent for 1.3s"
}

// unavailableFor puts discovery into a state for the duration d, after the delay start. At the end of the outage an endpoint
// starts draining.
func unavailableFor(start time.Duration, state standin.ServiceState, d time.Duration) outage {
	return func(group *clientGroup) (int64, time.Time) {
		time.Sleep(start)
		group.service.SetState(state)
		time.Sleep(d)
		revision := group.service.ApplyChange(target(0, "DRAINING"))
		group.service.SetState(standin.Up)
		return revision, time.Now()
	}
}

// outages returns the faults in which a client may miss a change, by name.
func outages() map[string]outage {
	cases := map[string]outage{
		"start": func(group *clientGroup) (int64, time.Time) {
			return group.service.ApplyChange(target(0, "DRAINING")), time.Now()
		},
		"watches fall silent": func(group *clientGroup) (int64, time.Time) {
			time.Sleep(20*time.Second + heartbeatInterval/2)
			group.service.SilenceWatches()
			return group.service.ApplyChange(target(0, "DRAINING")), time.Now()
		},
		"watches end": func(group *clientGroup) (int64, time.Time) {
			time.Sleep(20 * time.Second)
			group.service.DisconnectWatches()
			return group.service.ApplyChange(target(0, "DRAINING")), time.Now()
		},
		"watches end, then silence": func(group *clientGroup) (int64, time.Time) {
			time.Sleep(20 * time.Second)
			group.service.DisconnectWatches()
			return unavailableFor(20*time.Second, standin.Silent, 3*time.Second)(group)
		},
	}
	for name, state := range map[string]standin.ServiceState{"silent": standin.Silent, "down": standin.Down} {
		for _, d := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 3900 * time.Millisecond,
			8 * time.Second, 41 * time.Second} {
			cases[fmt.Sprintf("%s for %v", name, d)] = unavailableFor(20*time.Second, state, d)
			cases[fmt.Sprintf("started %s for %v", name, d)] = unavailableFor(0, state, d)
		}
	}
	return cases
}

// After any outage, each client publishes a change within the deadline once discovery has it and is reachable. Even 300
// clients do not overload a discovery service that serves 100 calls per second in sequence, including those of disconnected
// callers.
func TestAllClientsPublishAChangeWithinTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name      string
		n         int
		isPolling bool
		deadline  time.Duration
		config    standin.DiscoveryConfig
	}{
		{"300 polling", 300, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"300 polling, calls time out in the queue", 300, true, changeDeadline,
			standin.DiscoveryConfig{CallsPerSecond: 120, QueueTimeout: time.Second}},
		{"9 polling", 9, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"4 polling", 4, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"pushed", 1, false, pushDeadline, standin.DiscoveryConfig{}},
	} {
		for name, causeOutage := range outages() {
			deadline := c.deadline
			if isShortSilence(name) {
				deadline = changeDeadline
			}
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					service := standin.NewDiscovery(c.config)
					service.SetList([]standin.Target{target(0, stateServing), target(1, stateServing)})
					group := startClients(c.n, c.isPolling, 7, service)
					defer group.close()
					revision, since := causeOutage(group)
					time.Sleep(3 * changeDeadline)
					delay, missing := group.lastPublished(revision, since)
					if missing > 0 || delay > deadline {
						t.Errorf("%d clients missed the change, the last published it after %v; want none, within %v; %+v", missing,
							delay, deadline, service.Stats())
					}
				})
			})
		}
	}
}

// When the address changes for all clients at the same time, all publish a change from the new address within the deadline.
func TestAllClientsPublishFromANewAddressWithinTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewDiscovery(standin.DiscoveryConfig{CallsPerSecond: 100})
		service.SetList([]standin.Target{target(0, stateServing)})
		group := startClients(300, true, 7, service)
		defer group.close()
		time.Sleep(20 * time.Second)
		service.SilenceWatches() // the watches at the old address receive nothing more
		revision, since := service.ApplyChange(target(0, "DRAINING")), time.Now()
		for _, client := range group.clients {
			client.SetAddress("127.0.0.1:2")
		}
		time.Sleep(3 * addressChangeDeadline)
		if delay, missing := group.lastPublished(revision, since); missing > 0 || delay > addressChangeDeadline {
			t.Errorf("%d clients missed the change, the last published it after %v; want none, within %v", missing, delay,
				addressChangeDeadline)
		}
	})
}
