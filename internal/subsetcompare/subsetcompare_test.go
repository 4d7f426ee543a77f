package subsetcompare

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"lemontack/internal/subset"
)

// maxRingLoad is the maximum load of the busiest backend with a ring and even traffic, as a multiple of the mean load.
const maxRingLoad = 1.5

func TestRingSelectsTheSubsetOfAStreamedList(t *testing.T) {
	fleet := NewFleet(6000, 1, 1)
	for _, scenario := range []Scenario{
		{6400, 300, 300, RoundRobinZones, true},
		{6400, 300, 300, RoundRobinZones, false},
		{100, 50, 3000, ContiguousZones(100), true},
		{10, 50, 1000, RoundRobinZones, true},
		{300, 6000, 6000, RoundRobinZones, true},
	} {
		ring := NewRing(fleet, scenario)
		for gateway := 0; gateway < scenario.GatewayCount; gateway += 1 + scenario.GatewayCount/7 {
			want := ring.Select(gateway, nil)
			slices.Sort(want)
			got := streamList(scenario.Subset(gateway), fleet)
			if !slices.Equal(got, want) {
				t.Errorf("%d gateways: gateway %d: got %d backends from a stream, want the %d on its arcs", scenario.GatewayCount,
					gateway, len(got), len(want))
			}
		}
	}
}

// streamList reads the backends one by one as the ingress reads a list, and returns the indices of those in the final subset.
func streamList(gatewaySubset *subset.Subset, fleet []Backend) []int32 {
	isContained := func(i int32) bool { return gatewaySubset.Contains(fleet[i].ID, ZoneName(fleet[i].Zone)) }
	var cached []int32
	for i := range fleet {
		if isContained(int32(i)) {
			cached = append(cached, int32(i))
		}
		for gatewaySubset.IsOverfull(len(cached)) {
			gatewaySubset.Narrow()
			cached = slices.DeleteFunc(cached, func(i int32) bool { return !isContained(i) })
		}
	}
	return cached
}

// The load of the busiest backend is bounded, even after the loss of a zone, for any assignment of zones to gateways. With
// these list lengths the sizes of the subsets differ most: about half of the gateways narrow their arcs once more than the
// rest.
func TestRingBoundsTheBusiestBackend(t *testing.T) {
	for _, c := range []struct {
		scenario Scenario
		backends int
	}{
		{Scenario{6400, 512, 512, RoundRobinZones, true}, 21_000},
		{Scenario{6400, 512, 512, ContiguousZones(6400), true}, 21_000},
		{Scenario{6400, 512, 512, RandomZones(1), true}, 21_000},
		{Scenario{6400, 512, 512, RandomZones(1), false}, 20_000},
	} {
		fleet := NewFleet(c.backends, 1, 5)
		result := Simulate(NewRing(fleet, c.scenario), fleet, c.scenario, 5)
		if result.MaxLoad > maxRingLoad || result.MaxLoadAfterZoneLoss > maxRingLoad || result.UncoveredShare > 0 ||
			result.MaxSize > c.scenario.TargetSize {
			t.Errorf("zone-aware %v, %d backends: got %+v, want loads up to %v, sizes up to %d and none uncovered",
				c.scenario.ZoneAware, c.backends, result, maxRingLoad, c.scenario.TargetSize)
		}
	}
}

// Replacing 1% of the backends moves few other pairs: the bound of 3% allows for gateways whose arcs narrow or widen because
// the number of backends on them changes.
func TestReplacedBackendsMoveFewOtherPairs(t *testing.T) {
	const gateways = 800
	fleet := NewFleet(20_000, 1, 3)
	nextFleet, replaced := ReplaceBackends(fleet, 0.01, 4)
	scenario := Scenario{gateways, 1024, 1024, RandomZones(2), true}
	before := NewRing(fleet, scenario)
	pairs := Simulate(before, fleet, scenario, 1).PairCount
	if moved := CountMovedPairs(before, NewRing(nextFleet, scenario), replaced, gateways); moved > pairs*3/100 {
		t.Errorf("got %d of %d pairs moved, want at most %d", moved, pairs, pairs*3/100)
	}
}

// An added gateway moves no pairs of other gateways. Removing it is the same comparison in the other direction.
func TestAddedGatewayMovesNoPairs(t *testing.T) {
	fleet := NewFleet(5000, 1, 3)
	scenario := Scenario{640, 300, 300, RandomZones(2), true}
	withAddedGateway := scenario
	withAddedGateway.GatewayCount++
	ring := NewRing(fleet, scenario)
	if moved := CountMovedPairs(ring, NewRing(fleet, withAddedGateway), make([]bool, len(fleet)), scenario.GatewayCount); moved != 0 {
		t.Errorf("got %d pairs moved, want none", moved)
	}
}

