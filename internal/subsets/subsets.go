// Package subsets compares ways for each of many gateways to keep a part of the servers: the ring of
// subset.Subset, rendezvous hashing and shuffled rounds. It is not part of the ingress.
package subsets

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"

	"lemontack/internal/subset"
)

// Zones is the number of zones of a simulated fleet.
const Zones = 9

// Plan is a fleet's gateways and how many backends they are to keep.
type Plan struct {
	Gateways    int
	Most, Limit int             // as of subset.Config
	Zone        func(g int) int // a gateway's zone
	ZoneAware   bool            // the gateways know it, and pay for crossing
}

// Subset is that of one gateway.
func (p Plan) Subset(gateway int) *subset.Subset {
	c := subset.Config{Index: gateway, GatewayCount: p.Gateways, TargetSize: p.Most, MaxSize: p.Limit}
	if p.ZoneAware {
		c.Zone, c.CrossZonePrice = ZoneName(p.Zone(gateway)), 1
	}
	return subset.New(c)
}

// ZoneName is what the lists call a zone.
func ZoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// InTurn deals the zones round to the gateways' numbers. How numbers follow zones is not known to a gateway.
func InTurn(g int) int { return g % Zones }

// InBlocks puts neighbouring numbers of n gateways into one zone.
func InBlocks(n int) func(int) int { return func(g int) int { return g * Zones / n } }

// AtRandom draws zones by the gateway's number and a seed.
func AtRandom(seed uint64) func(int) int {
	return func(g int) int { return int(mix(mix(seed)+uint64(g)) >> 32 % Zones) }
}

// Backend is a simulated server.
type Backend struct {
	ID   string
	Key  uint64 // what the methods hash: of the id, or of the cell where cells stay together
	Zone int
}

// Backends returns n of them in cells of the given size; a cell lies in one zone.
func Backends(n, cellSize int, seed uint64) []Backend {
	fleet := make([]Backend, n)
	for i := range fleet {
		fleet[i] = backend(i, cellSize, seed)
	}
	return fleet
}

func backend(i, cellSize int, seed uint64) Backend {
	cell := i / cellSize
	id := string(strconv.FormatUint(seed, 36) + "-" + strconv.Itoa(cell))
	return Backend{ID: id, Key: position(id), Zone: cell % Zones}
}

// Replace returns a copy in which a part of the backends, drawn from the seed, has new ids in the same zones.
func Replace(fleet []Backend, part float64, seed uint64) ([]Backend, []bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	next, fresh := slices.Clone(fleet), make([]bool, len(fleet))
	for _, i := range rng.Perm(len(fleet))[:int(math.Round(part*float64(len(fleet))))] {
		next[i], fresh[i] = backend(i, 1, seed), true
		next[i].Zone = fleet[i].Zone
	}
	return next, fresh
}

// position is the hash of subset.Subset, which a test holds it to.
func position(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return (h ^ h>>32) * 0xd6e8feb86659fd93
}

// Method tells which backends a gateway keeps.
type Method interface {
	// Keep appends the indices of the backends that the gateway keeps to out.
	Keep(gateway int, out []int32) []int32
}

// byKey lists the backends' indices in the order of their keys.
func byKey(fleet []Backend) []int32 {
	order := make([]int32, len(fleet))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int { return cmp.Compare(fleet[a].Key, fleet[b].Key) })
	return order
}

// Ring is subset.Subset, with arcs looked up in the sorted ring rather than by a scan of the list.
type Ring struct {
	plan  Plan
	zones [Zones]arcs
}

// NewRing places the backends on the ring.
func NewRing(fleet []Backend, plan Plan) *Ring {
	r := &Ring{plan: plan}
	for _, b := range byKey(fleet) {
		z := &r.zones[fleet[b].Zone]
		z.order, z.keys = append(z.order, b), append(z.keys, fleet[b].Key)
	}
	return r
}

// Keep implements Method. An arc only gets shorter while a list streams, and what it holds only grows with
// the list, so that the level at the end is the first at which the whole list fits.
func (r *Ring) Keep(gateway int, out []int32) []int32 {
	s, zone := r.plan.Subset(gateway), r.plan.Zone(gateway)
	start, held := bits.Reverse64(uint64(gateway)), 0
	count := func() (n int) {
		for z := range r.zones {
			_, held := r.zones[z].arc(start, s.RingShare(r.plan.ZoneAware && z == zone))
			n += held
		}
		return n
	}
	for held = count(); s.IsOverfull(held); held = count() {
		s.Narrow()
	}
	for z := range r.zones {
		from, n := r.zones[z].arc(start, s.RingShare(r.plan.ZoneAware && z == zone))
		order := r.zones[z].order
		for i := range n {
			out = append(out, order[(from+i)%len(order)])
		}
	}
	return out
}

// arcs are the backends of a zone in the order of the ring.
type arcs struct {
	order []int32
	keys  []uint64
}

// arc is the place of the first backend of an arc, and how many there are.
func (a *arcs) arc(start uint64, share float64) (from, held int) {
	if share >= 1 {
		return 0, len(a.keys)
	}
	end := start + uint64(math.Ldexp(share, 64))
	from, _ = slices.BinarySearch(a.keys, start)
	to, _ := slices.BinarySearch(a.keys, end)
	if end < start {
		to += len(a.keys)
	}
	return from, to - from
}

// Rendezvous keeps the k backends with the least hash of the pair (highest random weight).
type Rendezvous struct {
	fleet []Backend
	k     int
}

// NewRendezvous keeps k of the fleet.
func NewRendezvous(fleet []Backend, k int) *Rendezvous { return &Rendezvous{fleet, min(k, len(fleet))} }

