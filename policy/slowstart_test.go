package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"lemontack/internal/subset"
)

const (
	slowStartStep   = 20 * ms // the tick of latency objectives of 1 s
	timeBeforeStart = 2 * time.Second
	timeAfterStart  = 5 * time.Second // the budget is smallest at first
)

// slowStartCell is one cell of the matrix: gateways that share endpoints of one capacity, and what happens to them.
type slowStartCell struct {
	gateways, endpoints int
	endpointRate        float64 // what a warm endpoint answers, requests a second
	uneven              bool    // a tenth of the gateways have half of the traffic
	subsetSize          int     // size of the subset that a gateway is given, about; 0: all
	slowStartCase
}

// slowStartCase is what happens.
type slowStartCase struct {
	started   string  // which endpoints start: see slowStartRun.startEndpoints
	warmFault string  // the fault of the endpoints that stay warm: "", slow, full or silent
	delayed   bool    // the gateways are notified after 1 to 5 s, each at its own time
	restart   string  // which gateways restart: "", "all" (a second after the endpoints), "tenths" (a tenth each 0.5 s)
	load      float64 // offered, as a share of what all endpoints answer when warm
	multiple  float64 // SlowStartBudgetMultiple of the settings
}

func (c slowStartCell) String() string {
	return fmt.Sprintf("%d gateways, uneven %v, a subset of %d of %d endpoints of %v a second, %+v", c.gateways, c.uneven,
		cmp.Or(c.subsetSize, c.endpoints), c.endpoints, c.endpointRate, c.slowStartCase)
}

// slowStartAttempt is an attempt at a modelled endpoint.
type slowStartAttempt struct {
	gateway *testGateway
	id      RequestID
	attempt int
	sent    time.Duration
	over    bool // the gateway has been notified of its end
}

// modelEndpoint is a modelled endpoint: some slots, a queue, and the minimum capacity that the settings promise.
type modelEndpoint struct {
	Endpoint
	slots, busy int
	waiting     []*slowStartAttempt
	fault       string
	incarnation int             // counts its starts; a restart drops its attempts
	sends       []time.Duration // since its start
}

// slowStartEvent is due at a gateway, or ends an attempt at an endpoint.
type slowStartEvent struct {
	gateway     *testGateway
	ev          Event
	s           *modelEndpoint
	w           *slowStartAttempt
	incarnation int
}

// slowStartRun plays one seeded cell on a simulated clock.
type slowStartRun struct {
	slowStartCell
	t               *testing.T
	set             Settings
	rng             *rand.Rand
	seed            uint64
	now             time.Duration
	gateways        []*testGateway
	share           []float64 // cumulative, of the traffic
	endpoints       map[EndpointID]*modelEndpoint
	starting        []*modelEndpoint // those that startEndpoints has started
	subsets         map[*testGateway]*endpointSubset
	due             map[time.Duration][]slowStartEvent
	requests        map[RequestID]*slowStartRequest
	lastID          RequestID
	sentToSlowStart int // sends to endpoints in slow start, and to all, since their start
	sent            int
}

// slowStartRequest is what the network code knows of a request.
type slowStartRequest struct {
	deadline time.Duration
	attempts []*slowStartAttempt
	final    bool
}

func newSlowStartRun(t *testing.T, c slowStartCell, seed uint64) *slowStartRun {
	d := &slowStartRun{slowStartCell: c, t: t, set: settings(), rng: rand.New(rand.NewPCG(seed, 11)), seed: seed, now: time.Minute,
		endpoints: map[EndpointID]*modelEndpoint{}, subsets: map[*testGateway]*endpointSubset{}, due: map[time.Duration][]slowStartEvent{}, requests: map[RequestID]*slowStartRequest{}}
	for i := range d.set.Classes {
		d.set.Classes[i].LatencyObjective = ticksPerObjective * slowStartStep
	}
	d.set.GatewayCount, d.set.SlowStartBudgetMultiple = c.gateways, c.multiple
	for i := range c.endpoints {
		d.add(EndpointID(fmt.Sprintf("old%03d", i)), 0)
	}
	sum := 0.0
	for i := range c.gateways {
		weight := 1.0
		if many := max(1, c.gateways/10); c.uneven && i < many {
			weight = float64(max(1, c.gateways-many)) / float64(many)
		}
		sum += weight
		d.share = append(d.share, sum)
		d.gateways = append(d.gateways, d.startGateway(i))
	}
	return d
}

