package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	slowGain      = 0.15  // weight of one answer in a server's relative latency
	failPenalty   = 8.0   // what a failed attempt counts for, in mean latencies
	lastResort    = 100.0 // factor on a server that is taken only where there is no other
	failsToBan    = 3     // failures in a row that eject a server
	handshakeWait = 10.0  // mean waits that one handshake is worth, times its price
	coldRate      = 1.5   // sends to a cold server, in what a warm one so small answers
	coldPart      = 0.6   // the same at most, in what the settings let a cold one get
	mostLooked    = 256   // servers that a choice looks at
	forgetAims    = 8.0   // longest aims after which half of a slowness is forgotten
	startPerHost  = 4.0   // first window: attempts for each server, two cores of two
)

type server struct {
	Server
	out              []*attempt
	slow, phase      float64 // latency relative to the fleet's; part of the space to the next send
	slowAt, lastSent time.Duration
	lastDone         time.Duration // its last good answer
	banned           time.Duration // no work before, unless too many are
	fails, badRound  int           // failures in a row; last round with an untimely end
}

// slowness is the relative latency as remembered, or what the longest wait already shows.
func (g *Gateway) slowness(s *server) float64 {
	v := g.remembered(s)
	if len(s.out) > 0 && g.lag > 0 {
		v = max(v, (g.now-s.out[0].sent).Seconds()/(3*g.lag))
	}
	return v
}

func (g *Gateway) remembered(s *server) float64 { return 1 + (s.slow-1)*g.memory(s) }

// likeAny is what a new server starts with: it is taken to be like one of the others, any of them. With the
// mean it would lose to all that have been lucky, with the best it would get the work of all gateways at
// once.
func (g *Gateway) likeAny() float64 {
	if len(g.fleet) == 0 {
		return 1
	}
	return g.remembered(g.fleet[g.rng.IntN(len(g.fleet))])
}

// memory is the part left of what was learned: half goes in some aims, or between two answers of a server.
func (g *Gateway) memory(s *server) float64 {
	half := max(forgetAims*g.longAim.Seconds(), float64(len(g.fleet))/max(g.flow, 1e-3))
	return math.Exp2(-(g.now - s.slowAt).Seconds() / half)
}

// choose picks the server with the least expected wait among those that may take the request. Where many
// gateways share the fleet nearly all servers have nothing out from here, and a cold one would always look
// worse than a warm one: it takes part in as many choices as it is warm, and then counts as any other.
//
// For a first attempt it looks at an even sample of a long fleet, half of mostLooked at least, which has one
// nearly as good as the best of all; for a further one, which may have to go to a cell, at every one.
func (g *Gateway) choose(r *request) *server {
	if every := (len(g.fleet) + mostLooked - 1) / mostLooked; every > 1 && len(r.attempts) == 0 {
		if s := g.best(r, g.rng.IntN(every), every); s != nil {
			return s
		}
	}
	return g.best(r, 0, 1)
}

