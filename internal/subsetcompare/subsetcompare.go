// Package subsetcompare simulates methods of deterministic subsetting, by which each of many gateways keeps connections
// to a part of the backends only, and compares how evenly they spread load and how much they move when the fleet
// changes. The methods are the hash ring of internal/subset, which the ingress uses, rendezvous hashing and shuffled
// rounds. The package is not part of the ingress.
package subsetcompare

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"lemontack/internal/subset"
)

// Scenario describes the gateways of a fleet and how many backends each is to keep.
type Scenario struct {
	GatewayCount int                   // number of gateways
	TargetSize   int                   // entries that a subset aims at, as in subset.Config
	MaxSize      int                   // entries that a subset may hold, as in subset.Config
	ZoneOf       func(gateway int) int // zone of a gateway
	ZoneAware    bool                  // the gateways know their zones, and traffic between zones costs more
}

// Subset returns the subset of one gateway, as the ingress builds it.
func (p Scenario) Subset(gateway int) *subset.Subset {
	c := subset.Config{Index: gateway, GatewayCount: p.GatewayCount, TargetSize: p.TargetSize, MaxSize: p.MaxSize}
	if p.ZoneAware {
		c.Zone, c.CrossZonePrice = ZoneName(p.ZoneOf(gateway)), 1
	}
	return subset.New(c)
}

// Method is a way of subsetting.
type Method interface {
	// Select appends the indices of the backends that the gateway keeps to out.
	Select(gateway int, out []int32) []int32
}

// Ring selects what subset.Subset does, but looks arcs up in the sorted ring in place of scanning the whole list.
type Ring struct {
	plan      Scenario
	zoneRings [ZoneCount]zoneRing
}

// NewRing places the backends of a fleet on the rings of their zones.
func NewRing(fleet []Backend, plan Scenario) *Ring {
	r := &Ring{plan: plan}
	for _, b := range indicesByHash(fleet) {
		ring := &r.zoneRings[fleet[b].Zone]
		ring.backends = append(ring.backends, b)
		ring.hashes = append(ring.hashes, fleet[b].Hash)
	}
	return r
}

// Select implements Method. While a list streams, the arcs only get shorter and what they hold only grows with the
// list. The level at the end of the stream is therefore the first at which the whole list fits.
func (r *Ring) Select(gateway int, out []int32) []int32 {
	s, zone := r.plan.Subset(gateway), r.plan.ZoneOf(gateway)
	start, held := bits.Reverse64(uint64(gateway)), 0
	count := func() (n int) {
		for z := range r.zoneRings {
			_, held := r.zoneRings[z].arc(start, s.RingShare(r.plan.ZoneAware && z == zone))
			n += held
		}
		return n
	}
	for held = count(); s.IsOverfull(held); held = count() {
		s.Narrow()
	}
	for z := range r.zoneRings {
		from, n := r.zoneRings[z].arc(start, s.RingShare(r.plan.ZoneAware && z == zone))
		order := r.zoneRings[z].backends
		for i := range n {
			out = append(out, order[(from+i)%len(order)])
		}
	}
	return out
}

// zoneRing holds the backends of one zone in the order of their hashes.
type zoneRing struct {
	backends []int32  // indices into the fleet
	hashes   []uint64 // of the same backends
}

// arc returns the place of the first backend of an arc, and how many the arc holds. The arc begins at start and takes
// the given share of the ring.
func (r *zoneRing) arc(start uint64, share float64) (from, held int) {
	if share >= 1 {
		return 0, len(r.hashes)
	}
	end := start + uint64(math.Ldexp(share, 64))
	from, _ = slices.BinarySearch(r.hashes, start)
	to, _ := slices.BinarySearch(r.hashes, end)
	if end < start {
		to += len(r.hashes)
	}
	return from, to - from
}

// Rendezvous selects the backends with the least hashes of the pair of gateway and backend (rendezvous hashing, also
// called highest random weight).
type Rendezvous struct {
	fleet []Backend
	size  int // backends in a subset
}

// NewRendezvous returns the method for subsets of the given size.
func NewRendezvous(fleet []Backend, size int) *Rendezvous {
	return &Rendezvous{fleet, min(size, len(fleet))}
}

// Select implements Method.
func (r *Rendezvous) Select(gateway int, out []int32) []int32 {
	type candidate struct {
		hash    uint64
		backend int32
	}
	salt := mixBits(uint64(gateway) + 0x9e3779b97f4a7c15)
	var candidates []candidate
	// The share of the hash range that is looked at first nearly always holds enough backends, so that few are sorted.
	share := 1.2*float64(r.size)/float64(len(r.fleet)) + 1e-4
	for len(candidates) < r.size {
		candidates = candidates[:0]
		for i := range r.fleet {
			if h := mixBits(r.fleet[i].Hash ^ salt); share >= 1 || h < uint64(math.Ldexp(share, 64)) {
				candidates = append(candidates, candidate{h, int32(i)})
			}
		}
		share *= 2
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	for _, c := range candidates[:r.size] {
		out = append(out, c.backend)
	}
	return out
}

// ShuffledRounds divides the gateways into rounds. For each round it shuffles the backends and deals them to the
// gateways of the round, so that a backend is in the subset of one gateway of a full round. The backends that remain
// after the division go to none.
type ShuffledRounds struct {
	size             int // backends in a subset
	gatewaysPerRound int
	sorted           []int32 // indices of the backends by hash, before a shuffle
	round            int     // that shuffled is of; -1 before the first
	shuffled         []int32
}

// NewShuffledRounds returns the method for subsets of the given size.
func NewShuffledRounds(fleet []Backend, size int) *ShuffledRounds {
	size = min(size, len(fleet))
	return &ShuffledRounds{size: size, gatewaysPerRound: len(fleet) / size, sorted: indicesByHash(fleet), round: -1}
}

// Select implements Method. It shuffles anew whenever the round changes, so that gateways are best taken in order.
func (s *ShuffledRounds) Select(gateway int, out []int32) []int32 {
	if round := gateway / s.gatewaysPerRound; round != s.round {
		s.round, s.shuffled = round, slices.Clone(s.sorted)
		rng := rand.New(rand.NewPCG(uint64(round), 2))
		rng.Shuffle(len(s.shuffled), func(i, j int) {
			s.shuffled[i], s.shuffled[j] = s.shuffled[j], s.shuffled[i]
		})
	}
	from := gateway % s.gatewaysPerRound * s.size
	return append(out, s.shuffled[from:from+s.size]...)
}
