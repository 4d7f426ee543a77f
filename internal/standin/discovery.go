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
	registryPath             = "/registry/instances"
	defaultHeartbeatInterval = 2 * time.Second // the protocol's
	stateDeleted             = "DELETED"
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
	CallsPerSecond    float64       // calls served, one after another, in the order they came; 0: no bound
	QueueTimeout      time.Duration // a call that has waited in the line for so long is answered 503; 0: never
	DropCancelled     bool          // calls whose caller has gone leave the line unserved; else they cost their turn
	HeartbeatInterval time.Duration // empty line of an open watch; 0: 2 s
	Indent            bool          // lists and changes stand on several lines
	MaxChanges        int           // changes remembered for since; a caller further behind gets all; 0: every one
	InitialRevision   int64         // the version before the first list
}

// DiscoveryStats is what a Discovery saw so far.
type DiscoveryStats struct {
	Calls       int           // of all kinds
	Lists       int           // whole lists answered to plain calls
	Watches     int           // watches opened
	OpenWatches int           // of them, those whose caller is still there, silent or not
	Failed      int           // calls and watches that ended in 503 or were cut
	MaxWait     time.Duration // from a call to the end of its turn
	MaxQueued   int           // calls in the line at one moment
	Objects     int           // lists and changes written
	Bytes       int64         // of bodies written
}

// Discovery plays the service, or the agent, that tells ingresses of backends.
type Discovery struct {
	cfg    DiscoveryConfig
	queue  *serviceQueue
	server *http.Server

	mu             sync.Mutex
	state          State
	closed         bool
	revision       int64
	targets        []Target
	changes        []listChange  // oldest first; all after version floor
	oldestRevision int64         // the oldest version that can be told what has changed since
	encodedList    []byte        // the list of this version as it is written; nil: not yet made
	updated        chan struct{} // closed at the next change
	callSignals    stopSignals   // of calls that wait
	watchSignals   stopSignals   // of open watches
	stats          DiscoveryStats
}

// listChange is what one version brought.
type listChange struct {
	revision int64
	targets  []Target
}

// stopSignals end calls: cut closes their connections, hush leaves them open and silent.
type stopSignals struct{ disconnect, silence chan struct{} }

func newStopSignals() stopSignals { return stopSignals{make(chan struct{}), make(chan struct{})} }

// endpointList is an object of discovery.
type endpointList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// NewDiscovery returns a service with an empty list.
func NewDiscovery(cfg DiscoveryConfig) *Discovery {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	d := &Discovery{cfg: cfg, queue: newServiceQueue(cfg.CallsPerSecond, 0), updated: make(chan struct{}), targets: []Target{},
		revision: cfg.InitialRevision, oldestRevision: cfg.InitialRevision, callSignals: newStopSignals(), watchSignals: newStopSignals()}
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
	d.revision++
	d.targets = append([]Target{}, targets...)
	d.changes, d.oldestRevision = nil, d.revision
	d.publish()
}

// Change adds or replaces entries, or removes those that are DELETED, as one new version.
func (d *Discovery) Change(targets ...Target) (rev int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, t := range targets {
		i := slices.IndexFunc(d.targets, func(old Target) bool { return old.UID == t.UID })
		switch {
		case t.State == stateDeleted && i >= 0:
			d.targets = slices.Delete(d.targets, i, i+1)
		case t.State == stateDeleted:
		case i >= 0:
			d.targets[i] = t
		default:
			d.targets = append(d.targets, t)
		}
	}
	d.changes = append(d.changes, listChange{d.revision, slices.Clone(targets)})
	if over := len(d.changes) - d.cfg.MaxChanges; d.cfg.MaxChanges > 0 && over > 0 {
		d.oldestRevision = d.changes[over-1].revision
		d.changes = slices.Delete(d.changes, 0, over)
	}
	d.publish()
	return d.revision
}

func (d *Discovery) publish() {
	d.encodedList = nil
	close(d.updated)
	d.updated = make(chan struct{})
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
		d.callSignals.silence, d.watchSignals.silence = make(chan struct{}), make(chan struct{})
	case Down:
		d.callSignals.disconnect, d.watchSignals.disconnect = make(chan struct{}), make(chan struct{})
	}
	d.state = s
	switch s {
	case Silent:
		close(d.callSignals.silence)
		close(d.watchSignals.silence)
	case Down:
		close(d.callSignals.disconnect)
		close(d.watchSignals.disconnect)
	}
	if s != Up {
		d.queue.clear()
	}
}

// BreakWatches ends the watches that are open now.
func (d *Discovery) BreakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Down {
		close(d.watchSignals.disconnect)
		d.watchSignals.disconnect = make(chan struct{})
	}
}

// SilenceWatches lets the watches that are open now fall silent for good, while new ones work.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Silent {
		close(d.watchSignals.silence)
		d.watchSignals.silence = make(chan struct{})
	}
}

