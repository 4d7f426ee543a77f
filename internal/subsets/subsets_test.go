package subsets

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"lemontack/internal/subset"
)

// The most that the busiest backend may carry, in mean loads, where traffic is even.
const mostLoad = 1.5

// A ring's arcs hold what a gateway is left with that reads the list as a stream, in any order.
func TestArcsAreWhatAStreamLeaves(t *testing.T) {
	fleet := Backends(6000, 1, 1)
	for _, plan := range []Plan{
		{6400, 300, 300, InTurn, true}, {6400, 300, 300, InTurn, false}, {100, 50, 3000, InBlocks(100), true},
		{10, 50, 1000, InTurn, true}, {300, 6000, 6000, InTurn, true},
	} {
		ring := NewRing(fleet, plan)
		for gateway := 0; gateway < plan.Gateways; gateway += 1 + plan.Gateways/7 {
			want := ring.Keep(gateway, nil)
			slices.Sort(want)
			got := stream(plan.Subset(gateway), fleet)
			if !slices.Equal(got, want) {
				t.Errorf("%d gateways: %d streams %d backends, its arcs hold %d", plan.Gateways, gateway,
					len(got), len(want))
			}
		}
	}
}

func stream(s *subset.Subset, fleet []Backend) []int32 {
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

// With even traffic the busiest of the backends stays within bounds, also once a zone is lost, whether the
// gateways know their zones or not and however their numbers follow these. The lists' sizes are those at which
// about half of the gateways have had to narrow once more than the others, which is where they are least alike.
func TestBusiestBackend(t *testing.T) {
	for _, c := range []struct {
		plan     Plan
		backends int
	}{
		{Plan{6400, 512, 512, InTurn, true}, 21_000}, {Plan{6400, 512, 512, InBlocks(6400), true}, 21_000},
		{Plan{6400, 512, 512, AtRandom(1), true}, 21_000}, {Plan{6400, 512, 512, AtRandom(1), false}, 20_000},
	} {
		fleet := Backends(c.backends, 1, 5)
		r := Simulate(NewRing(fleet, c.plan), fleet, c.plan, 5)
		if r.Busiest > mostLoad || r.ZoneLost > mostLoad || r.None > 0 || r.Most > c.plan.Most {
			t.Errorf("zone-aware %v, %d backends: %+v", c.plan.ZoneAware, c.backends, r)
		}
	}
}

// Only the pairs of those that were replaced move, and those of gateways that their number makes narrow.
func TestReplacedBackendsMoveFewPairs(t *testing.T) {
	const gateways = 800
	fleet := Backends(20_000, 1, 3)
	next, fresh := Replace(fleet, 0.01, 4)
	plan := Plan{gateways, 1024, 1024, AtRandom(2), true}
	before := NewRing(fleet, plan)
	pairs := Simulate(before, fleet, plan, 1).Pairs
	if moved := Moved(before, NewRing(next, plan), fresh, gateways); moved > pairs*3/100 {
		t.Errorf("%d of %d pairs moved", moved, pairs)
	}
}

// A gateway more, or fewer, leaves the others' pairs where they are.
func TestJoiningGatewayMovesNoPairs(t *testing.T) {
	fleet := Backends(5000, 1, 3)
	plan := Plan{640, 300, 300, AtRandom(2), true}
	more := plan
	more.Gateways++
	ring := NewRing(fleet, plan)
	if moved := Moved(ring, NewRing(fleet, more), make([]bool, len(fleet)), plan.Gateways); moved != 0 {
		t.Errorf("%d pairs moved", moved)
	}
}

// Methods beside each other. SUBSETS=full takes the sizes that count, in some minutes. The bounds are the
// rings' and hold wherever memory lets each backend have enough gateways.
func TestComparison(t *testing.T) {
	type size struct{ gateways, backends, most, limit, cell int }
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
		fleet := Backends(s.backends, s.cell, 11)
		next, fresh := Replace(fleet, 0.01, 12)
		blind := Plan{s.gateways, s.most, s.limit, AtRandom(13), false}
		aware, joined := blind, blind
		aware.ZoneAware = true
		joined.Gateways++
		k := int(Simulate(NewRing(fleet, blind), fleet, blind, 14).Mean)
		for _, m := range []struct {
			name                string
			plan                Plan
			before, after, more Method
		}{
			{"ring, zone-aware", aware, NewRing(fleet, aware), NewRing(next, aware), nil},
			{"ring", blind, NewRing(fleet, blind), NewRing(next, blind), NewRing(fleet, joined)},
			{"rendezvous", blind, NewRendezvous(fleet, k), NewRendezvous(next, k), nil},
			{"shuffled rounds", blind, NewShuffledRounds(fleet, k), NewShuffledRounds(next, k), nil},
		} {
			r := Simulate(m.before, fleet, m.plan, 14)
			moved, joins := Moved(m.before, m.after, fresh, s.gateways), 0
			if m.more != nil { // the other methods do not look at how many gateways there are
				joins = Moved(m.before, m.more, make([]bool, len(fleet)), s.gateways)
			}
			percent := func(n int) float64 { return 100 * float64(n) / float64(r.Pairs) }
			enough := s.limit*s.gateways >= 16*s.backends || s.limit >= s.backends
			if _, ring := m.before.(*Ring); ring && enough && (r.None > 0 || joins > 0 ||
				max(r.Busiest, r.ZoneLost) > mostLoad || moved > r.Pairs*3/100) {
				t.Errorf("%+v, %s: %+v, %d pairs moved, %d when one joins", s, m.name, r, moved, joins)
			}
			name := fmt.Sprintf("%d x %d, %d to %d", s.gateways, s.backends, s.most, s.limit)
			if s.cell > 1 {
				name += fmt.Sprint(", cells of ", s.cell)
			}
			t.Logf("%-34s %-17s %5d %7.1f %5d  %5.2f %5.2f %6.2f  %5.2f %6.2f  %5.2f %6.2f  %6.2f %6.2f", name, m.name,
				r.Least, r.Mean, r.Most, r.Busiest, r.Idlest, 100*r.None, r.ZoneLost, r.Uneven, r.OwnZone, 100*r.OwnNone,
				percent(moved), percent(joins))
		}
	}
}
