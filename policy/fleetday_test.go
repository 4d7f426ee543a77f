package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file plays a day of a whole fleet on a driven clock: gateways, one counter with delay and capacity, customers that
// calmly use, fill or exceed their quotas, and an exact store beside it all. No time of the machine enters.

const (
	fleetDayLength = 16 * time.Second
	unitsAtOnce    = 4 // units of the largest request
)

// fleetCase is one draw of a fleet day.
type fleetCase struct {
	gateways  int
	rps       float64 // first tries a second that each gateway gets
	cost      float64 // ExcessCost of each plan
	limits    quotaLimits
	counter   counterCase
	rates     []float64 // units a second of the plans
	bursts    []float64 // seconds at the rate
	restartAt time.Duration
	restarted float64 // share of the gateways that is killed at restartAt
	length    time.Duration
}

// quotaLimits says what a plan limits.
type quotaLimits int

const (
	limitRate quotaLimits = iota
	limitOpen
	limitBoth
)

// counterCase is how the shared counter behaves.
type counterCase struct {
	absent          bool
	callsPerRequest float64 // capacity, in calls for each first try
	delay           time.Duration
	loss            float64 // share of the calls whose answer never comes
	silentFrom      time.Duration
	silentFor       time.Duration
	forgets         bool // it comes back empty
}

// fleetCustomer is a customer and its exact quota.
type fleetCustomer struct {
	id            string
	plan          Plan
	spread, first int
	weights       []float64 // cumulative, of its gateways
	use           float64   // units a second asked for
	spike         float64   // units a second in a spike
	spikeEvery    time.Duration
	spikeFor      time.Duration
	phase         time.Duration
	ours, late    exactStore
	all           exactStore // of one gateway that sees all first tries
}

// exactStore is the true state of one customer's quota.
type exactStore struct {
	level   float64
	at      time.Duration
	open    int
	history []storeState
}

type storeState struct {
	at    time.Duration
	level float64
	open  int
}

func (s *exactStore) fill(p Plan, now time.Duration) {
	s.level = min(p.Burst, s.level+p.Rate*(now-s.at).Seconds())
	s.at = now
}

// holds says whether a try would be inside the quota.
func (s *exactStore) holds(p Plan, units float64, now time.Duration) bool {
	s.fill(p, now)
	return (p.Rate <= 0 || s.level >= units) && (p.MaxConcurrency <= 0 || s.open < p.MaxConcurrency)
}

// begin counts a first attempt and says whether the try is inside.
func (s *exactStore) begin(p Plan, units float64, now time.Duration) bool {
	inside := s.holds(p, units, now)
	if inside && p.Rate > 0 {
		s.level -= units
	}
	s.open++
	s.note(now)
	return inside
}

// end counts an attempt's end, which settles the units of a try that was inside.
func (s *exactStore) end(now time.Duration, guessedLess float64) {
	s.open--
	s.level -= guessedLess
	s.note(now)
}

func (s *exactStore) note(now time.Duration) {
	s.history = append(s.history, storeState{now, s.level, s.open})
}

// seen is the state as it was stateLate ago.
func (s *exactStore) seen(p Plan, now time.Duration) storeState {
	i, _ := slices.BinarySearchFunc(s.history, now-stateLate, func(a storeState, t time.Duration) int {
		return int(a.at - t)
	})
	if i == 0 {
		return storeState{level: p.Burst}
	}
	state := s.history[i-1]
	state.level = min(p.Burst, state.level+p.Rate*(now-stateLate-state.at).Seconds())
	return state
}

// fleetBill is what a policy let through, as shares of the worth inside the quotas.
type fleetBill struct {
	offered, inside, excess float64 // worth; excess times its cost
	refusedWithRoom, tries  int
	calls                   int
}

func (b fleetBill) served() float64 { return b.inside / b.offered }
func (b fleetBill) price() float64  { return b.excess / b.offered }

// fleetEvent is due at a time: an action of the world, in order of time and then of its making.
type fleetEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// fleetDay is a day in play.
type fleetDay struct {
	testing.TB
	fleetCase
	rng       *rand.Rand
	now       time.Duration
	events    fleetEvents
	seq       int
	set       Settings
	servers   []Endpoint
	gateway   []*fleetGateway
	customers []*fleetCustomer
	totals    map[string]float64
	line      [counterParts]time.Duration // until when each part of the counter is busy
	open      map[RequestID]*fleetTry
	lastID    RequestID
	ours      fleetBill
	late      fleetBill
}

type fleetGateway struct {
	g    *Gateway
	life int // counts restarts
}

