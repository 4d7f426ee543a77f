package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemontack/policy/balancer"
)

// countingSource counts the draws from a random source. A choice draws one number for each endpoint that it considers.
type countingSource struct {
	rand.Source
	draws int
}

func (source *countingSource) Uint64() uint64 {
	source.draws++
	return source.Source.Uint64()
}

// endpointList returns n serving endpoints, four in each cell.
func endpointList(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, Endpoint{ID: EndpointID(fmt.Sprintf("s%06d", i)), State: Serving, Cell: i / 4})
	}
	return out
}

// The cost of a choice is bounded for a long list; for a list of up to MaxCandidates endpoints it considers all of them.
func TestPickConsidersAtMostMaxCandidatesOfALongList(t *testing.T) {
	for _, n := range []int{1, 8, 200, balancer.MaxCandidates, balancer.MaxCandidates + 1, 1000, 1024, 4096, 20_000} {
		g := newTestGateway(t, testSettings(), endpointList(n)...)
		source := &countingSource{Source: rand.NewPCG(1, 2)}
		*g.gateway.rng = *rand.New(source) // in place, since the balancer shares it
		for id := range RequestID(40) {
			source.draws = 0
			sends := actionsOf[Send](g.sendRequest(id+1, "read", "free"))
			if len(sends) != 1 {
				t.Fatalf("%d endpoints: got sends %v, want one", n, sends)
			}
			if considered := source.draws; considered > balancer.MaxCandidates+1 ||
				n <= balancer.MaxCandidates && considered != n {
				t.Fatalf("%d endpoints: got %d considered, want all, up to %d", n, considered, balancer.MaxCandidates)
			}
			g.handle(AttemptEnded{ID: id + 1, Endpoint: sends[0].Endpoint, Outcome: Succeeded, Latency: 20 * ms,
				RequestFinished: true})
		}
	}
}

// Attempts are distributed evenly over the endpoints of a long list, although each choice considers only a sample.
func TestAttemptsAreDistributedEvenlyOverALongList(t *testing.T) {
	const endpoints, attemptsEach = 1000, 60
	g := newTestGateway(t, testSettings(), endpointList(endpoints)...)
	sent := map[EndpointID]int{}
	for id := range RequestID(endpoints * attemptsEach) {
		g.now += ms
		s := actionsOf[Send](g.sendRequest(id+1, "read", "free"))[0].Endpoint
		sent[s]++
		g.handle(AttemptEnded{ID: id + 1, Endpoint: s, Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true})
		if id%10 == 0 {
			g.handle(TimerFired{})
		}
	}
	counts := []int{}
	for _, n := range sent {
		counts = append(counts, n)
	}
	if len(sent) != endpoints || slices.Max(counts) > 2*attemptsEach {
		t.Errorf("got %d of %d endpoints used, one of them %d times, want all, at most twice the mean of %d", len(sent),
			endpoints, slices.Max(counts), attemptsEach)
	}
}

// A retry of a request that may have been executed considers all endpoints of a long list, since only those of one cell may
// receive it.
func TestRetryStaysInItsCellInALongList(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline = time.Minute
	for seed := range uint64(20) {
		g := newTestGateway(t, settings, endpointList(4000)...)
		*g.gateway.rng = *rand.New(rand.NewPCG(seed, 5))
		request := Request{ID: 1, Class: "book", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + time.Minute}
		s := actionsOf[Send](g.handle(Arrival{request}))[0].Endpoint
		got := actionsOf[Send](g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: Reset}))
		if len(got) != 1 || g.endpoint(got[0].Endpoint).Cell != g.endpoint(s).Cell || got[0].Endpoint == s {
			t.Fatalf("after an attempt at %s: got sends %v, want one to another endpoint of its cell", s, got)
		}
	}
}

// The initial window is the gateway's share among the gateways that use the same endpoints, not among all gateways.
func TestFirstEndpointsSetTheWindowToTheGatewaysShare(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 6400
	g := newTestGateway(t, settings)
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpointList(900), GatewaysPerEndpoint: 30})
	if got, want := g.gateway.balancer.InitialAttempts(), 4.0*900/30; got != want || g.gateway.limiter.Window() != want {
		t.Errorf("got initial attempts %v, window %v; want %v for both", got, g.gateway.limiter.Window(), want)
	}
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpointList(200)})
	if got, want := g.gateway.balancer.InitialAttempts(), 1.0; got != want {
		t.Errorf("got initial attempts %v for the entire list, want %v", got, want)
	}
}
