// Package ingress is the real ingress: it turns what comes on sockets into the decision module's events and
// carries out its actions. It decides nothing itself.
package ingress

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/subset"
	"lemontack/internal/upstream"
	"lemontack/internal/wire"
	"lemontack/policy"
)

const (
	eventQueue   = 256
	memoryShare  = 8         // of the memory: commands held, commands coming in, answers unread, answers coming in
	usualMemory  = 256 << 20 // where no limit is told
	mostBatch    = 256
	answerMargin = 20 * time.Millisecond  // before the client gives up: the way back, and a busy machine
	busyAdvice   = 250 * time.Millisecond // to those that find no place, where advice is allowed
	overdue      = 8 * time.Millisecond   // into the margin: the module should have answered by now
	firstList    = 300 * time.Millisecond // what a start waits for discovery before it serves from the known list
	idleCheck    = time.Second
	graceOpen    = 500 * time.Millisecond // after SIGTERM: new connections go on being served
	backlogTime  = 50 * time.Millisecond  // then, for those that came and were not accepted yet
	killWait     = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM and the longest deadline
	longestKept  = 3 * time.Second        // that deadline counts as this where it is longer
	endMargin    = 250 * time.Millisecond // before SIGKILL: everything has its answer, and connections end
	goodbye      = 150 * time.Millisecond // for the end of the connections then
	spare        = 32                     // descriptors for the counter, discovery, the listener and the runtime
)

// Config is all that an ingress is told.
type Config struct {
	Listen, Discovery, Counter string
	Seed                       uint64
	Sockets                    int // descriptors that it may hold
	Memory                     int // bytes that it may use; 0: not told
	Known                      Fleet
	Subset                     *subset.Subset // that Known was read with; nil: Known is whole
	Settings                   policy.Settings
	Connections                wire.Connections
}

// upstreamEvent is for the pool.
type upstreamEvent struct{ upstream.Event }

// maxUpstreamConnections is the share of an ingress's descriptors that may be connections to endpoints.
func maxUpstreamConnections(cfg Config) int { return cfg.Sockets * 3 / 8 }

// event is what the gateway's goroutine is told by the others.
type event any

// ending tells of a shutdown: everything has its final answer by then, on the gateway's clock.
type ending struct{ by time.Duration }

// Gateway owns the decision module: its clock, its timers and the table of requests. Its goroutine never
// waits for a peer.
type Gateway struct {
	cfg     Config
	net     wire.Connections
	log     *slog.Logger
	observe *observer
	holdUps *holdUps
	classes map[string]policy.Class
	plans   map[string]bool
	counter *counter
	disc    *discovery
	events  chan event
	stopped chan struct{}
	spawned sync.WaitGroup
	ctx     context.Context              // of the goroutines that it spawns
	listen  func() (net.Listener, error) // for clients
	ready   chan struct{}
	addr    net.Addr
	start   time.Time
	epoch   time.Duration // start on the clock that all ingresses share

	mod                 *policy.Gateway
	now                 time.Duration
	alarms              alarms
	requests            map[policy.RequestID]*request
	keys                map[uint64]bool // ids of requests whose time is not up, ended or not
	lastID              policy.RequestID
	endBy               time.Duration // of a shutdown; 0: none
	pool                *upstream.Pool
	gatewaysPerEndpoint float64 // as last told
	heldBytes           int     // bytes of their commands
	actions             []policy.Action
	queue               []policy.Event // for the module, from actions that ended at once

	mostHeld   int     // of heldBytes
	mostUnits  float64 // of one request
	mostTries  int     // attempts of one request
	turnedAway []byte  // the answer to what is not taken
}