// fleetTry is a try of a client.
type fleetTry struct {
	customer *fleetCustomer
	gateway  int
	units    float64
	settled  float64
	tries    int
	attempts []*fleetAttempt
	answered bool
	work     time.Duration
	asked    time.Duration
}

// fleetAttempt is an attempt that is out at a server.
type fleetAttempt struct {
	inside, ended bool // inside the quota, of a first one
	end           func(Outcome)
}

// newFleetDay draws a day.
func newFleetDay(t testing.TB, c fleetCase, seed uint64) *fleetDay {
	d := &fleetDay{TB: t, fleetCase: c, rng: rand.New(rand.NewPCG(seed, 11)), totals: map[string]float64{},
		open: map[RequestID]*fleetTry{}}
	if d.length == 0 {
		d.length = fleetDayLength
	}
	if d.rps == 0 {
		d.rps = 10
	}
	if d.rates == nil {
		d.rates, d.bursts = []float64{1, 5.5, 17}, []float64{8, 4.5, 2.1}
	}
	d.set = settings()
	d.set.GatewayCount, d.set.MaxUnits, d.set.SharedCounter = c.gateways, unitsAtOnce, !c.counter.absent
	d.set.CounterTimeout, d.set.MaxRetryAfter, d.set.SlowStartWindow = 80*ms, 2*time.Second, 0
	d.set.Classes = []Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 600 * ms, Deadline: 2500 * ms, LateWeight: 0.2, Idempotency: Idempotent}}
	d.set.Plans = nil
	prices := []float64{0.9, 1.3, 1.6}
	for i, rate := range d.rates {
		p := Plan{Name: fmt.Sprint("plan", i), Price: prices[i%3], Rate: rate, Burst: max(rate*d.bursts[i], 2*unitsAtOnce),
			OverQuotaCost: c.cost, SettledByReply: true}
		if c.limits != limitRate {
			p.MaxConcurrency = max(2, int(math.Ceil(2*rate*fleetWork.Seconds()/fleetMeanUnits)))
		}
		if c.limits == limitOpen {
			p.Rate, p.Burst = 0, 0
		}
		d.set.Plans = append(d.set.Plans, p)
	}
	for i := range max(20, c.gateways*2/3) {
		d.servers = append(d.servers, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	d.now = time.Hour
	for i := range c.gateways {
		d.gateway = append(d.gateway, &fleetGateway{})
		d.start(i)
	}
	d.drawCustomers()
	return d
}

const (
	fleetWork      = 120 * ms
	fleetMeanUnits = 1.8
	counterParts   = 3
	burstFrom      = 6 * time.Second // a burst of half as much again
	burstFor       = 5 * time.Second
	burstFactor    = 1.5
	hotFrom        = 4 * time.Second // one customer brings a tenth of all requests
	hotFor         = 7 * time.Second
	hotShare       = 0.1
	guessError     = 0.33 // deviation of a request's true units from those that it names, as a logarithm
)

func (d *fleetDay) at(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, fleetEvent{t, d.seq, do})
}

// start begins a life of a gateway.
func (d *fleetDay) start(i int) {
	set := d.set
	set.Index = i
	g, err := New(set, d.rng.Uint64())
	if err != nil {
		d.Fatal(err)
	}
	d.gateway[i].life++
	d.gateway[i].g = g
	d.tell(i, EndpointsChanged{Snapshot: true, Endpoints: d.servers})
}

// drawCustomers draws customers until they ask for what the gateways get.
func (d *fleetDay) drawCustomers() {
	rng, n := d.rng, d.gateways
	wanted := d.rps * float64(n) * fleetMeanUnits
	for i, p := range d.set.Plans {
		rate := d.rates[i]
		for asked := 0.0; asked < wanted/float64(len(d.rates)); {
			c := &fleetCustomer{id: fmt.Sprintf("%d-%07x", i, len(d.customers)), plan: p, first: rng.IntN(n),
				use: rate * (0.18 + 0.3*rng.Float64())}
			switch x := rng.Float64(); {
			case x < 0.12:
				c.use = rate * (2 + 2.9*rng.Float64())
			case x < 0.29:
				c.spike = rate * (2 + 5.5*rng.Float64())
				c.spikeFor = time.Duration((1 + 3.2*rng.Float64()) * float64(time.Second))
				c.spikeEvery = time.Duration((11 + 13*rng.Float64()) * float64(time.Second))
				c.phase = time.Duration(rng.Float64() * float64(c.spikeEvery))
			case x < 0.5:
				c.use = rate * (0.85 + 0.15*rng.Float64())
			}
			asked += c.use
			if i == len(d.set.Plans)-1 && asked == c.use {
				c.use, c.spike, c.spikeEvery, c.spikeFor = 0.3*rate, hotShare*wanted, time.Hour, hotFor
				c.phase = -hotFrom
			}
			c.spread = max(min(2, n), int(float64(n)*(0.5+0.5*rng.Float64())))
			full := exactStore{level: p.Burst, at: d.now}
			c.ours, c.late, c.all = full, full, full
			d.customers = append(d.customers, c)
			d.shift(c)
			d.nextAsk(c)
		}
	}
}