// best is the choice among the servers at the given places of the fleet.
func (g *Gateway) best(r *request, from, every int) *server {
	var best *server
	bestScore := math.Inf(1)
	anchor := r.anchor()
	for i := from; i < len(g.fleet); i += every {
		s := g.fleet[i]
		if anchor != nil && !r.class.Group.Shares(anchor.s.Server, s.Server) || !g.coldRoom(s) {
			continue
		}
		score := g.slowness(s) * (1 + float64(len(s.out))) * (1 + 0.1*g.rng.Float64())
		if w := g.warmth(s); w < 1 && g.rng.Float64() >= w {
			score *= 1 / w // out of this choice, unless the others are as full
		} else if !g.linked(s) && (w == 1 || g.rng.Float64() >= g.linkedShare) {
			score *= 1 + handshakeWait*g.set.HandshakePrice // as many cold ones are spared as warm ones are
		}
		if s.Zone != g.set.Zone && g.set.CrossZonePrice > 0 {
			score *= 1.3
		}
		if r.tried(s) || s.fails >= failsToBan && (s.banned > g.now || len(s.out) > 0) {
			score *= lastResort
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// linked says whether a connection to the server is likely to be open and free: one that carried a request
// lately.
func (g *Gateway) linked(s *server) bool {
	return s.lastDone > 0 && len(s.out) == 0 && g.now-s.lastDone < g.set.ConnIdle/2
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.s == s })
}

// observe learns from an attempt's end.
func (g *Gateway) observe(a *attempt, c *class, o Outcome, took time.Duration) {
	if o == Cancelled || o == Moot {
		return
	}
	s, t := a.s, took.Seconds()
	seen := failPenalty
	if o == Done {
		if c.mean == 0 {
			c.mean, c.dev, g.lag = t, t/2, max(g.lag, t)
		}
		seen = min(t/c.mean, failPenalty)
		clipped := min(t, c.mean*failPenalty)
		c.learn(clipped)
		g.lag += 0.05 * (clipped - g.lag)
		s.fails, s.banned, s.lastDone = 0, 0, g.now
		g.countFlow()
	} else {
		s.fails++
		if s.fails >= failsToBan {
			s.banned = g.now + g.longAim*time.Duration(uint(1)<<min(s.fails-failsToBan, 4))
		}
	}
	left := g.memory(s)
	s.slow = 1 + (s.slow-1)*left
	s.slow += (1 - (1-slowGain)*left) * (seen - s.slow)
	s.slowAt = g.now
}

func (g *Gateway) fleetChanged(ev FleetChanged) {
	if ev.Failed {
		g.watching = false
		return
	}
	first := len(g.fleet) == 0
	if ev.Whole {
		for _, s := range g.fleet {
			s.State = Gone
		}
	}
	for _, e := range ev.Servers {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{}
			g.servers[e.ID] = s
		}
		if s.slow == 0 || s.Started != e.Started { // new or restarted: only what is still out stays
			*s = server{out: s.out, slow: g.likeAny(), slowAt: g.now, badRound: -1, phase: g.rng.Float64(),
				lastSent: g.now}
		}
		s.Server = e
	}
	g.fleet = g.fleet[:0]
	for id, s := range g.servers {
		if s.State == Running {
			g.fleet = append(g.fleet, s)
		} else if s.State == Gone && len(s.out) == 0 { // ids are ever new: it would stay for good
			delete(g.servers, id)
		}
	}
	slices.SortFunc(g.fleet, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	g.sharers = cmp.Or(ev.Sharers, float64(g.set.Gateways))
	g.capacityAt = -g.sweep
	if first {
		g.window, g.retries = g.part(), g.part()
	}
}

// warmth is the share of its capacity that a server surely has: it grows evenly from the cold share.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.Started
	if s.Started == 0 || age >= g.set.WarmAfter || g.set.WarmAfter <= 0 {
		return 1
	}
	cold := max(g.set.ColdShare, 0.01)
	return cold + (1-cold)*max(0, age.Seconds())/g.set.WarmAfter.Seconds()
}

// capacity is that of the fleet, in warm servers.
func (g *Gateway) capacity() float64 {
	if g.now >= g.capacityAt+g.sweep {
		g.capacityAt, g.warm = g.now, 0
		warm, linked := 0.0, 0.0
		for _, s := range g.fleet {
			w := g.warmth(s)
			g.warm += w
			if w < 1 {
				continue
			}
			warm++
			if g.linked(s) {
				linked++
			}
		}
		g.linkedShare = 1
		if warm > 0 {
			g.linkedShare = linked / warm
		}
	}
	return max(g.warm, g.set.ColdShare, 0.01)
}

// countFlow adds an answer to the flow, and to that of the span over which the settings count what a cold
// server gets: in a shorter one a thin flow, looked at as an answer comes, would seem larger than it is. It
// is weighed with the capacity of that time: where all turn cold at once, what they did when warm is no
// measure of what is left.
func (g *Gateway) countFlow() {
	dt, span, c := (g.now - g.flowAt).Seconds(), max(g.set.FallSpan.Seconds(), 1), g.capacity()
	left := math.Exp(-dt / span)
	g.flowCap = c + (g.flowCap-c)*left
	g.longFlow = 1/span + g.longFlow*left
	g.perWarm = g.longFlow / g.flowCap
	g.flow, g.flowAt = 1+g.flow*math.Exp(-dt), g.now
}

// coldRoom spaces sends to a cold server by what warm ones answer here, scaled to its warmth, so that the sum
// over all gateways stays within it; the first comes at a random part of the space, from when it is heard of.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.warmth(s)
	if w >= 1 {
		return true
	}
	most := min(coldRate, coldPart*cmp.Or(g.set.FallMultiple, math.Inf(1)))
	rate := most * w * max(g.perWarm, startPerHost/g.sharers)
	return (g.now - s.lastSent).Seconds() >= s.phase/rate
}