// New checks the configuration and returns an ingress that does not run yet.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	if cfg.Sockets < 128 {
		return nil, fmt.Errorf("%d sockets are too few: 128 at least", cfg.Sockets)
	}
	if cfg.Settings.SharedCounter && cfg.Counter == "" {
		return nil, fmt.Errorf("the settings name a shared counter, the configuration has no address of it")
	}
	for _, addr := range []string{cfg.Listen, cfg.Discovery, cfg.Counter} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return nil, fmt.Errorf("not an address: %w", err)
		}
	}
	if cfg.Connections.ConnectTimeout <= 0 {
		cfg.Connections.ConnectTimeout = 250 * time.Millisecond
	}
	if cfg.Connections.MaxOpen <= 0 {
		cfg.Connections.MaxOpen = 20000
	}
	if cfg.Connections.Idle <= 0 {
		cfg.Connections.Idle = 15 * time.Second
	}
	if cfg.Settings.SharedCounter && cfg.Settings.CounterTimeout <= 0 {
		cfg.Settings.CounterTimeout = 100 * time.Millisecond
	}
	if cfg.Memory <= 0 {
		cfg.Memory = usualMemory
	}
	mod, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	g := &Gateway{cfg: cfg, net: cfg.Connections, log: log, observe: newObserver(log), holdUps: newHoldUps(start), classes: map[string]policy.Class{}, plans: map[string]bool{},
		events: make(chan event, eventQueue), stopped: make(chan struct{}), ready: make(chan struct{}), start: start,
		epoch: time.Duration(start.UnixNano()), mod: mod, requests: map[policy.RequestID]*request{},
		keys:     map[uint64]bool{},
		mostHeld: cfg.Memory / memoryShare, mostUnits: cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
		mostTries:  max(cfg.Settings.MaxAttempts, 1),
		turnedAway: busy(min(busyAdvice, cfg.Settings.MaxRetryAfter))}
	for _, c := range cfg.Settings.Classes {
		g.classes[c.Name] = c
	}
	for _, p := range cfg.Settings.Plans {
		g.plans[p.Name] = true
	}
	g.pool = upstream.NewPool(upstream.Config{
		Now:            func() time.Duration { return g.now },
		After:          g.after,
		Post:           func(ev upstream.Event) { g.post(upstreamEvent{ev}) },
		Go:             g.spawn,
		MaxConnections: maxUpstreamConnections(cfg),
		ConnectTimeout: cfg.Connections.ConnectTimeout,
		IdleTimeout:    cfg.Connections.Idle,
		ReplyMemory:    resp.NewMemoryBudget(cfg.Memory / memoryShare),
	})
	g.listen = func() (net.Listener, error) { return net.Listen("tcp", cfg.Listen) }
	g.counter = newCounter(cfg.Counter, cfg.Settings.CounterTimeout, g.post)
	g.disc = newDiscovery(cfg.Discovery, cfg.Known.Rev,
		paceOf(cfg.Settings.PollEndpoints, cfg.Settings.GatewayCount, len(cfg.Known.Targets) > 0), g.post, log)
	g.disc.known = newMembers(cfg.Settings, log)
	if cfg.Subset != nil {
		g.disc.known.subset = cfg.Subset
	}
	g.disc.rng = rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Settings.Index)))
	return g, nil
}

// Ready closes when clients are taken.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Addr is where, once Ready has closed.
func (g *Gateway) Addr() net.Addr { return g.addr }

// Move goes over to discovery and a counter at other addresses. It waits for nothing, may come at any time, and
// the last of several counts. Clients, backends and the module's books are left as they are.
func (g *Gateway) Move(discovery, counter string) {
	g.disc.moves.Set(discovery)
	for _, l := range g.counter.links {
		l.moves.Set(counter)
	}
}

// Run serves until ctx ends, then answers what it has taken and returns.
func (g *Gateway) Run(ctx context.Context) error {
	life, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		g.spawned.Wait()
	}()
	g.ctx = life
	known := len(g.cfg.Known.Targets)
	g.known()
	g.spawn(g.loop)
	for _, l := range g.counter.links {
		g.spawn(l.run)
	}
	g.spawn(g.disc.run)
	g.spawn(g.observe.run)
	select {
	case <-g.disc.first:
	case <-time.After(firstList):
	case <-ctx.Done():
		return nil
	}
	ln, err := g.listen()
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	f := newFront(ln, g, g.cfg.Sockets-maxUpstreamConnections(g.cfg)-spare, g.cfg.Memory/memoryShare)
	g.spawn(func(context.Context) { f.accept() })
	g.spawn(f.tidy)
	g.addr = ln.Addr()
	close(g.ready)
	g.log.Info("serving", "listen", g.cfg.Listen, "ingresses", g.cfg.Settings.GatewayCount,
		"backends known", known, "asks discovery", g.cfg.Settings.PollEndpoints)

	<-ctx.Done()
	g.log.Info("shutting down")
	left := endTime(g.cfg.Settings.Classes)
	limit, cancel := context.WithTimeout(life, left+goodbye)
	defer cancel()
	g.post(ending{g.clock(time.Now()) + left})
	time.Sleep(graceOpen)
	f.drain(limit)
	g.observe.writeCounters("shut down")
	return nil
}

