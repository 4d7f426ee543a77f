package subsetcompare

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// ZoneCount is the number of zones in a simulation.
const ZoneCount = 9

// ZoneName returns the name of a zone, as endpoint lists have it.
func ZoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// RoundRobinZones assigns the zones to the gateways in turn. It can be used as Scenario.ZoneOf, as can the results of
// ContiguousZones and RandomZones. Subsetting has to work with each of them, since a gateway does not know the zones of other
// gateways.
func RoundRobinZones(gateway int) int { return gateway % ZoneCount }

// ContiguousZones returns a function that assigns each zone to a range of consecutive indices of n gateways.
func ContiguousZones(n int) func(gateway int) int {
	return func(gateway int) int { return gateway * ZoneCount / n }
}

// RandomZones returns a function that assigns a zone to each gateway by a hash of its index and the seed.
func RandomZones(seed uint64) func(gateway int) int {
	return func(gateway int) int { return int(mixBits(mixBits(seed)+uint64(gateway)) >> 32 % ZoneCount) }
}

// Backend is a simulated server.
type Backend struct {
	ID   string
	Hash uint64 // hash of the id; backends of one cell have the same id and hash, so that a subset contains whole cells
	Zone int
}

// NewFleet returns n backends in cells of the given size. A cell lies in one zone.
func NewFleet(n, cellSize int, seed uint64) []Backend {
	fleet := make([]Backend, n)
	for i := range fleet {
		fleet[i] = backend(i, cellSize, seed)
	}
	return fleet
}

func backend(i, cellSize int, seed uint64) Backend {
	cell := i / cellSize
	id := strconv.FormatUint(seed, 36) + "-" + strconv.Itoa(cell)
	return Backend{ID: id, Hash: ringHash(id), Zone: cell % ZoneCount}
}

// ReplaceBackends returns a copy of the fleet in which the given share of the backends has new ids in the same zones. The seed
// determines which backends are replaced; the elements of replaced are true for these.
func ReplaceBackends(fleet []Backend, share float64, seed uint64) (next []Backend, replaced []bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	next, replaced = slices.Clone(fleet), make([]bool, len(fleet))
	for _, i := range rng.Perm(len(fleet))[:int(math.Round(share*float64(len(fleet))))] {
		next[i], replaced[i] = backend(i, 1, seed), true
		next[i].Zone = fleet[i].Zone
	}
	return next, replaced
}

// ringHash is the hash that determines the ring position of an id in subset.Subset: FNV-1a followed by mixBits. It is a copy,
// since package subset does not export its hash; a test compares the resulting subsets.
func ringHash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mixBits(h)
}

// mixBits spreads differences in any bit of h over all bits.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return (h ^ h>>32) * 0xd6e8feb86659fd93
}

// indicesByHash returns the indices of the backends in the order of their hashes.
func indicesByHash(fleet []Backend) []int32 {
	indices := make([]int32, len(fleet))
	for i := range indices {
		indices[i] = int32(i)
	}
	slices.SortFunc(indices, func(a, b int32) int { return cmp.Compare(fleet[a].Hash, fleet[b].Hash) })
	return indices
}
