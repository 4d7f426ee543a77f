package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemontack/policy/balancer"
)

// countingSource counts the draws of a source: a choice draws once for each endpoint that it looks at.
type countingSource struct {
	rand.Source
	draws int
}

func (c *countingSource) Uint64() uint64 {
	c.draws++
	return c.Source.Uint64()
}

func longList(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, Endpoint{ID: EndpointID(fmt.Sprintf("s%06d", i)), State: Serving, Cell: i / 4})
	}
	return out
}

// The cost of a choice does not grow with the list; of a list of usual length it looks at every endpoint.
func TestChoiceLooksAtMaxCandidatesOfALongList(t *testing.T) {
	for _, n := range []int{1, 8, 200, balancer.MaxCandidates, balancer.MaxCandidates + 1, 1000, 1024, 4096, 20_000} {
		g := newTestGateway(t, settings(), longList(n)...)
		src := &countingSource{Source: rand.NewPCG(1, 2)}
		*g.gateway.rng = *rand.New(src) // in place: the balancer has it too
		for id := range RequestID(40) {
			src.draws = 0
			sends := only[Send](g.arrive(id+1, "read", "free"))
			if len(sends) != 1 {
				t.Fatalf("%d endpoints: sends %v", n, sends)
			}
			if looked := src.draws; looked > balancer.MaxCandidates+1 || n <= balancer.MaxCandidates && looked != n {
				t.Fatalf("%d endpoints: %d looked at, want %d at most", n, looked, balancer.MaxCandidates)
			}
			g.handle(AttemptEnded{ID: id + 1, Endpoint: sends[0].Endpoint, Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true})
		}
	}
}

// The endpoints of a long list share the attempts as evenly as those of a short one.
func TestLongListIsUsedEvenly(t *testing.T) {
	const endpoints, attemptsEach = 1000, 60
	g := newTestGateway(t, settings(), longList(endpoints)...)
	sent := map[EndpointID]int{}
	for id := range RequestID(endpoints * attemptsEach) {
		g.now += ms
		s := only[Send](g.arrive(id+1, "read", "free"))[0].Endpoint
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
		t.Errorf("%d of %d endpoints used, one %d times, the mean is %d", len(sent), endpoints, slices.Max(counts), attemptsEach)
	}
}

// Where the sample has no endpoint that may take a request, all are looked at: a request that may have been executed goes
// to the endpoints of one cell alone.
func TestRetryFindsItsCellInALongList(t *testing.T) {
	set := settings()
	set.Classes[1].Deadline = time.Minute
	for seed := range uint64(20) {
		g := newTestGateway(t, set, longList(4000)...)
		*g.gateway.rng = *rand.New(rand.NewPCG(seed, 5))
		q := Request{ID: 1, Class: "book", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + time.Minute}
		s := only[Send](g.handle(Arrival{q}))[0].Endpoint
		got := only[Send](g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: Reset}))
		if len(got) != 1 || g.endpoint(got[0].Endpoint).Cell != g.endpoint(s).Cell || got[0].Endpoint == s {
			t.Fatalf("after %s: sends %v", s, got)
		}
	}
}

// A gateway's share counts the gateways that share its endpoints, not all that there are.
func TestFirstEndpointsSetTheWindowToTheGatewaysShare(t *testing.T) {
	set := settings()
	set.GatewayCount = 6400
	g := newTestGateway(t, set)
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: longList(900), GatewaysPerEndpoint: 30})
	if got, want := g.gateway.balancer.InitialAttempts(), 4.0*900/30; got != want || g.gateway.limiter.Window() != want {
		t.Errorf("initial attempts %v, window %v; want %v", got, g.gateway.limiter.Window(), want)
	}
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: longList(200)})
	if got, want := g.gateway.balancer.InitialAttempts(), 1.0; got != want {
		t.Errorf("initial attempts %v for the entire list, want %v", got, want)
	}
}
