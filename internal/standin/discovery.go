package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	registryPath = "/registry/instances"
	lineEvery    = 2 * time.Second // the protocol's
	deleted      = "DELETED"
)

// Target is one backend of the list, or an entry of a change.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, in changes, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // Unix time in milliseconds; 0: long ago
}

// DiscoveryConfig says how a Discovery serves.
type DiscoveryConfig struct {
	CallsPerSecond float64       // calls served, one after another, in the order they came; 0: no bound
	Patience       time.Duration // a call that has waited in the line for so long is answered 503; 0: never
	DropsLeft      bool          // calls whose caller has gone leave the line unserved; else they cost their turn
	LineEvery      time.Duration // empty line of an open watch; 0: 2 s
	Indent         bool          // lists and changes stand on several lines
	Keep           int           // changes remembered for since; a caller further behind gets all; 0: every one
	Rev            int64         // the version before the first list
}

// DiscoveryStats is what a Discovery saw so far.
type DiscoveryStats struct {
	Calls       int           // of all kinds
	Lists       int           // whole lists answered to plain calls
	Watches     int           // watches opened
	OpenWatches int           // of them, those whose caller is still there, silent or not
	Failed      int           // calls and watches that ended in 503 or were cut
	LongestLine time.Duration // from a call to the end of its turn
	MostWaiting int           // calls in the line at one moment
	Objects     int           // lists and changes written
	Bytes       int64         // of bodies written
}

// Discovery plays the service, or the agent, that tells ingresses of backends.
type Discovery struct {
	cfg    DiscoveryConfig
	line   *line
	server *http.Server

	mu      sync.Mutex
	state   State
	closed  bool
	rev     int64
	targets []Target
	changes []change      // oldest first; all after version floor
	floor   int64         // the oldest version that can be told what has changed since
	whole   []byte        // the list of this version as it is written; nil: not yet made
	news    chan struct{} // closed at the next change
	calls   signals       // of calls that wait
	watches signals       // of open watches
	stats   DiscoveryStats
}

// change is what one version brought.
type change struct {
	rev     int64
	targets []Target
}

// signals end calls: cut closes their connections, hush leaves them open and silent.
type signals struct{ cut, hush chan struct{} }

func newSignals() signals { return signals{make(chan struct{}), make(chan struct{})} }

// list is an object of discovery.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// NewDiscovery returns a service with an empty list.
func NewDiscovery(cfg DiscoveryConfig) *Discovery {
	if cfg.LineEvery == 0 {
		cfg.LineEvery = lineEvery
	}
	d := &Discovery{cfg: cfg, line: newLine(cfg.CallsPerSecond, 0), news: make(chan struct{}), targets: []Target{},
		rev: cfg.Rev, floor: cfg.Rev, calls: newSignals(), watches: newSignals()}
	d.server = &http.Server{Handler: d, ErrorLog: log.New(io.Discard, "", 0)}
	return d
}

// Serve answers calls on a listener until Close.
func (d *Discovery) Serve(ln net.Listener) error {
	if err := d.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends all calls and watches, and Serve.
func (d *Discovery) Close() error {
	d.SetState(Down)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	return d.server.Close()
}

// SetList replaces the list; every watch gets the whole one.
func (d *Discovery) SetList(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.targets = append([]Target{}, targets...)
	d.changes, d.floor = nil, d.rev
	d.changed()
}

// Change adds or replaces entries, or removes those that are DELETED, as one new version.
func (d *Discovery) Change(targets ...Target) (rev int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range targets {
		i := slices.IndexFunc(d.targets, func(old Target) bool { return old.UID == t.UID })
		switch {
		case t.State == deleted && i >= 0:
			d.targets = slices.Delete(d.targets, i, i+1)
		case t.State == deleted:
		case i >= 0:
			d.targets[i] = t
		default:
			d.targets = append(d.targets, t)
		}
	}
	d.changes = append(d.changes, change{d.rev, slices.Clone(targets)})
	if over := len(d.changes) - d.cfg.Keep; d.cfg.Keep > 0 && over > 0 {
		d.floor = d.changes[over-1].rev
		d.changes = slices.Delete(d.changes, 0, over)
	}
	d.changed()
	return d.rev
}

func (d *Discovery) changed() {
	d.whole = nil
	close(d.news)
	d.news = make(chan struct{})
}

// SetState changes how calls are met. Silence stays with what was open or came during it, also after the return, until
// its caller goes or discovery is Down.
func (d *Discovery) SetState(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == d.state || d.closed {
		return
	}
	switch d.state {
	case Silent:
		d.calls.hush, d.watches.hush = make(chan struct{}), make(chan struct{})
	case Down:
		d.calls.cut, d.watches.cut = make(chan struct{}), make(chan struct{})
	}
	d.state = s
	switch s {
	case Silent:
		close(d.calls.hush)
		close(d.watches.hush)
	case Down:
		close(d.calls.cut)
		close(d.watches.cut)
	}
	if s != Up {
		d.line.drop()
	}
}

// BreakWatches ends the watches that are open now.
func (d *Discovery) BreakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Down {
		close(d.watches.cut)
		d.watches.cut = make(chan struct{})
	}
}

// HushWatches lets the watches that are open now fall silent for good, while new ones work.
func (d *Discovery) HushWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Silent {
		close(d.watches.hush)
		d.watches.hush = make(chan struct{})
	}
}

// Stats returns the figures so far.
func (d *Discovery) Stats() DiscoveryStats {
	saw := d.line.saw()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.LongestLine, s.MostWaiting = saw.longest, saw.most
	return s
}

