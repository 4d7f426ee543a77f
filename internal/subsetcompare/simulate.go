package subsetcompare

import (
	"math"
	"math/rand/v2"
)

// lostZone is the zone whose backends fail for Result.MaxLoadAfterZoneLoss.
const lostZone = 0

// Parameters of the gateways' traffic for Result.MaxLoadUneven: a Pareto distribution of shape 2 and mean 1, with a maximum.
const (
	paretoScale      = 0.5
	maxUnevenTraffic = 10 // multiple of the mean
)

// Result describes the subsets and the loads that a method produces. Loads are multiples of the mean load of the available
// backends. Every gateway spreads its traffic evenly over its subset. Except for MaxLoadUneven, all gateways have the same
// traffic.
type Result struct {
	MinSize, MaxSize        int     // backends in a gateway's subset
	MeanSize                float64 // mean number of backends in a gateway's subset
	PairCount               int     // pairs of a gateway and a backend in its subset
	MaxLoad, MinLoad        float64 // load of the busiest and of the least busy backend
	UncoveredShare          float64 // fraction of the backends that are in no subset
	MaxLoadAfterZoneLoss    float64 // load of the busiest backend after all backends of lostZone have failed
	MaxLoadUneven           float64 // load of the busiest backend if the gateways' traffic follows a Pareto distribution
	MaxLoadZoneLocal        float64 // load of the busiest backend if every gateway sends only to backends in its own zone
	UncoveredShareZoneLocal float64 // fraction of the backends that are in no subset of a gateway in their zone
}

// Simulate spreads the traffic of each gateway of a scenario over the backends that the method selects for it.
func Simulate(method Method, fleet []Backend, scenario Scenario, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 3))
	even, uneven := newLoadTable(fleet), newLoadTable(fleet)
	zoneLost, zoneLocal := newLoadTable(fleet), newLoadTable(fleet)
	result := Result{MinSize: len(fleet)}
	var selected, ownZone, surviving []int32
	for gateway := range scenario.GatewayCount {
		selected, ownZone, surviving = method.Select(gateway, selected[:0]), ownZone[:0], surviving[:0]
		for _, b := range selected {
			if fleet[b].Zone == scenario.ZoneOf(gateway) {
				ownZone = append(ownZone, b)
			}
			if fleet[b].Zone != lostZone {
				surviving = append(surviving, b)
			}
		}
		even.add(selected, 1)
		zoneLost.add(surviving, 1)
		uneven.add(selected, min(maxUnevenTraffic, paretoScale/math.Sqrt(1-rng.Float64())))
		zoneLocal.add(ownZone, 1)
		result.MinSize = min(result.MinSize, len(selected))
		result.MaxSize = max(result.MaxSize, len(selected))
		result.PairCount += len(selected)
	}
	result.MeanSize = float64(result.PairCount) / float64(scenario.GatewayCount)
	all := func(Backend) bool { return true }
	outsideLostZone := func(b Backend) bool { return b.Zone != lostZone }
	result.MaxLoad, result.MinLoad, result.UncoveredShare = even.summary(all)
	result.MaxLoadAfterZoneLoss, _, _ = zoneLost.summary(outsideLostZone)
	result.MaxLoadUneven, _, _ = uneven.summary(all)
	result.MaxLoadZoneLocal, _, result.UncoveredShareZoneLocal = zoneLocal.summary(all)
	return result
}

// CountMovedPairs returns the number of pairs of a gateway and a backend that are selected after a change but not before it.
// Pairs with a replaced backend count as moved.
func CountMovedPairs(before, after Method, replaced []bool, gateways int) int {
	moved := 0
	lastGateway := make([]int, len(replaced)) // for each backend, the last gateway that selected it before the change, plus one
	var selected []int32
	for gateway := range gateways {
		selected = before.Select(gateway, selected[:0])
		for _, b := range selected {
			lastGateway[b] = gateway + 1
		}
		selected = after.Select(gateway, selected[:0])
		for _, b := range selected {
			if lastGateway[b] != gateway+1 || replaced[b] {
				moved++
			}
		}
	}
	return moved
}

// loadTable holds the load of each backend of a fleet.
type loadTable struct {
	fleet     []Backend
	byBackend []float64
}

func newLoadTable(fleet []Backend) *loadTable { return &loadTable{fleet, make([]float64, len(fleet))} }

// add spreads a gateway's traffic evenly over the given backends.
func (l *loadTable) add(backends []int32, traffic float64) {
	for _, b := range backends {
		l.byBackend[b] += traffic / float64(len(backends))
	}
}

// summary returns the largest and the smallest load, as multiples of the mean, and the fraction of backends without load. It
// considers only backends for which include returns true.
func (l *loadTable) summary(include func(Backend) bool) (maxLoad, minLoad, unloaded float64) {
	count, sum := 0.0, 0.0
	minLoad = math.Inf(1)
	for i, load := range l.byBackend {
		if !include(l.fleet[i]) {
			continue
		}
		count, sum = count+1, sum+load
		maxLoad, minLoad = max(maxLoad, load), min(minLoad, load)
		if load == 0 {
			unloaded++
		}
	}
	return maxLoad * count / sum, minLoad * count / sum, unloaded / count
}
