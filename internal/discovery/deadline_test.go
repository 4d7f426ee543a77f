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

// clientGroup is the clients of many gateways with one discovery service, on a simulated clock.
type clientGroup struct {
	service   *standin.Discovery
	listener  *standin.PipeListener
	cancel    context.CancelFunc
	running   sync.WaitGroup
	clients   []*Client
	mu        sync.Mutex
	published []map[int64]time.Time // by client, when it first published a revision
}

// startClients starts n clients that know revision 1 at one moment.
func startClients(n int, polls bool, seed uint64, service *standin.Discovery) *clientGroup {
	ctx, cancel := context.WithCancel(context.Background())
	group := &clientGroup{service: service, listener: standin.NewPipeListener(), cancel: cancel}
	group.running.Go(func() { service.Serve(group.listener) })
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
		}, quiet)
		client.policy = newPollPolicy(polls, n, true)
		group.published, group.clients = append(group.published, published), append(group.clients, client)
		group.running.Go(func() { client.Run(ctx) })
	}
	return group
}

func (group *clientGroup) close() {
	group.cancel()
	group.service.Close()
	group.running.Wait()
}

// latest returns how long after a moment the last client published a revision, and how many did not.
func (group *clientGroup) latest(revision int64, since time.Time) (last time.Duration, missing int) {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, published := range group.published {
		at := time.Time{}
		for r, t := range published {
			if r >= revision && (at.IsZero() || t.Before(at)) {
				at = t
			}
		}
		if at.IsZero() {
			missing++
		} else {
			last = max(last, at.Sub(since))
		}
	}
	return last, missing
}

func target(i int, state string) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Endpoint: "127.0.0.1:9", State: state}
}

// outage is a fault of discovery. It returns the revision that is to be published, and the moment from which on
// discovery had it and could be reached (or the watch was silent).
type outage func(group *clientGroup) (revision int64, since time.Time)

// isShortSilence reports whether the fault leaves open watches silent for too short a time to be noticed before it is over:
// these have the deadline of a silent watch, also where lists are pushed.
func isShortSilence(name string) bool {
	return name == "watches fall silent" || name == "silent for 100ms" || name == "silent for 1.3s"
}

// unavailable lets discovery be in a state for a while, some time after the start of all clients; meanwhile an endpoint
// starts draining.
func unavailable(start time.Duration, state standin.ServiceState, d time.Duration) outage {
	return func(group *clientGroup) (int64, time.Time) {
		time.Sleep(start)
		group.service.SetState(state)
		time.Sleep(d)
		revision := group.service.ApplyChange(target(0, "DRAINING"))
		group.service.SetState(standin.Up)
		return revision, time.Now()
	}
}

// outages are all the ways in which a client may miss a change.
func outages() map[string]outage {
	all := map[string]outage{
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
			return unavailable(20*time.Second, standin.Silent, 3*time.Second)(group)
		},
	}
	for name, state := range map[string]standin.ServiceState{"silent": standin.Silent, "down": standin.Down} {
		for _, d := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 3900 * time.Millisecond,
			8 * time.Second, 41 * time.Second} {
			all[fmt.Sprintf("%s for %v", name, d)] = unavailable(20*time.Second, state, d)
			all[fmt.Sprintf("started %s for %v", name, d)] = unavailable(0, state, d)
		}
	}
	return all
}

// Whatever has happened to its calls, each client publishes a change within the deadline after discovery had it
// and could be reached, and 300 of them do not overload a discovery that serves 100 calls a second, one after another, those
// of disconnected callers too.
func TestAllClientsLearnChangesWithinTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name     string
		n        int
		polls    bool
		deadline time.Duration
		config   standin.DiscoveryConfig
	}{
		{"300 polling", 300, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"300 polling, calls time out in the queue", 300, true, changeDeadline,
			standin.DiscoveryConfig{CallsPerSecond: 120, QueueTimeout: time.Second}},
		{"9 polling", 9, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"4 polling", 4, true, changeDeadline, standin.DiscoveryConfig{CallsPerSecond: 100}},
		{"pushed", 1, false, pushDeadline, standin.DiscoveryConfig{}},
	} {
		for name, fail := range outages() {
			deadline := c.deadline
			if isShortSilence(name) {
				deadline = changeDeadline
			}
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					service := standin.NewDiscovery(c.config)
					service.SetList([]standin.Target{target(0, stateServing), target(1, stateServing)})
					group := startClients(c.n, c.polls, 7, service)
					defer group.close()
					revision, since := fail(group)
					time.Sleep(3 * changeDeadline)
					last, missing := group.latest(revision, since)
					if missing > 0 || last > deadline {
						t.Errorf("%d without the change, the last after %v; %+v", missing, last, service.Stats())
					}
				})
			})
		}
	}
}

// When the address changes for all clients at one moment, all learn from the new discovery within the deadline of a move.
func TestAllClientsFollowAnAddressChangeWithinTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewDiscovery(standin.DiscoveryConfig{CallsPerSecond: 100})
		service.SetList([]standin.Target{target(0, stateServing)})
		group := startClients(300, true, 7, service)
		defer group.close()
		time.Sleep(20 * time.Second)
		service.SilenceWatches() // the old address delivers nothing more
		revision, since := service.ApplyChange(target(0, "DRAINING")), time.Now()
		for _, client := range group.clients {
			client.ChangeAddress("127.0.0.1:2")
		}
		time.Sleep(3 * moveDeadline)
		if last, missing := group.latest(revision, since); missing > 0 || last > moveDeadline {
			t.Errorf("%d without the change, the last after %v", missing, last)
		}
	})
}