// startGateway starts a gateway that knows the endpoints of now.
func (d *slowStartRun) startGateway(index int) *testGateway {
	set := d.set
	set.Index = index
	d.seed += 1 << 20
	gateway, err := New(set, d.seed+uint64(index))
	if err != nil {
		d.t.Fatal(err)
	}
	g := &testGateway{T: d.t, gateway: gateway, now: d.now}
	if d.subsetSize > 0 {
		d.subsets[g] = newEndpointSubset(index, set.GatewayCount, d.subsetSize, d.slowStartCell.endpoints)
	}
	d.notify(g, d.subsetOf(g, EndpointsChanged{IsSnapshot: true, Endpoints: d.list()}))
	return g
}

// endpointSubset reads a long list as a gateway does that keeps a subset.
type endpointSubset struct {
	*subset.Subset
	ids map[EndpointID]bool
}

func newEndpointSubset(index, gateways, targetSize, maxSize int) *endpointSubset {
	c := subset.Config{Index: index, GatewayCount: gateways, TargetSize: targetSize, MaxSize: maxSize}
	return &endpointSubset{subset.New(c), map[EndpointID]bool{}}
}

func (k *endpointSubset) add(id EndpointID) {
	if k.Contains(string(id), "") {
		k.ids[id] = true
	}
	for k.IsOverfull(len(k.ids)) {
		k.Narrow()
		maps.DeleteFunc(k.ids, func(id EndpointID, _ bool) bool { return !k.Contains(string(id), "") })
	}
}

// subsetOf is what a gateway is given of a list or a change.
func (d *slowStartRun) subsetOf(g *testGateway, ev EndpointsChanged) EndpointsChanged {
	k := d.subsets[g]
	if k == nil {
		return ev
	}
	if ev.IsSnapshot {
		for _, s := range ev.Endpoints {
			k.add(s.ID)
		}
	}
	ev.Endpoints = slices.DeleteFunc(slices.Clone(ev.Endpoints), func(s Endpoint) bool { return !k.Contains(string(s.ID), "") })
	ev.GatewaysPerEndpoint = k.GatewaysPerEndpoint(0, len(k.ids))
	return ev
}

func (d *slowStartRun) add(id EndpointID, started time.Duration) *modelEndpoint {
	s := &modelEndpoint{Endpoint: Endpoint{ID: id, State: Serving, StartedAt: started}, slots: max(1, int(d.endpointRate/15))}
	d.endpoints[id] = s
	return s
}

