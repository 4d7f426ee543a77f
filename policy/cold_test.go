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
	coldStep   = 20 * ms // the sweep of aims of 1 s
	coldBefore = 2 * time.Second
	coldAfter  = 5 * time.Second // the budget is smallest at first
)

// coldCell is one cell of the matrix: a fleet of gateways over servers of one size, and what happens to them.
type coldCell struct {
	gateways, servers int
	each              float64 // what a warm server answers, requests a second
	uneven            bool    // a tenth of the gateways have half of the traffic
	keeps             int     // servers that a gateway keeps about, as of Subset; 0: all
	coldCase
}

// coldCase is what happens.
type coldCase struct {
	fresh    string  // which servers start cold: see coldDay.start
	lean     string  // what ails the servers that stay warm: "", slow, full or silent
	late     bool    // the gateways learn of it after 1 to 5 s, each at its own time
	restart  string  // which gateways do: "", "all" (a second after the servers), "tenths" (one each 0.5 s)
	load     float64 // offered, as a share of what the warm fleet answers
	multiple float64 // FallMultiple of the settings
}

func (c coldCell) String() string {
	return fmt.Sprintf("%d gateways, uneven %v, keep %d of %d servers of %v a second, %+v", c.gateways, c.uneven,
		cmp.Or(c.keeps, c.servers), c.servers, c.each, c.coldCase)
}

// work is an attempt at a server.
type work struct {
	r       *rig
	id      RequestID
	attempt int
	sent    time.Duration
	over    bool // the gateway has had its end
}

// coldServer is a modelled server: some slots, a waiting room, and the least capacity that the settings promise.
type coldServer struct {
	Endpoint
	slots, busy int
	waiting     []*work
	ails        string
	life        int             // a restart drops what is in work
	sends       []time.Duration // since its cold start
}

// coldEvent is due at a gateway, or ends work at a server.
type coldEvent struct {
	r    *rig
	ev   Event
	s    *coldServer
	w    *work
	life int
}

// coldDay plays one seeded cell on a driven clock.
type coldDay struct {
	coldCell
	t       *testing.T
	set     Settings
	rng     *rand.Rand
	seed    uint64
	now     time.Duration
	rigs    []*rig
	share   []float64 // cumulative, of the traffic
	servers map[EndpointID]*coldServer
	cold    []*coldServer
	kept    map[*rig]*keptServers
	due     map[time.Duration][]coldEvent
	open    map[RequestID]*coldRequest
	asked   RequestID
	fromNew int // sends to cold servers, and to all, since the start
	sent    int
}

// coldRequest is what the network code knows of a request.
type coldRequest struct {
	giveUp time.Duration
	tries  []*work
	final  bool
}

func newColdDay(t *testing.T, c coldCell, seed uint64) *coldDay {
	d := &coldDay{coldCell: c, t: t, set: settings(), rng: rand.New(rand.NewPCG(seed, 11)), seed: seed, now: time.Minute,
		servers: map[EndpointID]*coldServer{}, kept: map[*rig]*keptServers{}, due: map[time.Duration][]coldEvent{}, open: map[RequestID]*coldRequest{}}
	for i := range d.set.Classes {
		d.set.Classes[i].LatencyObjective = ticksPerObjective * coldStep
	}
	d.set.GatewayCount, d.set.SlowStartBudgetMultiple = c.gateways, c.multiple
	for i := range c.servers {
		d.add(EndpointID(fmt.Sprintf("old%03d", i)), 0)
	}
	sum := 0.0
	for i := range c.gateways {
		part := 1.0
		if many := max(1, c.gateways/10); c.uneven && i < many {
			part = float64(max(1, c.gateways-many)) / float64(many)
		}
		sum += part
		d.share = append(d.share, sum)
		d.rigs = append(d.rigs, d.gateway(i))
	}
	return d
}

func (d *coldDay) gateway(me int) *rig {
	set := d.set
	set.Index = me
	d.seed += 1 << 20
	g, err := New(set, d.seed+uint64(me))
	if err != nil {
		d.t.Fatal(err)
	}
	r := &rig{T: d.t, g: g, now: d.now}
	if d.keeps > 0 {
		d.kept[r] = newKeptServers(me, set.GatewayCount, d.keeps, d.coldCell.servers)
	}
	d.tell(r, d.part(r, EndpointsChanged{Snapshot: true, Endpoints: d.list()}))
	return r
}

// keptServers reads a long list as a gateway does that keeps a subset.
type keptServers struct {
	*subset.Subset
	ids map[EndpointID]bool
}

func newKeptServers(me, gateways, most, limit int) *keptServers {
	c := subset.Config{Index: me, GatewayCount: gateways, TargetSize: most, MaxSize: limit}
	return &keptServers{subset.New(c), map[EndpointID]bool{}}
}

