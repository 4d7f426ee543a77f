// Package subset chooses which endpoints of a long endpoint list one gateway caches, and tracks the ones that it does. It is
// deterministic subsetting on a ring of hashes, without communication between gateways. It decides no request.
package subset

import (
	"math"
	"math/bits"
)

const (
	// minGatewaysPerEndpoint is how many gateways should share an endpoint, so that busy ones among them even out.
	minGatewaysPerEndpoint = 16.0
	// levelsPerHalving is the number of levels that halve an arc: gateways one level apart differ by a fifth only.
	levelsPerHalving = 4.0
	// ownZoneLevels makes the arc of the own zone four times as long as that of the others, where crossing zones costs.
	ownZoneLevels = 8
	// widenLevels is the number of levels that Widen goes down, to 1.7 times the arcs. That leaves room, so that the subset
	// does not flap between widening and narrowing.
	widenLevels = 3
)

// Subset decides for each endpoint whether this gateway caches it. The gateway's arc of the ring begins at its point of the
// van der Corput sequence, whose low discrepancy spreads any number of gateways evenly and moves none when one joins. An
// endpoint belongs to the subset if its hash lies on the arc. Since each endpoint is decided alone, a list can be read as a
// stream, a change affects its own endpoints only, and a lost zone takes as much from every gateway.
//
// The arc gets shorter with each level: see Narrow and Widen.
type Subset struct {
	zone           string // the own one, if it is preferred
	start          uint64 // of the arcs; the ring has 2^64 positions
	gatewayCount   int
	level          int
	maxSharedLevel int // the highest level at which minGatewaysPerEndpoint share an endpoint
	targetSize     int
	maxSize        int
}

// Config holds what a subset is determined by.
type Config struct {
	Index          int // of this gateway, from 0
	GatewayCount   int
	Zone           string  // of this gateway
	CrossZonePrice float64 // of a request that crosses zones; above 0, more endpoints of the own zone are cached
	TargetSize     int     // endpoints in the subset, unless too few gateways would share each of them
	MaxSize        int     // endpoints in the subset in any case
}

// New returns the widest subset, which contains every endpoint.
func New(config Config) *Subset {
	zone := config.Zone
	if config.CrossZonePrice <= 0 { // all zones alike load the endpoints most evenly
		zone = ""
	}
	narrowing := max(float64(config.GatewayCount)/minGatewaysPerEndpoint, 1)
	return &Subset{
		zone:           zone,
		start:          bits.Reverse64(uint64(config.Index)),
		gatewayCount:   config.GatewayCount,
		maxSharedLevel: int(levelsPerHalving * math.Log2(narrowing)),
		targetSize:     config.TargetSize,
		maxSize:        max(config.TargetSize, config.MaxSize),
	}
}

// Contains reports whether an endpoint belongs to the subset at the present level.
func (s *Subset) Contains(id string, zone string) bool {
	share := s.RingShare(zone != "" && zone == s.zone)
	if share >= 1 {
		return true
	}
	return ringPosition(id)-s.start < uint64(math.Ldexp(share, 64))
}

// IsOverfull reports whether so many cached endpoints are too many. The caller then calls Narrow, drops the endpoints that
// Contains no longer reports, and checks again.
func (s *Subset) IsOverfull(cached int) bool {
	return cached > s.maxSize || cached > s.targetSize && s.level < s.maxSharedLevel
}

// IsSparse reports whether so few endpoints are cached that those of a wider subset fit. The caller then calls Widen and
// reads the whole list again.
func (s *Subset) IsSparse(cached int) bool {
	if s.level == 0 {
		return false
	}
	return cached < s.targetSize/2 || cached < s.maxSize/2 && s.level > s.maxSharedLevel
}

// Narrow goes up one level.
func (s *Subset) Narrow() { s.level++ }

// Widen goes down by widenLevels.
func (s *Subset) Widen() { s.level = max(0, s.level-widenLevels) }

// GatewaysPerEndpoint estimates how many gateways share an endpoint, from the numbers of endpoints that are cached of the
// own zone and of all others.
func (s *Subset) GatewaysPerEndpoint(own, others int) float64 {
	listed := float64(own)/s.RingShare(true) + float64(others)/s.RingShare(false)
	return max(1, float64(s.gatewayCount*(own+others))/max(listed, 1))
}

// RingShare returns the share of the ring, up to 1, that the arc for the own zone or for each other zone covers.
func (s *Subset) RingShare(ownZone bool) float64 {
	if ownZone {
		return min(1, math.Exp2(float64(ownZoneLevels-s.level)/levelsPerHalving))
	}
	return math.Exp2(-float64(s.level) / levelsPerHalving)
}

// ringPosition is FNV-1a followed by a finalizer, since the high bits decide. It is the same in every process.
func ringPosition(id string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * 1099511628211
	}
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	return (hash ^ hash>>32) * 0xd6e8feb86659fd93
}
