package subsetcompare

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"lemontack/internal/subset"
)

// maxRingLoad is the load that a ring may put on the busiest backend, in mean loads, where traffic is even.
const maxRingLoad = 1.5

func TestRingSelectsWhatAStreamedListLeaves(t *testing.T) {
	fleet := NewFleet(6000, 1, 1)
	for _, plan := range []Scenario{
		{6400, 300, 300, RoundRobinZones, true},
		{6400, 300, 300, RoundRobinZones, false},
		{100, 50, 3000, ContiguousZones(100), true},
		{10, 50, 1000, RoundRobinZones, true},
		{300, 6000, 6000, RoundRobinZones, true},
	} {
		ring := NewRing(fleet, plan)
		for gateway := 0; gateway < plan.GatewayCount; gateway += 1 + plan.GatewayCount/7 {
			want := ring.Select(gateway, nil)
			slices.Sort(want)
			got := streamList(plan.Subset(gateway), fleet)
			if !slices.Equal(got, want) {
				t.Errorf("%d gateways: gateway %d keeps %d backends of a stream, its arcs hold %d", plan.GatewayCount,
					gateway, len(got), len(want))
			}
		}
	}
}

// streamList returns what the subset is left with once it has taken the entries of a list one by one.
func streamList(s *subset.Subset, fleet []Backend) []int32 {
	holds := func(i int32) bool { return s.Contains(fleet[i].ID, ZoneName(fleet[i].Zone)) }
	var held []int32
	for i := range fleet {
		if holds(int32(i)) {
			held = append(held, int32(i))
		}
		for s.IsOverfull(len(held)) {
			s.Narrow()
			held = slices.DeleteFunc(held, func(i int32) bool { return !holds(i) })
		}
	}
	return held
}

// The bound holds after the loss of a zone too, whether the gateways know their zones or not and however their indices
// follow these. At these sizes of the list about half of the gateways have had to narrow their arcs once more than the
// others, which is where their subsets differ most in size.
func TestRingBoundsTheBusiestBackend(t *testing.T) {
	for _, c := range []struct {
		plan     Scenario
		backends int
	}{
		{Scenario{6400, 512, 512, RoundRobinZones, true}, 21_000},
		{Scenario{6400, 512, 512, ContiguousZones(6400), true}, 21_000},
		{Scenario{6400, 512, 512, RandomZones(1), true}, 21_000},
		{Scenario{6400, 512, 512, RandomZones(1), false}, 20_000},
	} {
		fleet := NewFleet(c.backends, 1, 5)
		r := Simulate(NewRing(fleet, c.plan), fleet, c.plan, 5)
		if r.MaxLoad > maxRingLoad || r.MaxLoadZoneLost > maxRingLoad || r.UncoveredShare > 0 || r.MaxSize > c.plan.TargetSize {
			t.Errorf("zone-aware %v, %d backends: %+v", c.plan.ZoneAware, c.backends, r)
		}
	}
}

// The bound leaves room for the pairs of gateways whose arcs narrow or widen as the number of backends in them changes.
func TestReplacedBackendsMoveOnlyTheirPairs(t *testing.T) {
	const gateways = 800
	fleet := NewFleet(20_000, 1, 3)
	next, replaced := ReplaceBackends(fleet, 0.01, 4)
	plan := Scenario{gateways, 1024, 1024, RandomZones(2), true}
	before := NewRing(fleet, plan)
	pairs := Simulate(before, fleet, plan, 1).PairCount
	if moved := CountMovedPairs(before, NewRing(next, plan), replaced, gateways); moved > pairs*3/100 {
		t.Errorf("%d of %d pairs moved", moved, pairs)
	}
}

// What holds for a gateway that joins holds for one that leaves: it is the same pair of fleets.
func TestJoiningGatewayMovesNoPairs(t *testing.T) {
	fleet := NewFleet(5000, 1, 3)
	plan := Scenario{640, 300, 300, RandomZones(2), true}
	joined := plan
	joined.GatewayCount++
	ring := NewRing(fleet, plan)
	if moved := CountMovedPairs(ring, NewRing(fleet, joined), make([]bool, len(fleet)), plan.GatewayCount); moved != 0 {
		t.Errorf("%d pairs moved", moved)
	}
}