func (k *keptServers) add(id EndpointID) {
	if k.Contains(string(id), "") {
		k.ids[id] = true
	}
	for k.IsOverfull(len(k.ids)) {
		k.Narrow()
		maps.DeleteFunc(k.ids, func(id EndpointID, _ bool) bool { return !k.Contains(string(id), "") })
	}
}

// part is what a gateway keeps of a list or a change.
func (d *coldDay) part(r *rig, ev EndpointsChanged) EndpointsChanged {
	k := d.kept[r]
	if k == nil {
		return ev
	}
	if ev.Snapshot {
		for _, s := range ev.Endpoints {
			k.add(s.ID)
		}
	}
	ev.Endpoints = slices.DeleteFunc(slices.Clone(ev.Endpoints), func(s Endpoint) bool { return !k.Contains(string(s.ID), "") })
	ev.GatewaysPerEndpoint = k.GatewaysPerEndpoint(0, len(k.ids))
	return ev
}

func (d *coldDay) add(id EndpointID, started time.Duration) *coldServer {
	s := &coldServer{Endpoint: Endpoint{ID: id, State: Serving, StartedAt: started}, slots: max(1, int(d.each/15))}
	d.servers[id] = s
	return s
}

func (d *coldDay) list() (out []Endpoint) {
	for _, s := range d.servers {
		out = append(out, s.Endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// warmth is the least share of its capacity that the settings promise of a server of that age.
func (d *coldDay) warmth(s *coldServer, at time.Duration) float64 {
	if s.StartedAt == 0 {
		return 1
	}
	return min(1, d.set.SlowStartMinWeight+(1-d.set.SlowStartMinWeight)*(at-s.StartedAt).Seconds()/d.set.SlowStartWindow.Seconds())
}

func (d *coldDay) tell(r *rig, ev Event) {
	r.now = d.now
	for _, act := range r.tell(ev) {
		switch act := act.(type) {
		case Send:
			d.send(r, act)
		case Cancel:
			w := d.open[act.ID].tries[act.Attempt]
			d.end(w, Cancelled, d.now+coldStep, nil)
		case Reject:
			d.open[act.ID].final = true
		case Fail:
			d.open[act.ID].final = true
		}
	}
}

func (d *coldDay) after(at time.Duration, e coldEvent) {
	at = max(d.now+coldStep, at.Truncate(coldStep))
	d.due[at] = append(d.due[at], e)
}

// send is an attempt's way to its server, which counts it whatever becomes of it.
func (d *coldDay) send(r *rig, act Send) {
	q, s := d.open[act.ID], d.servers[act.Endpoint]
	w := &work{r: r, id: act.ID, attempt: len(q.tries), sent: d.now}
	q.tries = append(q.tries, w)
	if d.now >= time.Minute+coldBefore {
		d.sent++
		if s.StartedAt > 0 {
			d.fromNew++
		}
	}
	if s.StartedAt > 0 {
		s.sends = append(s.sends, d.now)
	}
	stop := q.giveUp
	if act.AttemptDeadline > 0 {
		stop = min(stop, act.AttemptDeadline)
	}
	d.after(stop, coldEvent{w: w})
	switch {
	case s.State == Draining:
		d.end(w, Rejected, d.now+coldStep, nil)
	case s.ails == "silent":
	case s.ails == "full" || len(s.waiting) >= 4*s.slots:
		d.end(w, Rejected, d.now+coldStep, LoadReport{"queue": float64(len(s.waiting))})
	default:
		s.waiting = append(s.waiting, w)
		d.serve(s)
	}
}

// serve fills a server's slots from its waiting room; work takes an exponential time, longer where it is cold.
func (d *coldDay) serve(s *coldServer) {
	for s.busy < s.slots && len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if w.over {
			continue
		}
		took := d.rng.ExpFloat64() * float64(s.slots) / (d.each * d.warmth(s, d.now))
		if s.ails == "slow" {
			took *= 8
		}
		s.busy++
		d.after(d.now+time.Duration(took*float64(time.Second)), coldEvent{s: s, w: w, life: s.life})
	}
}

// end brings an attempt's end to its gateway, once.
func (d *coldDay) end(w *work, o Outcome, at time.Duration, load LoadReport) {
	if w.over {
		return
	}
	w.over = true
	d.after(at, coldEvent{r: w.r, w: w,
		ev: AttemptEnded{ID: w.id, Attempt: w.attempt, Outcome: o, Latency: at - w.sent, LoadReport: load}})
}

func (d *coldDay) happen(e coldEvent) {
	switch {
	case e.s != nil && e.life == e.s.life: // its work is done
		e.s.busy--
		d.end(e.w, Succeeded, d.now, LoadReport{"queue": float64(len(e.s.waiting))})
		d.serve(e.s)
	case e.s != nil:
	case e.ev == nil: // its time is up
		d.end(e.w, TimedOut, d.now, nil)
	default:
		if !slices.Contains(d.rigs, e.r) {
			return // restarted meanwhile
		}
		if ended, ok := e.ev.(AttemptEnded); ok {
			q := d.open[ended.ID]
			q.final = q.final || ended.Outcome == Succeeded
			ended.RequestFinished = q.final
			e.ev = ended
		}
		d.tell(e.r, e.ev)
	}
}

// start makes servers cold and tells the gateways: "one" or "plus" (as many again) join; "half" or "all" of the old ones
// are replaced and drain, all by "few" (half as many) or by "quarter" as many; "same half" or "same all" come back under
// their ids.
func (d *coldDay) start() {
	m := d.coldCell.servers
	n := map[string]int{"half": m / 2, "all": m, "few": m, "quarter": m, "same half": m / 2, "same all": m}[d.fresh]
	var news []Endpoint
	for i := range n {
		old := d.servers[EndpointID(fmt.Sprintf("old%03d", i))]
		if strings.HasPrefix(d.fresh, "same") { // what it held is lost
			for _, w := range old.waiting {
				d.end(w, Reset, d.now+coldStep, nil)
			}
			old.life, old.busy, old.waiting, old.StartedAt = old.life+1, 0, nil, d.now
			d.cold = append(d.cold, old)
			continue
		}
		old.State = Draining
		news = append(news, old.Endpoint)
		if !(d.fresh == "few" && i%2 > 0 || d.fresh == "quarter" && i%4 > 0) {
			d.cold = append(d.cold, d.add(EndpointID(fmt.Sprintf("new%03d", i)), d.now))
		}
	}
	for i := range map[string]int{"one": 1, "plus": m}[d.fresh] {
		d.cold = append(d.cold, d.add(EndpointID(fmt.Sprintf("new%03d", i)), d.now))
	}
	for _, s := range d.servers {
		if s.StartedAt == 0 && s.State == Serving {
			s.ails = d.lean
		}
	}
	for _, s := range d.cold {
		news = append(news, s.Endpoint)
	}
	for _, r := range d.rigs {
		at := d.now + coldStep + time.Duration(d.rng.Int64N(int64(100*ms)))
		if d.late {
			at = d.now + time.Second + time.Duration(d.rng.Int64N(int64(4*time.Second)))
		}
		d.after(at, coldEvent{r: r, ev: d.part(r, EndpointsChanged{Endpoints: news})})
	}
}

// restartGateways puts new gateways in the place of old ones, which takes what those held with it.
func (d *coldDay) restartGateways(since time.Duration) {
	n := len(d.rigs)
	tenth := int((since - time.Second) / (500 * ms))
	for i := range d.rigs {
		all := d.restart == "all" && since == time.Second
		if all || d.restart == "tenths" && since >= time.Second && (since-time.Second)%(500*ms) == 0 && i*10/n == tenth {
			d.rigs[i] = d.gateway(i)
		}
	}
}

func (d *coldDay) poisson(mean float64) int {
	n, l := 0, math.Exp(-mean)
	for p := d.rng.Float64(); p > l; p *= d.rng.Float64() {
		n++
	}
	return n
}

func (d *coldDay) play() {
	begin := d.now + coldBefore
	for ; d.now < begin+coldAfter; d.now += coldStep {
		if d.now == begin {
			d.start()
		}
		d.restartGateways(d.now - begin)
		for _, e := range d.due[d.now] {
			d.happen(e)
		}
		delete(d.due, d.now)
		for range d.poisson(d.load * d.each * float64(d.coldCell.servers) * coldStep.Seconds()) {
			d.asked++
			i := sort.SearchFloat64s(d.share, d.rng.Float64()*d.share[len(d.share)-1])
			q := &coldRequest{giveUp: d.now + 2*time.Second}
			d.open[d.asked] = q
			class := []string{"read", "read", "read", "book", "pay"}[d.rng.IntN(5)]
			d.tell(d.rigs[i], Arrival{Request{ID: d.asked, Class: class, Plan: "free", Customer: "c", Units: 1,
				Deadline: q.giveUp, GatewaySpan: d.gateways}})
		}
		for _, r := range d.rigs {
			d.tell(r, TimerFired{})
		}
	}
}

// fall is the span of sends to a cold server that is furthest over (or least under) what the settings allow.
type fall struct {
	server    EndpointID
	age       time.Duration // at the span's start
	sends     int
	allows, n float64 // the budget, and N
}

// worst looks at each span that begins with a send to a server that is still cold. N is taken for the warmth at the span's
// start, the least within it; fell counts the servers that got more than their budget.
func (d *coldDay) worst() (worst fall, fell int) {
	over := math.Inf(-1)
	for _, s := range d.cold {
		down := false
		for i, from := range s.sends {
			to, _ := slices.BinarySearch(s.sends, from+d.set.SlowStartBudgetSpan)
			n := d.set.SlowStartBudgetMultiple * d.each * d.warmth(s, from) * d.set.SlowStartBudgetSpan.Seconds()
			allows := n + 2*math.Sqrt(n) + 2
			if x := float64(to-i) - allows; x > over {
				over, worst = x, fall{s.ID, from - s.StartedAt, to - i, allows, n}
			}
			down = down || float64(to-i) > allows
		}
		if down {
			fell++
		}
	}
	return worst, fell
}

// The sum of what all gateways send to a cold server stays within N + 2 x root of N + 2 in each span that the settings
// name, N being what they allow a server of that age: over 1 to 300 gateways, even and uneven traffic, small and large
// servers, also where little but cold servers is left and where the gateways have just restarted themselves.
func TestColdServersHoldInTheSumOfTheFleet(t *testing.T) {
	sizes := []coldCell{{gateways: 1, servers: 4, each: 20}, {gateways: 4, servers: 10, each: 20},
		{gateways: 20, servers: 20, each: 5}, {gateways: 30, servers: 4, each: 20},
		{gateways: 300, servers: 4, each: 100}, {gateways: 300, servers: 20, each: 20}}
	cases := []coldCase{{fresh: "one"}, {fresh: "plus"}, {fresh: "half"}, {fresh: "half", load: 1.05}, {fresh: "all"},
		{fresh: "all", restart: "all"}, {fresh: "same half"}, {fresh: "same all"}, {fresh: "same all", load: 1.05},
		{fresh: "half", restart: "all"}, {fresh: "half", restart: "tenths"}, {fresh: "half", late: true},
		{fresh: "few"}, {fresh: "quarter"}, {fresh: "quarter", restart: "all"}, {fresh: "quarter", late: true},
		{fresh: "half", lean: "slow"}, {fresh: "half", lean: "full"}, {fresh: "one", lean: "full"},
		{fresh: "half", lean: "silent"}, {fresh: "all", multiple: 1.5}, {fresh: "all", restart: "all", multiple: 1.5},
		{fresh: "all", multiple: 2}, {fresh: "all", restart: "all", multiple: 2}, {fresh: "half", late: true, multiple: 2},
		{fresh: "quarter", multiple: 2}, {fresh: "same half", load: 1.05, multiple: 2},
		{fresh: "half", lean: "full", multiple: 2}}
	cells := []coldCell{{gateways: 300, servers: 200, each: 5, coldCase: coldCase{fresh: "quarter"}}}
	for i, c := range []coldCase{{fresh: "one"}, {fresh: "quarter"}, {fresh: "all", restart: "all"}, {fresh: "same half"},
		{fresh: "half", late: true}} {
		cells = append(cells, coldCell{gateways: 300, servers: 400, each: []float64{5, 20}[i%2], uneven: i > 2, keeps: 25,
			coldCase: c})
	}
	for i, c := range cases {
		for _, cell := range sizes {
			cell.coldCase, cell.uneven = c, i%2 > 0 && cell.gateways > 1
			if cell.gateways == 300 { // what takes long takes turns
				if cell.servers == 4 == (i%4 < 2) {
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
		d := newColdDay(t, c, 1)
		d.play()
		if w, fell := d.worst(); fell > 0 {
			t.Errorf("%v: %d of %d fell; %s got %d from the age of %v on, N is %.1f and the budget %.1f", c, fell,
				len(d.cold), w.server, w.sends, w.age, w.n, w.allows)
		}
	}
}

// The budget is not held by idling: the cold half of the fleet takes part in the work from the start.
func TestColdHalfTakesPartInTheWork(t *testing.T) {
	for _, row := range []struct {
		cell coldCell
		want float64 // share of the traffic of the first 5 s
	}{
		{coldCell{gateways: 30, servers: 10, each: 100}, 0.15},
		{coldCell{gateways: 30, servers: 20, each: 20}, 0.15},
		{coldCell{gateways: 300, servers: 4, each: 100}, 0.1},
		{coldCell{gateways: 300, servers: 20, each: 20}, 0.02},
	} {
		sum := 0.0
		row.cell.coldCase = coldCase{fresh: "half", load: 0.7, multiple: 4}
		for seed := range uint64(2) {
			d := newColdDay(t, row.cell, seed+1)
			d.play()
			sum += float64(d.fromNew) / float64(d.sent) / 2
		}
		t.Logf("%v: the cold half took %.3f of the work", row.cell, sum)
		if sum < row.want {
			t.Errorf("%v: the cold half took %.3f of the work, want %.2f", row.cell, sum, row.want)
		}
	}
}
