// Package subset selects the endpoints of a long endpoint list that one gateway caches, and tracks the cached ones. It uses
// deterministic subsetting on a hash ring, without communication between gateways. It does not select endpoints for requests.
package subset

import (
	"math"
	"math/bits"
)

const (
	// minGatewaysPerEndpoint is how many gateways should share an endpoint, so that differences in their load average out.
	minGatewaysPerEndpoint = 16.0
	// levelsPerHalving is the number of levels that halve an arc. Arcs one level apart differ by less than a fifth.
	levelsPerHalving = 4.0
	// ownZoneLevels is subtracted from the level for the arc of the own zone, which makes that arc four times as long as the arc
	// for other zones. It applies if requests across zones have a price.
	ownZoneLevels = 8
	// widenLevels is the number of levels by which Widen goes down, which makes arcs 1.7 times as long. Since the
	// arcs do not double, the subset does not flap between widening and narrowing.
	widenLevels = 3
)

// Subset decides for each endpoint whether this gateway caches it. The gateway's arc of the ring begins at its point of the
// van der Corput sequence, whose low discrepancy spreads any number of gateways evenly and moves none when one is added. An
// endpoint belongs to the subset if its hash lies on the arc. The decision does not depend on other endpoints. So a list can be
// read as a stream, a change affects only its own endpoints, and the loss of a zone affects all gateways alike.
//
// The arc gets shorter with each level; see Narrow and Widen.
type Subset struct {
	preferredZone  string // zone of this gateway; empty if no zone is preferred
	arcStart       uint64 // ring position at which the arcs begin; the ring has 2^64 positions
	gatewayCount   int
	level          int
	maxSharedLevel int // highest level at which minGatewaysPerEndpoint gateways share an endpoint
	targetSize     int
	maxSize        int
}

// Config determines the subset of one gateway.
type Config struct {
	Index          int // index of this gateway, from 0
	GatewayCount   int
	Zone           string  // zone of this gateway
	CrossZonePrice float64 // price of a request across zones; if positive, more endpoints of the own zone are cached
	TargetSize     int     // endpoints in the subset, exceeded if too few gateways would share each endpoint
	MaxSize        int     // upper limit of endpoints in the subset
}

// New returns the widest subset, which contains every endpoint.
func New(config Config) *Subset {
	zone := config.Zone
	if config.CrossZonePrice <= 0 { // without a preferred zone, load is spread most evenly
		zone = ""
	}
	narrowingFactor := max(float64(config.GatewayCount)/minGatewaysPerEndpoint, 1)
	return &Subset{
		preferredZone:  zone,
		arcStart:       bits.Reverse64(uint64(config.Index)),
		gatewayCount:   config.GatewayCount,
		maxSharedLevel: int(levelsPerHalving * math.Log2(narrowingFactor)),
		targetSize:     config.TargetSize,
		maxSize:        max(config.TargetSize, config.MaxSize),
	}
}

// Contains reports whether an endpoint belongs to the subset at the current level.
func (s *Subset) Contains(id string, zone string) bool {
	share := s.RingShare(zone != "" && zone == s.preferredZone)
	if share >= 1 {
		return true
	}
	return ringPosition(id)-s.arcStart < uint64(math.Ldexp(share, 64))
}

// IsOverfull reports whether the number of cached endpoints is too large at the current level. The caller then has to call
// Narrow, remove the endpoints that the subset no longer contains, and check again.
func (s *Subset) IsOverfull(cached int) bool {
	return cached > s.maxSize || cached > s.targetSize && s.level < s.maxSharedLevel
}

// IsSparse reports whether so few endpoints are cached that those of a wider subset fit. The caller then has to call Widen
// and read the whole list again.
func (s *Subset) IsSparse(cached int) bool {
	if s.level == 0 {
		return false
	}
	return cached < s.targetSize/2 || cached < s.maxSize/2 && s.level > s.maxSharedLevel
}

// Narrow shortens the arcs by going up one level.
func (s *Subset) Narrow() { s.level++ }

// Widen lengthens the arcs by going down widenLevels levels, at most to level 0.
func (s *Subset) Widen() { s.level = max(0, s.level-widenLevels) }

// GatewaysPerEndpoint estimates how many gateways share an endpoint, from the numbers of cached endpoints in the own zone and
// in all other zones.
func (s *Subset) GatewaysPerEndpoint(ownZone, otherZones int) float64 {
	listed := float64(ownZone)/s.RingShare(true) + float64(otherZones)/s.RingShare(false)
	return max(1, float64(s.gatewayCount*(ownZone+otherZones))/max(listed, 1))
}

// RingShare returns the fraction of the ring, at most 1, that the arc for the own zone or the arc for other zones covers.
func (s *Subset) RingShare(ownZone bool) float64 {
	if ownZone {
		return min(1, math.Exp2(float64(ownZoneLevels-s.level)/levelsPerHalving))
	}
	return math.Exp2(-float64(s.level) / levelsPerHalving)
}

// ringPosition hashes an id by FNV-1a followed by a finalizer, since Contains depends on the high bits. The result is the same
// in every process.
func ringPosition(id string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * 1099511628211
	}
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	return (hash ^ hash>>32) * 0xd6e8feb86659fd93
}
