// Package balancer chooses the endpoint of an attempt.
//
// It keeps the endpoints of the endpoint list, with this gateway's observations of each: the latency
// relative to that of the other endpoints, the attempts in flight, and the consecutive failures. Outliers
// are ejected for some time. Endpoints that have just started get attempts at a rate that grows with their
// capacity (slow start). The balancer chooses the endpoint with the least expected latency.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/limiter"
	"lemontack/policy/model"
)

// initialAttemptsPerEndpoint is the number of attempts in flight that an endpoint is assumed to serve well
// before its first answers: two for each of two cores.
const initialAttemptsPerEndpoint = 4.0

// Config holds the settings of a balancer.
type Config struct {
	// Zone is the zone of this gateway.
	Zone string
	// GatewayCount is the number of gateways. All of them share each endpoint unless a Change specifies
	// otherwise.
	GatewayCount int
	// CrossZonePrice is the price of an attempt in another zone. If above 0, endpoints of the gateway's own
	// zone are preferred.
	CrossZonePrice float64
	// HandshakePrice is the price of a new connection, in requests of mean price.
	HandshakePrice float64
	// ConnectionIdleTimeout is the time after which an idle connection closes.
	ConnectionIdleTimeout time.Duration
	// SlowStart configures the slow start of endpoints that have just started.
	SlowStart SlowStartConfig
	// MaxLatencyObjective is the longest latency objective of a class. It is the time unit of the decay of
	// relative latencies and of ejections.
	MaxLatencyObjective time.Duration
	// CapacityCacheTTL is the time for which the capacity of the endpoints is cached.
	CapacityCacheTTL time.Duration
}

// Balancer chooses endpoints for one gateway. It is not safe for concurrent use. Times are on the gateway's
// clock.
type Balancer struct {
	config  Config
	rng     *rand.Rand
	latency *latency.OverallMean

	endpoints           map[model.EndpointID]*Endpoint // all that are listed or have attempts in flight
	serving             []*Endpoint                    // endpoints that accept new requests, sorted by id
	gatewaysPerEndpoint float64

	capacity    capacityCache
	answerRates answerRates
}

// Endpoint is an endpoint of the list with this gateway's observations of it.
type Endpoint struct {
	model.Endpoint
	inFlight []*Attempt // in the order of their start

	relativeLatency   float64       // ratio to the mean latency of the request's class; 1 is the mean
	relativeLatencyAt time.Duration // time to which relativeLatency refers

	lastSuccessAt       time.Duration // time of the last successful answer; zero before the first
	consecutiveFailures int
	ejectedUntil        time.Duration

	// LimiterSamples belongs to the limiter. It is stored here so that it is reset when the endpoint
	// restarts.
	LimiterSamples limiter.EndpointSamples

	lastAttemptAt       time.Duration // start of the last attempt, or time at which the endpoint was added
	pacingIntervalShare float64       // share of the pacing interval to wait before the next attempt
}

// Attempt is an attempt at an endpoint. The owner of the request embeds it in its own attempt type.
type Attempt struct {
	Endpoint  *Endpoint
	StartedAt time.Duration
}

// Change is a change of the endpoint list.
type Change struct {
	// IsSnapshot reports whether Endpoints is the entire list, rather than only the changed endpoints.
	IsSnapshot bool
	// Endpoints are the endpoints of the list, or the changed ones.
	Endpoints []model.Endpoint
	// GatewaysPerEndpoint is the mean number of gateways that share one of the endpoints; zero means all
	// gateways.
	GatewaysPerEndpoint float64
}

// New returns a balancer without endpoints. It uses rng for its random choices, and reads the mean latency
// of all answers from overall.
func New(config Config, rng *rand.Rand, overall *latency.OverallMean) *Balancer {
	return &Balancer{
		config:              config,
		rng:                 rng,
		latency:             overall,
		endpoints:           map[model.EndpointID]*Endpoint{},
		gatewaysPerEndpoint: float64(config.GatewayCount),
	}
}

// ServingEndpoints returns the endpoints that accept new requests, sorted by id. The caller must not change
// the slice, which is valid until the next Apply.
func (b *Balancer) ServingEndpoints() []*Endpoint { return b.serving }

// GatewaysPerEndpoint returns the mean number of gateways that share one of the endpoints.
func (b *Balancer) GatewaysPerEndpoint() float64 { return b.gatewaysPerEndpoint }

// InitialAttempts returns this gateway's share of the attempts in flight that the serving endpoints are
// assumed to serve well before their first answers. It is at least 1.
func (b *Balancer) InitialAttempts() float64 {
	return max(1, initialAttemptsPerEndpoint*float64(len(b.serving))/b.gatewaysPerEndpoint)
}

// Apply applies a change of the endpoint list. A listed endpoint keeps its observations unless it has
// restarted.
func (b *Balancer) Apply(now time.Duration, change Change) {
	if change.IsSnapshot {
		for _, e := range b.serving {
			e.State = model.Removed // unless the snapshot contains it
		}
	}
	for _, listed := range change.Endpoints {
		b.updateEndpoint(now, listed)
	}
	b.rebuildServing()
	b.gatewaysPerEndpoint = cmp.Or(change.GatewaysPerEndpoint, float64(b.config.GatewayCount))
	b.capacity.expire(b.config.CapacityCacheTTL)
}

// updateEndpoint adds or updates one endpoint of the list. The observations of an endpoint that has
// restarted are discarded, except its attempts in flight, which will still end.
func (b *Balancer) updateEndpoint(now time.Duration, listed model.Endpoint) {
	e := b.endpoints[listed.ID]
	if e == nil {
		e = &Endpoint{}
		b.endpoints[listed.ID] = e
	}
	if e.relativeLatency == 0 || e.StartedAt != listed.StartedAt {
		*e = Endpoint{
			inFlight:            e.inFlight,
			relativeLatency:     b.sampleRelativeLatency(now),
			relativeLatencyAt:   now,
			lastAttemptAt:       now,
			pacingIntervalShare: b.rng.Float64(),
		}
	}
	e.Endpoint = listed
}

// rebuildServing rebuilds the list of serving endpoints. It deletes removed endpoints without attempts in
// flight, since the map would otherwise grow without bound as endpoints get new ids.
func (b *Balancer) rebuildServing() {
	b.serving = b.serving[:0]
	for id, e := range b.endpoints {
		switch {
		case e.State == model.Serving:
			b.serving = append(b.serving, e)
		case e.State == model.Removed && len(e.inFlight) == 0:
			delete(b.endpoints, id)
		}
	}
	slices.SortFunc(b.serving, func(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// AttemptStarted counts an attempt as in flight at its endpoint.
func (b *Balancer) AttemptStarted(now time.Duration, attempt *Attempt) {
	e := attempt.Endpoint
	attempt.StartedAt = now
	e.inFlight = append(e.inFlight, attempt)
	e.lastAttemptAt = now
	e.pacingIntervalShare = 1
}

// AttemptEnded stops counting an attempt as in flight.
func (b *Balancer) AttemptEnded(attempt *Attempt) {
	e := attempt.Endpoint
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *Attempt) bool { return other == attempt })
}

// InFlight returns the number of this gateway's attempts in flight at the endpoint.
func (e *Endpoint) InFlight() int { return len(e.inFlight) }
