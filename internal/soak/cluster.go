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
	segmentCount = 2 // segments of the network; each has its own proxies to the backends
	addressCount = 2 // addresses of discovery and of the counter; a reload switches an ingress between them

	// Calls per second, above the load of any run.
	counterCapacity   = 20_000
	discoveryCapacity = 10_000
)

// anyPort is the listen address for a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// segmentOf returns the network segment of an ingress.
func segmentOf(ingress int) int { return ingress % segmentCount }

// States of an endpoint in discovery.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
)

// cluster contains the services that the ingresses connect to: backends, a counter, and for each segment a proxy for each
// backend and a discovery that lists these proxies.
type cluster struct {
	disruptions  *disruptions
	backends     []*backend
	proxies      [segmentCount][]*faults.Proxy
	discovery    [segmentCount]*discovery
	counter      *standin.Counter
	counterAddrs [addressCount]string
	closers      []func()       // close calls them in reverse order
	goroutines   sync.WaitGroup // goroutines that serve discovery and the counter; the closers end them

	mu     sync.Mutex // guards states
	states []string   // state of each backend in discovery
}

// discovery is the discovery service of one segment.
type discovery struct {
	*standin.Discovery
	addrs [addressCount]string
}

// newCluster starts a cluster. The random numbers of the backends are derived from seed.
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

// serve runs a service on addressCount addresses. It ends when a closer closes the service.
func (cl *cluster) serve(serve func(net.Listener) error) (addrs [addressCount]string, err error) {
	for i := range addrs {
		ln, err := net.Listen("tcp", anyPort)
		if err != nil {
			return addrs, err
		}
		addrs[i] = ln.Addr().String()
		// Ends when the service's closer closes it; the error that Serve then returns is expected.
		cl.goroutines.Go(func() { serve(ln) })
	}
	return addrs, nil
}

// close closes all services and waits for their goroutines.
func (cl *cluster) close() {
	for i := len(cl.closers) - 1; i >= 0; i-- {
		cl.closers[i]()
	}
	cl.goroutines.Wait()
}

// endpoint returns the entry of a backend in the list of a segment. Each group has two backends. The caller holds cl.mu, unless
// the cluster is not yet shared.
func (cl *cluster) endpoint(segment, i int) standin.Target {
	return standin.Target{UID: fmt.Sprint("s", i), Address: cl.proxies[segment][i].Addr(), Zone: "a", Model: "m", Group: i / 2,
		State: cl.states[i], Capacity: 1}
}

// endpoints returns the list of a segment. The caller holds cl.mu, unless the cluster is not yet shared.
func (cl *cluster) endpoints(segment int) (list []standin.Target) {
	for i := range cl.backends {
		list = append(list, cl.endpoint(segment, i))
	}
	return list
}

// currentEndpoints returns the current list of a segment.
func (cl *cluster) currentEndpoints(segment int) []standin.Target {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.endpoints(segment)
}

// setState makes a backend drain or serve, and then reports the change to discovery in all segments.
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