// TestComparison logs the results of each method. It checks the bounds of the ring if the maximum size of a subset allows enough
// gateways to share each backend. SUBSETS=full selects the sizes in docs/CAPACITY.md, which takes some minutes.
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
	t.Log("zones are random; least, mean and most are sizes of subsets; loads are multiples of the mean: busy and idle are the " +
		"largest and the smallest load, zone- and uneven the largest load after the loss of a zone and with uneven traffic, own " +
		"the largest load if gateways send only to their own zone; none% is the percentage of backends without load; repl% and " +
		"join% are the percentages of pairs that move when 1% of the backends are replaced and when a gateway is added")
	t.Logf("%-34s %-17s %5s %7s %5s  %5s %5s %6s  %5s %6s  %5s %6s  %6s %6s", "gateways x backends, target to max",
		"method", "least", "mean", "most", "busy", "idle", "none%", "zone-", "uneven", "own", "none%", "repl%", "join%")
	for _, s := range sizes {
		fleet := NewFleet(s.backends, s.cellSize, 11)
		nextFleet, replaced := ReplaceBackends(fleet, 0.01, 12)
		zoneUnaware := Scenario{s.gateways, s.targetSize, s.maxSize, RandomZones(13), false}
		zoneAware, withAddedGateway := zoneUnaware, zoneUnaware
		zoneAware.ZoneAware = true
		withAddedGateway.GatewayCount++
		subsetSize := int(Simulate(NewRing(fleet, zoneUnaware), fleet, zoneUnaware, 14).MeanSize)
		for _, m := range []struct {
			name                            string
			scenario                        Scenario
			before, after, withAddedGateway Method
		}{
			{"ring, zone-aware", zoneAware, NewRing(fleet, zoneAware), NewRing(nextFleet, zoneAware), nil},
			{"ring", zoneUnaware, NewRing(fleet, zoneUnaware), NewRing(nextFleet, zoneUnaware), NewRing(fleet, withAddedGateway)},
			{"rendezvous", zoneUnaware, NewRendezvous(fleet, subsetSize), NewRendezvous(nextFleet, subsetSize), nil},
			{"shuffled rounds", zoneUnaware, NewShuffledRounds(fleet, subsetSize), NewShuffledRounds(nextFleet, subsetSize), nil},
		} {
			result := Simulate(m.before, fleet, m.scenario, 14)
			movedByReplacement, movedByAddition := CountMovedPairs(m.before, m.after, replaced, s.gateways), 0
			if m.withAddedGateway != nil { // the other methods do not depend on the number of gateways
				movedByAddition = CountMovedPairs(m.before, m.withAddedGateway, make([]bool, len(fleet)), s.gateways)
			}
			percent := func(n int) float64 { return 100 * float64(n) / float64(result.PairCount) }
			hasEnoughGateways := s.maxSize*s.gateways >= 16*s.backends || s.maxSize >= s.backends
			if _, isRing := m.before.(*Ring); isRing && hasEnoughGateways && (result.UncoveredShare > 0 || movedByAddition > 0 ||
				max(result.MaxLoad, result.MaxLoadAfterZoneLoss) > maxRingLoad || movedByReplacement > result.PairCount*3/100) {
				t.Errorf("%+v, %s: got %+v, %d pairs moved by replaced backends, %d by an added gateway; want loads up to %v, "+
					"none uncovered, up to %d and 0 pairs moved", s, m.name, result, movedByReplacement, movedByAddition,
					maxRingLoad, result.PairCount*3/100)
			}
			name := fmt.Sprintf("%d x %d, %d to %d", s.gateways, s.backends, s.targetSize, s.maxSize)
			if s.cellSize > 1 {
				name += fmt.Sprint(", cells of ", s.cellSize)
			}
			t.Logf("%-34s %-17s %5d %7.1f %5d  %5.2f %5.2f %6.2f  %5.2f %6.2f  %5.2f %6.2f  %6.2f %6.2f", name, m.name,
				result.MinSize, result.MeanSize, result.MaxSize, result.MaxLoad, result.MinLoad, 100*result.UncoveredShare,
				result.MaxLoadAfterZoneLoss, result.MaxLoadUneven, result.MaxLoadZoneLocal, 100*result.UncoveredShareZoneLocal,
				percent(movedByReplacement), percent(movedByAddition))
		}
	}
}
