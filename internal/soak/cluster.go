package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"lemontack/internal/faults"
	"lemontack/internal/standin"
)

const (
	backendCount = 8
	segmentCount = 2 // of the network: each reaches the backends through proxies of its own
	addressCount = 2 // of each of discovery and the counter; a reloaded configuration moves an ingress between them

	// Capacities that no run comes near, in calls a second.
	counterCapacity   = 20_000
	discoveryCapacity = 10_000
)

// anyPort is a free port of the loopback interface, as an address to listen on.
const anyPort = "127.0.0.1:0"

// segmentOf returns the segment of the network that an ingress is in.
func segmentOf(ingress int) int { return ingress % segmentCount }

// States of an endpoint, as discovery names them.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
)

// cluster is what the ingresses talk to: backends behind a proxy for each segment, a discovery for each segment, which lists
// these proxies, and a counter.
type cluster struct {
	disruptions  *disruptions
	backends     []*backend
	proxies      [segmentCount][]*faults.Proxy
	discovery    [segmentCount]*discovery
	counter      *standin.Counter
	counterAddrs [addressCount]string
	closers      []func()       // called in reverse order by close
	serving      sync.WaitGroup // of discovery and the counter; the closers end it

	mu     sync.Mutex // guards states
	states []string   // of the backends, as discovery lists them
}

// discovery is the discovery of one segment.
type discovery struct {
	*standin.Discovery
	addrs [addressCount]string
}

// newCluster starts a cluster. What the backends of it draw comes from seed.
func newCluster(c *checker, seed uint64) (_ *cluster, err error) {
	cl := &cluster{disruptions: c.disruptions}
	defer func() {
		if err != nil {
			cl.close()
		}
	}()
	for i := range backendCount {
		if err := cl.addBackend(c, i, rand.New(rand.NewPCG(seed, uint64(i)+1))); err != nil {
			return nil, fmt.Errorf("start backend %d: %w", i, err)
		}
	}
	for segment := range segmentCount {
		if err := cl.startDiscovery(segment); err != nil {
			return nil, fmt.Errorf("start discovery: %w", err)
		}
	}
	cl.counter = standin.NewCounter(standin.CounterConfig{CallsPerSecond: counterCapacity})
	cl.closers = append(cl.closers, cl.counter.Close)
	if cl.counterAddrs, err = cl.serve(cl.counter.Serve); err != nil {
		return nil, fmt.Errorf("start counter: %w", err)
	}
	return cl, nil
}

func (cl *cluster) addBackend(c *checker, index int, rng *rand.Rand) error {
	b, err := newBackend(c, index, rng)
	if err != nil {
		return err
	}
	cl.closers = append(cl.closers, b.close)
	cl.backends = append(cl.backends, b)
	cl.states = append(cl.states, stateServing)
	for segment := range segmentCount {
		p, err := faults.NewProxy(b.addr())
		if err != nil {
			return err
		}
		cl.closers = append(cl.closers, p.Close)
		cl.proxies[segment] = append(cl.proxies[segment], p)
	}
	return nil
}

func (cl *cluster) startDiscovery(segment int) (err error) {
	d := &discovery{Discovery: standin.NewDiscovery(standin.DiscoveryConfig{CallsPerSecond: discoveryCapacity})}
	d.SetList(cl.endpoints(segment))
	cl.closers = append(cl.closers, func() { d.Close() })
	cl.discovery[segment] = d
	d.addrs, err = cl.serve(d.Serve)
	return err
}

// serve serves one service on all its addresses until a closer ends it.
func (cl *cluster) serve(serve func(net.Listener) error) (addrs [addressCount]string, err error) {
	for i := range addrs {
		ln, err := net.Listen("tcp", anyPort)
		if err != nil {
			return addrs, err
		}
		addrs[i] = ln.Addr().String()
		// close waits for this goroutine; the service's closer ends it. That it then returns an error is of no interest.
		cl.serving.Go(func() { serve(ln) })
	}
	return addrs, nil
}

// close ends all services and waits for their goroutines.
func (cl *cluster) close() {
	for i := len(cl.closers) - 1; i >= 0; i-- {
		cl.closers[i]()
	}
	cl.serving.Wait()
}

// endpoint returns a backend's entry in the list of one segment. Two backends each are in one group.
func (cl *cluster) endpoint(segment, i int) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Endpoint: cl.proxies[segment][i].Addr(), Zone: "a", Model: "m", Group: i / 2,
		State: cl.states[i], Capacity: 1}
}

// endpoints returns the list of one segment; cl.mu is held, or nothing else knows the cluster yet.
func (cl *cluster) endpoints(segment int) (list []standin.Target) {
	for i := range cl.backends {
		list = append(list, cl.endpoint(segment, i))
	}
	return list
}

// currentEndpoints returns the list of one segment as discovery tells it now.
func (cl *cluster) currentEndpoints(segment int) []standin.Target {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.endpoints(segment)
}

// setState makes a backend drain or serve again, and then reports that to discovery in all segments.
func (cl *cluster) setState(i int, state string) {
	cl.mu.Lock()
	cl.states[i] = state
	var changes [segmentCount]standin.Target
	for segment := range segmentCount {
		changes[segment] = cl.endpoint(segment, i)
	}
	cl.mu.Unlock()
	cl.backends[i].setDraining(state == stateDraining)
	for segment, change := range changes {
		cl.discovery[segment].ApplyChange(change)
	}
}
