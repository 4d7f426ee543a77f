// Package subsetcompare simulates methods of deterministic subsetting, by which each of many gateways uses only a part of the
// backends. It compares how evenly they spread load and how many subset members change with the fleet. The methods are the
// hash ring of internal/subset, which the ingress uses, rendezvous hashing and shuffled rounds. The package is not part of the
// ingress.
package subsetcompare

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"lemontack/internal/subset"
)

// Scenario describes the gateways of a simulation and the sizes of their subsets.
type Scenario struct {
	GatewayCount int
	TargetSize   int                   // target number of backends in a subset, as in subset.Config
	MaxSize      int                   // maximum number of backends in a subset, as in subset.Config
	ZoneOf       func(gateway int) int // returns the zone of a gateway
	ZoneAware    bool                  // whether gateways prefer their own zone, since traffic between zones has a price
}

// Subset returns the subset of one gateway, with the configuration that the ingress uses.
func (scenario Scenario) Subset(gateway int) *subset.Subset {
	c := subset.Config{Index: gateway, GatewayCount: scenario.GatewayCount, TargetSize: scenario.TargetSize,
		MaxSize: scenario.MaxSize}
	if scenario.ZoneAware {
		c.Zone, c.CrossZonePrice = ZoneName(scenario.ZoneOf(gateway)), 1
	}
	return subset.New(c)
}

// Method is a method of deterministic subsetting.
type Method interface {
	// Select appends the indices of the backends in the gateway's subset to out.
	Select(gateway int, out []int32) []int32
}

// Ring selects the same backends as subset.Subset, but finds them by binary search in a sorted ring and not by a scan of the
// whole list.
type Ring struct {
	scenario  Scenario
	zoneRings [ZoneCount]zoneRing
}

// NewRing places the backends of a fleet on the rings of their zones.
func NewRing(fleet []Backend, scenario Scenario) *Ring {
	r := &Ring{scenario: scenario}
	for _, b := range indicesByHash(fleet) {
		ring := &r.zoneRings[fleet[b].Zone]
		ring.backends = append(ring.backends, b)
		ring.hashes = append(ring.hashes, fleet[b].Hash)
	}
	return r
}

// Select implements Method. It narrows the arcs level by level until the subset is not overfull. An ingress that reads the list
// as a stream ends at the same level: arcs only get shorter, and at each level the number of backends on them only grows with
// the list.
func (ring *Ring) Select(gateway int, out []int32) []int32 {
	gatewaySubset, zone := ring.scenario.Subset(gateway), ring.scenario.ZoneOf(gateway)
	start, selectedCount := bits.Reverse64(uint64(gateway)), 0
	count := func() (n int) {
		for z := range ring.zoneRings {
			_, arcCount := ring.zoneRings[z].arc(start, gatewaySubset.RingShare(ring.scenario.ZoneAware && z == zone))
			n += arcCount
		}
		return n
	}
	for selectedCount = count(); gatewaySubset.IsOverfull(selectedCount); selectedCount = count() {
		gatewaySubset.Narrow()
	}
	for z := range ring.zoneRings {
		from, n := ring.zoneRings[z].arc(start, gatewaySubset.RingShare(ring.scenario.ZoneAware && z == zone))
		backends := ring.zoneRings[z].backends
		for i := range n {
			out = append(out, backends[(from+i)%len(backends)])
		}
	}
	return out
}

// zoneRing holds the backends of one zone in the order of their hashes.
type zoneRing struct {
	backends []int32  // indices into the fleet
	hashes   []uint64 // hashes of the same backends
}

// arc returns the position in the zone ring of the first backend of an arc, and the number of backends on the arc. The arc
// begins at start and covers the given fraction of the ring.
func (z *zoneRing) arc(start uint64, share float64) (from, count int) {
	if share >= 1 {
		return 0, len(z.hashes)
	}
	end := start + uint64(math.Ldexp(share, 64))
	from, _ = slices.BinarySearch(z.hashes, start)
	to, _ := slices.BinarySearch(z.hashes, end)
	if end < start {
		to += len(z.hashes)
	}
	return from, to - from
}

// Rendezvous selects the backends with the smallest hashes of the pair of gateway and backend. This is rendezvous hashing, also
// called highest random weight hashing.
type Rendezvous struct {
	fleet []Backend
	size  int // backends in a subset
}

// NewRendezvous returns the method for subsets of the given size.
func NewRendezvous(fleet []Backend, size int) *Rendezvous {
	return &Rendezvous{fleet, min(size, len(fleet))}
}

// Select implements Method.
func (rendezvous *Rendezvous) Select(gateway int, out []int32) []int32 {
	type candidate struct {
		hash    uint64
		backend int32
	}
	salt := mixBits(uint64(gateway) + 0x9e3779b97f4a7c15)
	var candidates []candidate
	// The first range of hashes nearly always contains enough backends, so that only a few have to be sorted.
	share := 1.2*float64(rendezvous.size)/float64(len(rendezvous.fleet)) + 1e-4
	for len(candidates) < rendezvous.size {
		candidates = candidates[:0]
		for i := range rendezvous.fleet {
			if h := mixBits(rendezvous.fleet[i].Hash ^ salt); share >= 1 || h < uint64(math.Ldexp(share, 64)) {
				candidates = append(candidates, candidate{h, int32(i)})
			}
		}
		share *= 2
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	for _, c := range candidates[:rendezvous.size] {
		out = append(out, c.backend)
	}
	return out
}

// ShuffledRounds divides the gateways into rounds. For each round it shuffles the backends and divides them among the gateways
// of the round, so that each backend is in the subset of at most one gateway of the round. Backends that remain after the
// division are in no subset of the round.
type ShuffledRounds struct {
	size             int // backends in a subset
	gatewaysPerRound int
	sorted           []int32 // indices of the backends in the order of their hashes
	round            int     // round for which shuffled is valid; -1 before the first call of Select
	shuffled         []int32 // indices of the backends in the order of the round
}

// NewShuffledRounds returns the method for subsets of the given size.
func NewShuffledRounds(fleet []Backend, size int) *ShuffledRounds {
	size = min(size, len(fleet))
	return &ShuffledRounds{size: size, gatewaysPerRound: len(fleet) / size, sorted: indicesByHash(fleet), round: -1}
}

// Select implements Method. It shuffles the backends whenever the round changes, so it is fastest if called for the gateways in
// order.
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