// TestComparison logs what each method does and checks the bounds that the ring is to keep wherever memory lets enough
// gateways share each backend. SUBSETS=full takes the sizes of docs/CAPACITY.md, which needs some minutes.
func TestComparison(t *testing.T) {
	type size struct{ gateways, backends, targetSize, maxSize, cellSize int }
	sizes := []size{{640, 3000, 300, 3000, 1}}
	if os.Getenv("SUBSETS") == "full" {
		sizes = []size{
			{6400, 200_000, 1024, 32_768, 1}, {6400, 200_000, 2048, 32_768, 1}, {6400, 20_000, 1024, 32_768, 1},
			{300, 20_000, 1024, 32_768, 1}, {300, 200, 1024, 32_768, 1}, {10, 200_000, 1024, 32_768, 1},
			{10, 200_000, 1024, 200_000, 1}, {6400, 200_000, 2048, 32_768, 4}, {6400, 200_000, 2048, 32_768, 16},
		}
	}
	t.Log("zones are drawn at random for each gateway; loads in means; moved in % of the pairs, by 1% of the " +
		"backends replaced and by a gateway that joins")
	t.Logf("%-34s %-17s %5s %7s %5s  %5s %5s %6s  %5s %6s  %5s %6s  %6s %6s", "gateways x backends, most to limit",
		"method", "least", "mean", "most", "busy", "idle", "none%", "zone-", "uneven", "own", "none%", "repl%", "join%")
	for _, s := range sizes {
		fleet := NewFleet(s.backends, s.cellSize, 11)
		next, replaced := ReplaceBackends(fleet, 0.01, 12)
		unaware := Scenario{s.gateways, s.targetSize, s.maxSize, RandomZones(13), false}
		aware, joined := unaware, unaware
		aware.ZoneAware = true
		joined.GatewayCount++
		subsetSize := int(Simulate(NewRing(fleet, unaware), fleet, unaware, 14).MeanSize)
		for _, m := range []struct {
			name                  string
			plan                  Scenario
			before, after, joined Method
		}{
			{"ring, zone-aware", aware, NewRing(fleet, aware), NewRing(next, aware), nil},
			{"ring", unaware, NewRing(fleet, unaware), NewRing(next, unaware), NewRing(fleet, joined)},
			{"rendezvous", unaware, NewRendezvous(fleet, subsetSize), NewRendezvous(next, subsetSize), nil},
			{"shuffled rounds", unaware, NewShuffledRounds(fleet, subsetSize), NewShuffledRounds(next, subsetSize), nil},
		} {
			r := Simulate(m.before, fleet, m.plan, 14)
			moved, joins := CountMovedPairs(m.before, m.after, replaced, s.gateways), 0
			if m.joined != nil { // the other methods do not look at how many gateways there are
				joins = CountMovedPairs(m.before, m.joined, make([]bool, len(fleet)), s.gateways)
			}
			percent := func(n int) float64 { return 100 * float64(n) / float64(r.PairCount) }
			enough := s.maxSize*s.gateways >= 16*s.backends || s.maxSize >= s.backends
			if _, ring := m.before.(*Ring); ring && enough && (r.UncoveredShare > 0 || joins > 0 ||
				max(r.MaxLoad, r.MaxLoadZoneLost) > maxRingLoad || moved > r.PairCount*3/100) {
				t.Errorf("%+v, %s: %+v, %d pairs moved, %d when one joins", s, m.name, r, moved, joins)
			}
			name := fmt.Sprintf("%d x %d, %d to %d", s.gateways, s.backends, s.targetSize, s.maxSize)
			if s.cellSize > 1 {
				name += fmt.Sprint(", cells of ", s.cellSize)
			}
			t.Logf("%-34s %-17s %5d %7.1f %5d  %5.2f %5.2f %6.2f  %5.2f %6.2f  %5.2f %6.2f  %6.2f %6.2f", name, m.name,
				r.MinSize, r.MeanSize, r.MaxSize, r.MaxLoad, r.MinLoad, 100*r.UncoveredShare, r.MaxLoadZoneLost,
				r.MaxLoadUneven, r.MaxLoadZoneLocal, 100*r.UncoveredShareZoneLocal, percent(moved), percent(joins))
		}
	}
}
