package subsetcompare

import (
	"math"
	"math/rand/v2"
)

// lostZone is the zone whose backends fail in Result.MaxLoadZoneLost.
const lostZone = 0

// Traffic of a gateway in Result.MaxLoadUneven follows a Pareto distribution of shape 2 and mean 1.
const (
	paretoScale      = 0.5
	maxUnevenTraffic = 10 // in means
)

// Result describes what a method does to a fleet. Loads are multiples of the mean load of a backend that is up; unless
// said otherwise every gateway has the same traffic and spreads it evenly over its subset.
type Result struct {
	MinSize, MaxSize        int     // backends in a gateway's subset
	MeanSize                float64 // of the same
	PairCount               int     // of a gateway and a backend in its subset
	MaxLoad, MinLoad        float64 // of any backend
	UncoveredShare          float64 // share of the backends that are in no subset
	MaxLoadZoneLost         float64 // of the remaining backends once all those of a zone are lost
	MaxLoadUneven           float64 // where the traffic of the gateways follows a Pareto distribution
	MaxLoadZoneLocal        float64 // where every gateway sends to its own zone only
	UncoveredShareZoneLocal float64 // share of the backends that are in no subset of a gateway of their zone
}

// Simulate lets each gateway of a plan send to the backends that the method selects for it.
func Simulate(m Method, fleet []Backend, plan Scenario, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 3))
	even, uneven := newLoadTable(fleet), newLoadTable(fleet)
	zoneLost, zoneLocal := newLoadTable(fleet), newLoadTable(fleet)
	result := Result{MinSize: len(fleet)}
	var selected, local, surviving []int32
	for gateway := range plan.GatewayCount {
		selected, local, surviving = m.Select(gateway, selected[:0]), local[:0], surviving[:0]
		for _, b := range selected {
			if fleet[b].Zone == plan.ZoneOf(gateway) {
				local = append(local, b)
			}
			if fleet[b].Zone != lostZone {
				surviving = append(surviving, b)
			}
		}
		even.add(selected, 1)
		zoneLost.add(surviving, 1)
		uneven.add(selected, min(maxUnevenTraffic, paretoScale/math.Sqrt(1-rng.Float64())))
		zoneLocal.add(local, 1)
		result.MinSize = min(result.MinSize, len(selected))
		result.MaxSize = max(result.MaxSize, len(selected))
		result.PairCount += len(selected)
	}
	result.MeanSize = float64(result.PairCount) / float64(plan.GatewayCount)
	all := func(Backend) bool { return true }
	outsideLostZone := func(b Backend) bool { return b.Zone != lostZone }
	result.MaxLoad, result.MinLoad, result.UncoveredShare = even.summary(all)
	result.MaxLoadZoneLost, _, _ = zoneLost.summary(outsideLostZone)
	result.MaxLoadUneven, _, _ = uneven.summary(all)
	result.MaxLoadZoneLocal, _, result.UncoveredShareZoneLocal = zoneLocal.summary(all)
	return result
}

// CountMovedPairs returns the number of pairs of gateway and backend that are selected after a change and were not
// before it. Pairs with a replaced backend count as moved.
func CountMovedPairs(before, after Method, replaced []bool, gateways int) int {
	moved := 0
	lastGateway := make([]int, len(replaced)) // by backend: one more than the last gateway that selected it before
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

// loadTable sums up the load of each backend of a fleet.
type loadTable struct {
	fleet     []Backend
	byBackend []float64
}

func newLoadTable(fleet []Backend) *loadTable { return &loadTable{fleet, make([]float64, len(fleet))} }

// add spreads a gateway's traffic evenly over the backends that it sends to.
func (l *loadTable) add(backends []int32, traffic float64) {
	for _, b := range backends {
		l.byBackend[b] += traffic / float64(len(backends))
	}
}

// summary returns the largest and the least load, as multiples of the mean, and the share of backends without load,
// over those backends that include selects.
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