func (d *slowStartRun) list() (out []Endpoint) {
	for _, s := range d.endpoints {
		out = append(out, s.Endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// slowStartWeight is the minimum share of its capacity that the settings promise of an endpoint of that age.
func (d *slowStartRun) slowStartWeight(s *modelEndpoint, at time.Duration) float64 {
	if s.StartedAt == 0 {
		return 1
	}
	return min(1, d.set.SlowStartMinWeight+(1-d.set.SlowStartMinWeight)*(at-s.StartedAt).Seconds()/d.set.SlowStartWindow.Seconds())
}

// notify gives a gateway an event and carries out its actions.
func (d *slowStartRun) notify(g *testGateway, ev Event) {
	g.now = d.now
	for _, act := range g.handle(ev) {
		switch act := act.(type) {
		case Send:
			d.send(g, act)
		case Cancel:
			w := d.requests[act.ID].attempts[act.Attempt]
			d.end(w, Cancelled, d.now+slowStartStep, nil)
		case Reject:
			d.requests[act.ID].final = true
		case Fail:
			d.requests[act.ID].final = true
		}
	}
}

func (d *slowStartRun) after(at time.Duration, e slowStartEvent) {
	at = max(d.now+slowStartStep, at.Truncate(slowStartStep))
	d.due[at] = append(d.due[at], e)
}

// send brings an attempt to its endpoint, which counts it however it ends.
func (d *slowStartRun) send(g *testGateway, act Send) {
	q, s := d.requests[act.ID], d.endpoints[act.Endpoint]
	w := &slowStartAttempt{gateway: g, id: act.ID, attempt: len(q.attempts), sent: d.now}
	q.attempts = append(q.attempts, w)
	if d.now >= time.Minute+timeBeforeStart {
		d.sent++
		if s.StartedAt > 0 {
			d.sentToSlowStart++
		}
	}
	if s.StartedAt > 0 {
		s.sends = append(s.sends, d.now)
	}
	stop := q.deadline
	if act.AttemptDeadline > 0 {
		stop = min(stop, act.AttemptDeadline)
	}
	d.after(stop, slowStartEvent{w: w})
	switch {
	case s.State == Draining:
		d.end(w, Rejected, d.now+slowStartStep, nil)
	case s.fault == "silent":
	case s.fault == "full" || len(s.waiting) >= 4*s.slots:
		d.end(w, Rejected, d.now+slowStartStep, LoadReport{"queue": float64(len(s.waiting))})
	default:
		s.waiting = append(s.waiting, w)
		d.serve(s)
	}
}

// serve fills an endpoint's slots from its queue; an attempt takes an exponential time, longer in slow start.
func (d *slowStartRun) serve(s *modelEndpoint) {
	for s.busy < s.slots && len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if w.over {
			continue
		}
		took := d.rng.ExpFloat64() * float64(s.slots) / (d.endpointRate * d.slowStartWeight(s, d.now))
		if s.fault == "slow" {
			took *= 8
		}
		s.busy++
		d.after(d.now+time.Duration(took*float64(time.Second)), slowStartEvent{s: s, w: w, incarnation: s.incarnation})
	}
}

// end notifies the gateway of an attempt's end, once.
func (d *slowStartRun) end(w *slowStartAttempt, o Outcome, at time.Duration, load LoadReport) {
	if w.over {
		return
	}
	w.over = true
	d.after(at, slowStartEvent{gateway: w.gateway, w: w,
		ev: AttemptEnded{ID: w.id, Attempt: w.attempt, Outcome: o, Latency: at - w.sent, LoadReport: load}})
}

func (d *slowStartRun) handle(e slowStartEvent) {
	switch {
	case e.s != nil && e.incarnation == e.s.incarnation: // it has been served
		e.s.busy--
		d.end(e.w, Succeeded, d.now, LoadReport{"queue": float64(len(e.s.waiting))})
		d.serve(e.s)
	case e.s != nil:
	case e.ev == nil: // its deadline is over
		d.end(e.w, TimedOut, d.now, nil)
	default:
		if !slices.Contains(d.gateways, e.gateway) {
			return // the gateway has restarted meanwhile
		}
		if ended, ok := e.ev.(AttemptEnded); ok {
			q := d.requests[ended.ID]
			q.final = q.final || ended.Outcome == Succeeded
			ended.RequestFinished = q.final
			e.ev = ended
		}
		d.notify(e.gateway, e.ev)
	}
}

// startEndpoints starts endpoints and notifies the gateways: "one" or "plus" (as many again) join; "half" or "all" of the old
// ones are replaced and drain, all by "few" (half as many) or by "quarter" as many; "same half" or "same all" restart under
// their ids.
func (d *slowStartRun) startEndpoints() {
	m := d.slowStartCell.endpoints
	n := map[string]int{"half": m / 2, "all": m, "few": m, "quarter": m, "same half": m / 2, "same all": m}[d.started]
	var news []Endpoint
	for i := range n {
		old := d.endpoints[EndpointID(fmt.Sprintf("old%03d", i))]
		if strings.HasPrefix(d.started, "same") { // its attempts are lost
			for _, w := range old.waiting {
				d.end(w, Reset, d.now+slowStartStep, nil)
			}
			old.incarnation, old.busy, old.waiting, old.StartedAt = old.incarnation+1, 0, nil, d.now
			d.starting = append(d.starting, old)
			continue
		}
		old.State = Draining
		news = append(news, old.Endpoint)
		if !(d.started == "few" && i%2 > 0 || d.started == "quarter" && i%4 > 0) {
			d.starting = append(d.starting, d.add(EndpointID(fmt.Sprintf("new%03d", i)), d.now))
		}
	}
	for i := range map[string]int{"one": 1, "plus": m}[d.started] {
		d.starting = append(d.starting, d.add(EndpointID(fmt.Sprintf("new%03d", i)), d.now))
	}
	for _, s := range d.endpoints {
		if s.StartedAt == 0 && s.State == Serving {
			s.fault = d.warmFault
		}
	}
	for _, s := range d.starting {
		news = append(news, s.Endpoint)
	}
	for _, g := range d.gateways {
		at := d.now + slowStartStep + time.Duration(d.rng.Int64N(int64(100*ms)))
		if d.delayed {
			at = d.now + time.Second + time.Duration(d.rng.Int64N(int64(4*time.Second)))
		}
		d.after(at, slowStartEvent{gateway: g, ev: d.subsetOf(g, EndpointsChanged{Endpoints: news})})
	}
}

// restartGateways replaces gateways by new ones; what the old ones knew is lost.
func (d *slowStartRun) restartGateways(since time.Duration) {
	n := len(d.gateways)
	tenth := int((since - time.Second) / (500 * ms))
	for i := range d.gateways {
		all := d.restart == "all" && since == time.Second
		if all || d.restart == "tenths" && since >= time.Second && (since-time.Second)%(500*ms) == 0 && i*10/n == tenth {
			d.gateways[i] = d.startGateway(i)
		}
	}
}

func (d *slowStartRun) poisson(mean float64) int {
	n, l := 0, math.Exp(-mean)
	for p := d.rng.Float64(); p > l; p *= d.rng.Float64() {
		n++
	}
	return n
}

func (d *slowStartRun) play() {
	begin := d.now + timeBeforeStart
	for ; d.now < begin+timeAfterStart; d.now += slowStartStep {
		if d.now == begin {
			d.startEndpoints()
		}
		d.restartGateways(d.now - begin)
		for _, e := range d.due[d.now] {
			d.handle(e)
		}
		delete(d.due, d.now)
		for range d.poisson(d.load * d.endpointRate * float64(d.slowStartCell.endpoints) * slowStartStep.Seconds()) {
			d.lastID++
			i := sort.SearchFloat64s(d.share, d.rng.Float64()*d.share[len(d.share)-1])
			q := &slowStartRequest{deadline: d.now + 2*time.Second}
			d.requests[d.lastID] = q
			class := []string{"read", "read", "read", "book", "pay"}[d.rng.IntN(5)]
			d.notify(d.gateways[i], Arrival{Request{ID: d.lastID, Class: class, Plan: "free", Customer: "c", Units: 1,
				Deadline: q.deadline, GatewaySpan: d.slowStartCell.gateways}})
		}
		for _, g := range d.gateways {
			d.notify(g, TimerFired{})
		}
	}
}

// budgetSpan is the span of sends to an endpoint in slow start that is furthest over its budget, or nearest to it.
type budgetSpan struct {
	endpoint  EndpointID
	age       time.Duration // at the span's start
	sends     int
	allows, n float64 // the budget, and N
}

// worstSpan looks at each span that begins with a send to an endpoint in slow start. N is taken for the weight at the span's
// start, the minimum within it; overBudget counts the endpoints that got more than their budget.
func (d *slowStartRun) worstSpan() (worst budgetSpan, overBudget int) {
	over := math.Inf(-1)
	for _, s := range d.starting {
		down := false
		for i, from := range s.sends {
			to, _ := slices.BinarySearch(s.sends, from+d.set.SlowStartBudgetSpan)
			n := d.set.SlowStartBudgetMultiple * d.endpointRate * d.slowStartWeight(s, from) * d.set.SlowStartBudgetSpan.Seconds()
			allows := n + 2*math.Sqrt(n) + 2
			if x := float64(to-i) - allows; x > over {
				over, worst = x, budgetSpan{s.ID, from - s.StartedAt, to - i, allows, n}
			}
			down = down || float64(to-i) > allows
		}
		if down {
			overBudget++
		}
	}
	return worst, overBudget
}

// The sum of what all gateways send to an endpoint in slow start stays within N + 2 x root of N + 2 in each budget span, N
// being what the settings allow an endpoint of that age: over 1 to 300 gateways, even and uneven traffic, small and large
// endpoints, also where few endpoints are warm and where the gateways have just restarted themselves.
func TestSlowStartBudgetHoldsInTheSumOfAllGateways(t *testing.T) {
	sizes := []slowStartCell{{gateways: 1, endpoints: 4, endpointRate: 20}, {gateways: 4, endpoints: 10, endpointRate: 20},
		{gateways: 20, endpoints: 20, endpointRate: 5}, {gateways: 30, endpoints: 4, endpointRate: 20},
		{gateways: 300, endpoints: 4, endpointRate: 100}, {gateways: 300, endpoints: 20, endpointRate: 20}}
	cases := []slowStartCase{{started: "one"}, {started: "plus"}, {started: "half"}, {started: "half", load: 1.05}, {started: "all"},
		{started: "all", restart: "all"}, {started: "same half"}, {started: "same all"}, {started: "same all", load: 1.05},
		{started: "half", restart: "all"}, {started: "half", restart: "tenths"}, {started: "half", delayed: true},
		{started: "few"}, {started: "quarter"}, {started: "quarter", restart: "all"}, {started: "quarter", delayed: true},
		{started: "half", warmFault: "slow"}, {started: "half", warmFault: "full"}, {started: "one", warmFault: "full"},
		{started: "half", warmFault: "silent"}, {started: "all", multiple: 1.5}, {started: "all", restart: "all", multiple: 1.5},
		{started: "all", multiple: 2}, {started: "all", restart: "all", multiple: 2}, {started: "half", delayed: true, multiple: 2},
		{started: "quarter", multiple: 2}, {started: "same half", load: 1.05, multiple: 2},
		{started: "half", warmFault: "full", multiple: 2}}
	cells := []slowStartCell{{gateways: 300, endpoints: 200, endpointRate: 5, slowStartCase: slowStartCase{started: "quarter"}}}
	for i, c := range []slowStartCase{{started: "one"}, {started: "quarter"}, {started: "all", restart: "all"}, {started: "same half"},
		{started: "half", delayed: true}} {
		cells = append(cells, slowStartCell{gateways: 300, endpoints: 400, endpointRate: []float64{5, 20}[i%2], uneven: i > 2, subsetSize: 25,
			slowStartCase: c})
	}
	for i, c := range cases {
		for _, cell := range sizes {
			cell.slowStartCase, cell.uneven = c, i%2 > 0 && cell.gateways > 1
			if cell.gateways == 300 { // the longest runs: half of them
				if cell.endpoints == 4 == (i%4 < 2) {
					cells = append(cells, cell)
				}
				continue
			}
			cells = append(cells, cell)
			if cell.gateways > 1 {
				cell.uneven = !cell.uneven
				cells = append(cells, cell)
			}
		}
	}
	for _, c := range cells {
		c.load, c.multiple = cmp.Or(c.load, 0.7), cmp.Or(c.multiple, 4)
		d := newSlowStartRun(t, c, 1)
		d.play()
		if w, overBudget := d.worstSpan(); overBudget > 0 {
			t.Errorf("%v: %d of %d over budget; %s got %d from the age of %v on, N is %.1f and the budget %.1f", c, overBudget,
				len(d.starting), w.endpoint, w.sends, w.age, w.n, w.allows)
		}
	}
}

// The budget is not kept by sending nothing: endpoints in slow start take their share of the requests from the start.
func TestEndpointsInSlowStartTakeTheirShareOfTheRequests(t *testing.T) {
	for _, row := range []struct {
		cell slowStartCell
		want float64 // share of the traffic of the first 5 s
	}{
		{slowStartCell{gateways: 30, endpoints: 10, endpointRate: 100}, 0.15},
		{slowStartCell{gateways: 30, endpoints: 20, endpointRate: 20}, 0.15},
		{slowStartCell{gateways: 300, endpoints: 4, endpointRate: 100}, 0.1},
		{slowStartCell{gateways: 300, endpoints: 20, endpointRate: 20}, 0.02},
	} {
		sum := 0.0
		row.cell.slowStartCase = slowStartCase{started: "half", load: 0.7, multiple: 4}
		for seed := range uint64(2) {
			d := newSlowStartRun(t, row.cell, seed+1)
			d.play()
			sum += float64(d.sentToSlowStart) / float64(d.sent) / 2
		}
		t.Logf("%v: the half in slow start took %.3f of the attempts", row.cell, sum)
		if sum < row.want {
			t.Errorf("%v: the half in slow start took %.3f of the attempts, want %.2f", row.cell, sum, row.want)
		}
	}
}