// Stats returns the figures so far.
func (d *Discovery) Stats() DiscoveryStats {
	saw := d.queue.snapshotStats()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.MaxWait, s.MaxQueued = saw.maxWait, saw.maxWaiting
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
	if !d.waitInQueue(w, r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if follow {
		d.watch(w, r.Context(), since)
		return
	}
	body, ends := d.snapshot()
	if d.interrupted(r.Context(), ends) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.write(w, body, true)
}

// waitInQueue takes a call through the line; where it says no, the call has ended.
func (d *Discovery) waitInQueue(w http.ResponseWriter, ctx context.Context) bool {
	d.mu.Lock()
	d.stats.Calls++
	ends, state := d.callSignals, d.state
	served := make(chan struct{})
	t := &queuedCall{serve: func() { close(served) }}
	if state == Up { // under the lock: a change of state empties the line
		d.queue.enqueue(t)
	}
	d.mu.Unlock()

	var late <-chan time.Time
	if d.cfg.QueueTimeout > 0 {
		timer := time.NewTimer(d.cfg.QueueTimeout)
		defer timer.Stop()
		late = timer.C
	}
	var left <-chan struct{}
	if d.cfg.DropCancelled {
		left = ctx.Done()
	}
	for {
		select {
		case <-ends.disconnect:
			d.disconnect()
		case <-ends.silence:
			d.holdSilent(ctx, ends.disconnect)
			return false
		case <-served:
			return ctx.Err() == nil
		case <-left:
			d.queue.remove(t)
			return false
		case <-late:
			late = nil
			if !d.queue.remove(t) { // its turn has begun, or the line is no more
				continue
			}
			d.updateStats(func(s *DiscoveryStats) { s.Failed++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return false
		}
	}
}

// disconnect ends a call by closing its connection.
func (d *Discovery) disconnect() {
	d.updateStats(func(s *DiscoveryStats) { s.Failed++ })
	panic(http.ErrAbortHandler)
}

// interrupted says whether a call has been cut or hushed, after all that this means for it.
func (d *Discovery) interrupted(ctx context.Context, ends stopSignals) bool {
	select {
	case <-ends.disconnect:
		d.disconnect()
	case <-ends.silence:
		d.holdSilent(ctx, ends.disconnect)
		return true
	default:
	}
	return false
}

// holdSilent holds a call open until its caller goes or it is cut.
func (d *Discovery) holdSilent(ctx context.Context, cut <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-cut:
		d.disconnect()
	}
}

func (d *Discovery) updateStats(add func(*DiscoveryStats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	add(&d.stats)
}

// watch tells what changes until its caller goes or it is ended.
func (d *Discovery) watch(w http.ResponseWriter, ctx context.Context, rev int64) {
	d.mu.Lock()
	ends := d.watchSignals
	d.stats.Watches++
	d.stats.OpenWatches++
	d.mu.Unlock()
	defer d.updateStats(func(s *DiscoveryStats) { s.OpenWatches-- })

	quiet := time.NewTimer(d.cfg.HeartbeatInterval)
	defer quiet.Stop()
	for first := true; ; first = false {
		body, at, news := d.changesSince(rev, first)
		rev = at
		if d.interrupted(ctx, ends) { // looked at after the list: what changes in a silence is not told
			return
		}
		if !d.write(w, body, len(body) > 1) {
			return
		}
		quiet.Reset(d.cfg.HeartbeatInterval)
		select {
		case <-ctx.Done():
			return
		case <-ends.disconnect:
		case <-ends.silence:
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
	d.updateStats(func(s *DiscoveryStats) {
		s.Bytes += int64(n)
		if object && err == nil {
			s.Objects++
		}
	})
	return err == nil
}

// snapshot is the answer to a plain call, and what may end that.
func (d *Discovery) snapshot() ([]byte, stopSignals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Lists++
	return d.encodedSnapshot(), d.callSignals
}

// encodedSnapshot is the whole list as it is written. The lock is held.
func (d *Discovery) encodedSnapshot() []byte {
	if d.encodedList == nil {
		d.encodedList = d.encode(endpointList{d.revision, true, d.targets})
	}
	return d.encodedList
}

// changesSince is what changed after a version, one entry for each backend, or the whole list where that is not known any
// more; or an empty line, if there is nothing and it is not the first. news is closed when there is more.
func (d *Discovery) changesSince(rev int64, first bool) (body []byte, at int64, news <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case rev == d.revision && !first:
		return []byte("\n"), rev, d.updated
	case rev < d.oldestRevision || rev > d.revision:
		return d.encodedSnapshot(), d.revision, d.updated
	}
	changed := endpointList{Rev: d.revision, Targets: []Target{}}
	seen := map[string]bool{}
	for _, c := range slices.Backward(d.changes) {
		if c.revision <= rev {
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
	return d.encode(changed), d.revision, d.updated
}

func (d *Discovery) encode(l endpointList) []byte {
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