// shift draws the weights of a customer's gateways anew, again and again.
func (d *fleetDay) shift(c *fleetCustomer) {
	c.weights = c.weights[:0]
	sum := 0.0
	for range c.spread {
		sum += math.Exp(1.4 * d.rng.NormFloat64())
		c.weights = append(c.weights, sum)
	}
	d.at(d.now+time.Duration((4+4*d.rng.Float64())*float64(time.Second)), func() { d.shift(c) })
}

func (c *fleetCustomer) pick(rng *rand.Rand, n int) int {
	x := rng.Float64() * c.weights[len(c.weights)-1]
	i, _ := slices.BinarySearch(c.weights, x)
	return (c.first + min(i, c.spread-1)) % n
}

func (d *fleetDay) nextAsk(c *fleetCustomer) {
	use := c.use
	top := max(c.use, c.spike) * burstFactor
	gap := d.rng.ExpFloat64() * fleetMeanUnits / top
	d.at(d.now+time.Duration(gap*float64(time.Second)), func() {
		if c.spike > 0 && (d.now+c.phase)%c.spikeEvery < c.spikeFor {
			use = c.spike
		}
		if since := d.now - time.Hour; since >= burstFrom && since < burstFrom+burstFor {
			use *= burstFactor
		}
		if d.rng.Float64() < use/top {
			d.ask(c)
		}
		d.nextAsk(c)
	})
}

// ask brings a first try, to us and to the policy that sees the true state late.
func (d *fleetDay) ask(c *fleetCustomer) {
	units := []float64{1, 1, 1, 2, 2, 2, 4}[d.rng.IntN(7)]
	work := time.Duration(d.rng.ExpFloat64() * float64(fleetWork))
	settled := units * math.Exp(guessError*(d.rng.NormFloat64()-guessError/2))
	if c.all.holds(c.plan, units, d.now) {
		d.ours.offered += c.plan.Price * units
		c.all.begin(c.plan, units, d.now)
		d.at(d.now+work, func() { c.all.end(d.now, settled-units) })
	}
	d.arrive(&fleetTry{customer: c, gateway: c.pick(d.rng, d.gateways), units: units, settled: settled, work: work, asked: d.now})
	d.askLate(c, units, work, settled-units)
}

// askLate decides by the true state of stateLate ago, what was sent since counted in.
func (d *fleetDay) askLate(c *fleetCustomer, units float64, work time.Duration, guessedLess float64) {
	seen := c.late.seen(c.plan, d.now)
	if c.plan.Rate > 0 && seen.level < units || c.plan.MaxConcurrency > 0 && seen.open >= c.plan.MaxConcurrency {
		return
	}
	inside := c.late.begin(c.plan, units, d.now)
	d.late.count(c.plan, units, inside)
	if !inside {
		guessedLess = 0
	}
	d.at(d.now+work, func() { c.late.end(d.now, guessedLess) })
}

func (b *fleetBill) count(p Plan, units float64, inside bool) {
	if inside {
		b.inside += p.Price * units
	} else {
		b.excess += p.Price * units * p.OverQuotaCost
	}
}

func (d *fleetDay) arrive(try *fleetTry) {
	d.lastID++
	id := d.lastID
	d.open[id] = try
	d.ours.tries++
	c := try.customer
	d.tell(try.gateway, Arrival{Request{ID: id, Class: "read", Plan: c.plan.Name, Customer: c.id, Units: try.units,
		Deadline: d.now + 2500*ms, GatewaySpan: c.spread, FirstGateway: c.first, IsRetry: try.tries > 0}})
}

// tell gives a gateway an event and carries out what it wants done.
func (d *fleetDay) tell(i int, ev Event) {
	gw := d.gateway[i]
	life := gw.life
	later := func(after time.Duration, ev func() Event) {
		d.at(d.now+after, func() {
			if gw.life == life {
				d.tell(i, ev())
			}
		})
	}
	for _, act := range gw.g.Handle(d.now, ev, nil) {
		switch act := act.(type) {
		case SetTimer:
			later(act.After, func() Event { return TimerFired{} })
		case Send:
			d.send(act, later)
		case Cancel:
			d.open[act.ID].attempts[act.Attempt].end(Cancelled)
		case Reject:
			d.refused(act)
		case IncrementCounter:
			d.count(act, later)
		}
	}
}