// Keep implements Method.
func (r *Rendezvous) Keep(gateway int, out []int32) []int32 {
	type scored struct {
		score uint64
		i     int32
	}
	salt := mix(uint64(gateway) + 0x9e3779b97f4a7c15)
	var best []scored
	part := 1.2*float64(r.k)/float64(len(r.fleet)) + 1e-4 // nearly always enough, so that few are sorted
	for len(best) < r.k {
		best = best[:0]
		for i := range r.fleet {
			if h := mix(r.fleet[i].Key ^ salt); part >= 1 || h < uint64(math.Ldexp(part, 64)) {
				best = append(best, scored{h, int32(i)})
			}
		}
		part *= 2
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	for _, s := range best[:r.k] {
		out = append(out, s.i)
	}
	return out
}

// ShuffledRounds deals the backends, sorted by id, shuffled once for each round of gateways, to the gateways
// of the round: each backend goes to one gateway of a full round, the rest of the division to none.
type ShuffledRounds struct {
	k, perRound int
	order       []int32
	round       int
	shuffled    []int32
}

// NewShuffledRounds keeps k of the fleet.
func NewShuffledRounds(fleet []Backend, k int) *ShuffledRounds {
	k = min(k, len(fleet))
	return &ShuffledRounds{k: k, perRound: len(fleet) / k, order: byKey(fleet), round: -1}
}

// Keep implements Method; gateways are best asked for in order.
func (s *ShuffledRounds) Keep(gateway int, out []int32) []int32 {
	if round := gateway / s.perRound; round != s.round {
		s.round, s.shuffled = round, slices.Clone(s.order)
		rng := rand.New(rand.NewPCG(uint64(round), 2))
		rng.Shuffle(len(s.shuffled), func(i, j int) {
			s.shuffled[i], s.shuffled[j] = s.shuffled[j], s.shuffled[i]
		})
	}
	at := gateway % s.perRound * s.k
	return append(out, s.shuffled[at:at+s.k]...)
}

// Result is what a method does to a fleet. Loads are in mean loads of a backend that is up.
type Result struct {
	Least, Most     int     // backends that a gateway keeps
	Mean            float64 // of the same
	Pairs           int
	Busiest, Idlest float64 // every gateway has the same traffic and spreads it evenly over what it keeps
	None            float64 // part of the backends that no gateway keeps
	ZoneLost        float64 // the busiest of the others once all backends of a zone are lost
	Uneven          float64 // the busiest where the gateways' traffic is Pareto (shape 2, at most ten means)
	OwnZone         float64 // the busiest where every gateway sends to its own zone alone
	OwnNone         float64 // part of the backends that no gateway of their zone keeps
}

// Simulate lets each gateway of a plan send to what it keeps.
func Simulate(m Method, fleet []Backend, plan Plan, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 3))
	even, uneven, lost, own := newLoads(fleet), newLoads(fleet), newLoads(fleet), newLoads(fleet)
	res := Result{Least: len(fleet)}
	var kept, near, up []int32
	for g := range plan.Gateways {
		kept, near, up = m.Keep(g, kept[:0]), near[:0], up[:0]
		for _, b := range kept {
			if fleet[b].Zone == plan.Zone(g) {
				near = append(near, b)
			}
			if fleet[b].Zone != 0 {
				up = append(up, b)
			}
		}
		even.spread(kept, 1)
		lost.spread(up, 1)
		uneven.spread(kept, min(10, 0.5/math.Sqrt(1-rng.Float64())))
		own.spread(near, 1)
		res.Least, res.Most, res.Pairs = min(res.Least, len(kept)), max(res.Most, len(kept)), res.Pairs+len(kept)
	}
	all, others := func(Backend) bool { return true }, func(b Backend) bool { return b.Zone != 0 }
	res.Mean = float64(res.Pairs) / float64(plan.Gateways)
	res.Busiest, res.Idlest, res.None = even.summary(all)
	res.ZoneLost, _, _ = lost.summary(others)
	res.Uneven, _, _ = uneven.summary(all)
	res.OwnZone, _, res.OwnNone = own.summary(all)
	return res
}

// Moved is the number of pairs that m keeps after a change and did not keep before it; a fresh backend's
// pairs are all new.
func Moved(before, after Method, fresh []bool, gateways int) int {
	moved := 0
	had := make([]int, len(fresh)) // by backend: one more than the last gateway that had it
	var kept []int32
	for g := range gateways {
		kept = before.Keep(g, kept[:0])
		for _, b := range kept {
			had[b] = g + 1
		}
		kept = after.Keep(g, kept[:0])
		for _, b := range kept {
			if had[b] != g+1 || fresh[b] {
				moved++
			}
		}
	}
	return moved
}

type loads struct {
	fleet []Backend
	load  []float64
}

func newLoads(fleet []Backend) *loads { return &loads{fleet, make([]float64, len(fleet))} }

func (l *loads) spread(over []int32, weight float64) {
	for _, b := range over {
		l.load[b] += weight / float64(len(over))
	}
}

// summary is the largest and least load over the mean, and the share without any, of some backends.
func (l *loads) summary(of func(Backend) bool) (most, least, none float64) {
	n, sum := 0.0, 0.0
	least = math.Inf(1)
	for i, v := range l.load {
		if !of(l.fleet[i]) {
			continue
		}
		n, sum = n+1, sum+v
		most, least = max(most, v), min(least, v)
		if v == 0 {
			none++
		}
	}
	return most * n / sum, least * n / sum, none / n
}