// endTime is how long after SIGTERM the last answer is given: SIGKILL follows the longest deadline of the settings.
func endTime(classes []policy.Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, longestKept)+killWait-endMargin, graceOpen)
}

// spawn starts a goroutine that ends with the gateway's life, and is waited for.
func (g *Gateway) spawn(run func(context.Context)) {
	g.spawned.Add(1)
	go func() {
		defer g.spawned.Done()
		run(g.ctx)
	}()
}

// post tells the gateway's goroutine; after its end nothing is told any more.
func (g *Gateway) post(ev event) {
	select {
	case g.events <- ev:
	case <-g.stopped:
	}
}

// clock is the time that all ingresses share, advanced by the monotonic one.
func (g *Gateway) clock(t time.Time) time.Duration { return g.epoch + t.Sub(g.start) }

// known hands the module the list that the configuration brought, before anything else.
func (g *Gateway) known() {
	g.now = g.clock(time.Now())
	g.cfg.Known.All = true
	g.handle(g.disc.known.news(g.cfg.Known))
	g.cfg.Known.Targets = nil
}

// loop is the goroutine that owns all below.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.stopped)
	g.after(idleCheck, g.checkIdle)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(min(g.alarms[0].at-g.clock(time.Now()), beatEvery))
		select {
		case <-ctx.Done():
			return
		case ev := <-g.events:
			g.tick()
			g.handle(ev)
			for n := 1; n < mostBatch && len(g.events) > 0; n++ {
				ev := <-g.events
				g.tick()
				g.handle(ev)
			}
		case <-timer.C:
		}
		g.tick()
		g.ring()
	}
}

// tick takes the time from the clock, and notices where the process was held up.
func (g *Gateway) tick() {
	now := time.Now()
	g.now = g.clock(now)
	if gap := g.holdUps.pulse(now); gap > 0 {
		g.observe.wasHeldUp(gap)
	}
}

// ring does what is due.
func (g *Gateway) ring() {
	for len(g.alarms) > 0 && g.alarms[0].at <= g.now {
		heap.Pop(&g.alarms).(alarm).ring()
		g.flush()
	}
}

func (g *Gateway) checkIdle() {
	g.pool.RetireIdle()
	g.after(idleCheck, g.checkIdle)
}

func (g *Gateway) handle(ev event) {
	switch ev := ev.(type) {
	case arrived:
		g.arrived(ev.r)
	case abandoned:
		for _, left := range ev.reqs {
			if r := g.requests[left.ID]; r != nil { // else it is over, or was never taken
				g.abandon(r)
			}
		}
	case upstreamEvent:
		g.pool.HandleEvent(ev.Event)
	case counted:
		g.counted(ev)
	case Fleet:
		g.updateEndpoints(ev)
	case ending:
		g.endBy = ev.by
		g.at(ev.by, func() {
			for _, r := range g.requests {
				g.cutOff(r)
			}
		})
	}
	g.flush()
}

// tell queues an event for the module; flush hands it over.
func (g *Gateway) tell(ev policy.Event) { g.queue = append(g.queue, ev) }

// flush lets the module handle what is queued and carries out its actions, which may queue more.
func (g *Gateway) flush() {
	for i := 0; i < len(g.queue); i++ {
		g.actions = g.mod.Handle(g.now, g.queue[i], g.actions[:0])
		for _, a := range g.actions {
			g.act(a)
		}
	}
	clear(g.queue)
	g.queue = g.queue[:0]
}

func (g *Gateway) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		g.send(a)
	case policy.Cancel:
		if r := g.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			g.pool.Abort(r.attempts[a.Attempt].Attempt, policy.Cancelled)
		}
	case policy.Reject:
		g.refused(a)
	case policy.Fail:
		g.failed(a)
	case policy.SetTimer:
		g.after(a.After, func() { g.tell(policy.TimerFired{}) })
	case policy.IncrementCounter:
		g.count(a)
	case policy.CheckHealth:
		g.checkHealth(a.Endpoint)
	case policy.CloseIdleConnections:
		g.pool.CloseIdle(a.Endpoint)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list held is the answer
		g.tell(g.endpointList())
	case policy.Log:
		g.log.Info(a.Text)
	default:
		g.log.Warn("no such action on sockets", "action", fmt.Sprintf("%T", a))
	}
}

// busy is the refusal that advises to come again after a while; 0: no advice.
func busy(after time.Duration) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, after.Milliseconds()), 10), '\r', '\n')
}