// send starts an attempt; the first to end answers the request.
func (d *fleetDay) send(act Send, later func(time.Duration, func() Event)) {
	try := d.open[act.ID]
	c := try.customer
	number := len(try.attempts)
	attempt := &fleetAttempt{}
	try.attempts = append(try.attempts, attempt)
	work := try.work
	if number == 0 {
		attempt.inside = c.ours.begin(c.plan, try.units, d.now)
		d.ours.count(c.plan, try.units, attempt.inside)
	} else {
		c.ours.open++
		work = time.Duration(d.rng.ExpFloat64() * float64(fleetWork))
	}
	attempt.end = func(o Outcome) {
		if attempt.ended {
			return
		}
		attempt.ended = true
		finished, guessedLess := o == Succeeded && !try.answered, 0.0
		if finished && try.attempts[0].inside && c.plan.Rate > 0 {
			guessedLess = try.settled - try.units
		}
		try.answered = try.answered || finished
		c.ours.end(d.now, guessedLess)
		later(ms, func() Event {
			return AttemptEnded{ID: act.ID, Attempt: number, Endpoint: act.Endpoint, Outcome: o, Latency: work + ms,
				RequestFinished: finished, SettledUnits: try.settled, LoadReport: LoadReport{"queue": 0}}
		})
	}
	d.at(d.now+work, func() { attempt.end(Succeeded) })
}

// refused lets half of the clients come again, most of them to the same gateway.
func (d *fleetDay) refused(act Reject) {
	try := d.open[act.ID]
	delete(d.open, act.ID)
	c := try.customer
	inside := c.ours.holds(c.plan, try.units, d.now)
	if inside {
		d.ours.refusedWithRoom++
	}
	if try.tries >= 3 || d.rng.Float64() > 0.85 {
		return
	}
	wait := 40 * ms << try.tries
	if d.rng.Float64() < 0.5 {
		wait = max(wait, min(act.RetryAfter, d.set.MaxRetryAfter))
	}
	next := &fleetTry{customer: c, gateway: try.gateway, units: try.units, settled: try.settled, tries: try.tries + 1, work: try.work, asked: try.asked}
	if d.rng.Float64() < 0.2 {
		next.gateway = c.pick(d.rng, d.gateways)
	}
	d.at(d.now+time.Duration(float64(wait)*(0.5+d.rng.Float64())), func() {
		if d.now < next.asked+2500*ms {
			d.arrive(next)
		}
	})
}

// count is the counter: one line of calls, served in order.
func (d *fleetDay) count(act IncrementCounter, later func(time.Duration, func() Event)) {
	d.ours.calls++
	fail := func(after time.Duration, o Outcome) {
		later(after, func() Event { return CounterReply{Name: act.Name, Outcome: o} })
	}
	since := d.now - time.Hour
	if k := d.counter; k.silentFor > 0 && since >= k.silentFrom && since < k.silentFrom+k.silentFor {
		if k.forgets {
			clear(d.totals)
		}
		fail(d.set.CounterTimeout, TimedOut)
		return
	}
	part := &d.line[partOf(act.Name)]
	each := time.Duration(counterParts * float64(time.Second) / (d.counter.callsPerRequest * d.rps * float64(d.gateways)))
	if *part > d.now+160*ms {
		fail(2*ms, Rejected)
		return
	}
	*part = max(*part, d.now) + each
	late := *part+d.counter.delay > d.now+d.set.CounterTimeout || d.rng.Float64() < d.counter.loss
	if late {
		fail(d.set.CounterTimeout, TimedOut)
	}
	d.at(*part, func() {
		d.totals[act.Name] += act.Add
		total := d.totals[act.Name]
		if !late {
			later(d.counter.delay, func() Event { return CounterReply{Name: act.Name, Outcome: Succeeded, Total: total} })
		}
	})
}

// partOf is the part of the counter that keeps a name.
func partOf(name string) int {
	sum := 0
	for _, b := range []byte(name) {
		sum = sum*31 + int(b)
	}
	return (sum%counterParts + counterParts) % counterParts
}

// play plays the day out.
func (d *fleetDay) play() (ours, late fleetBill) {
	end := time.Hour + d.length
	if d.restarted > 0 {
		d.at(time.Hour+d.restartAt, func() {
			for i := range d.gateway {
				if d.rng.Float64() < d.restarted {
					d.start(i)
				}
			}
		})
	}
	for d.events.Len() > 0 {
		e := heap.Pop(&d.events).(fleetEvent)
		if e.at > end {
			break
		}
		d.now = max(d.now, e.at)
		e.do()
	}
	d.late.offered = d.ours.offered
	return d.ours, d.late
}