// ServeHTTP answers a call for the list or for a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	follow := query.Get("follow") != ""
	switch {
	case r.URL.Path != registryPath:
		http.NotFound(w, r)
		return
	case r.Method != http.MethodGet:
		http.Error(w, "GET only", http.StatusMethodNotAllowed)
		return
	case follow && query.Has("since") && err != nil:
		http.Error(w, "since is a version", http.StatusBadRequest)
		return
	}
	if !d.waitTurn(w, r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if follow {
		d.watch(w, r.Context(), since)
		return
	}
	body, ends := d.wholeList()
	if d.stopped(r.Context(), ends) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.write(w, body, true)
}

// waitTurn takes a call through the line; where it says no, the call has ended.
func (d *Discovery) waitTurn(w http.ResponseWriter, ctx context.Context) bool {
	d.mu.Lock()
	d.stats.Calls++
	ends, state := d.calls, d.state
	served := make(chan struct{})
	t := &turn{serve: func() { close(served) }}
	if state == Up { // under the lock: a change of state empties the line
		d.line.join(t)
	}
	d.mu.Unlock()

	var late <-chan time.Time
	if d.cfg.Patience > 0 {
		timer := time.NewTimer(d.cfg.Patience)
		defer timer.Stop()
		late = timer.C
	}
	var left <-chan struct{}
	if d.cfg.DropsLeft {
		left = ctx.Done()
	}
	for {
		select {
		case <-ends.cut:
			d.abort()
		case <-ends.hush:
			d.silence(ctx, ends.cut)
			return false
		case <-served:
			return ctx.Err() == nil
		case <-left:
			d.line.leave(t)
			return false
		case <-late:
			late = nil
			if !d.line.leave(t) { // its turn has begun, or the line is no more
				continue
			}
			d.count(func(s *DiscoveryStats) { s.Failed++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return false
		}
	}
}

// abort ends a call by closing its connection.
func (d *Discovery) abort() {
	d.count(func(s *DiscoveryStats) { s.Failed++ })
	panic(http.ErrAbortHandler)
}

// stopped says whether a call has been cut or hushed, after all that this means for it.
func (d *Discovery) stopped(ctx context.Context, ends signals) bool {
	select {
	case <-ends.cut:
		d.abort()
	case <-ends.hush:
		d.silence(ctx, ends.cut)
		return true
	default:
	}
	return false
}

// silence holds a call open until its caller goes or it is cut.
func (d *Discovery) silence(ctx context.Context, cut <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-cut:
		d.abort()
	}
}

func (d *Discovery) count(add func(*DiscoveryStats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	add(&d.stats)
}

// watch tells what changes until its caller goes or it is ended.
func (d *Discovery) watch(w http.ResponseWriter, ctx context.Context, rev int64) {
	d.mu.Lock()
	ends := d.watches
	d.stats.Watches++
	d.stats.OpenWatches++
	d.mu.Unlock()
	defer d.count(func(s *DiscoveryStats) { s.OpenWatches-- })

	quiet := time.NewTimer(d.cfg.LineEvery)
	defer quiet.Stop()
	for first := true; ; first = false {
		body, at, news := d.since(rev, first)
		rev = at
		if d.stopped(ctx, ends) { // looked at after the list: what changes in a silence is not told
			return
		}
		if !d.write(w, body, len(body) > 1) {
			return
		}
		quiet.Reset(d.cfg.LineEvery)
		select {
		case <-ctx.Done():
			return
		case <-ends.cut:
		case <-ends.hush:
		case <-news:
		case <-quiet.C:
		}
	}
}

// write writes an object, or an empty line, at once.
func (d *Discovery) write(w http.ResponseWriter, body []byte, object bool) bool {
	n, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	d.count(func(s *DiscoveryStats) {
		s.Bytes += int64(n)
		if object && err == nil {
			s.Objects++
		}
	})
	return err == nil
}

// wholeList is the answer to a plain call, and what may end that.
func (d *Discovery) wholeList() ([]byte, signals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Lists++
	return d.all(), d.calls
}

// all is the whole list as it is written. The lock is held.
func (d *Discovery) all() []byte {
	if d.whole == nil {
		d.whole = d.encode(list{d.rev, true, d.targets})
	}
	return d.whole
}

// since is what changed after a version, one entry for each backend, or the whole list where that is not known any
// more; or an empty line, if there is nothing and it is not the first. news is closed when there is more.
func (d *Discovery) since(rev int64, first bool) (body []byte, at int64, news <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case rev == d.rev && !first:
		return []byte("\n"), rev, d.news
	case rev < d.floor || rev > d.rev:
		return d.all(), d.rev, d.news
	}
	changed := list{Rev: d.rev, Targets: []Target{}}
	seen := map[string]bool{}
	for _, c := range slices.Backward(d.changes) {
		if c.rev <= rev {
			break
		}
		for _, t := range slices.Backward(c.targets) {
			if !seen[t.UID] {
				seen[t.UID] = true
				changed.Targets = append(changed.Targets, t)
			}
		}
	}
	slices.Reverse(changed.Targets)
	return d.encode(changed), d.rev, d.news
}

func (d *Discovery) encode(l list) []byte {
	var body []byte
	var err error
	if d.cfg.Indent {
		body, err = json.MarshalIndent(l, "", "  ")
	} else {
		body, err = json.Marshal(l)
	}
	if err != nil { // a capacity that is no number
		panic(err)
	}
	return append(body, '\n')
}
