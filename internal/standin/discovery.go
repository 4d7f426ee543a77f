package standin

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultHeartbeatInterval is the protocol's time between the empty lines of an open watch.
const defaultHeartbeatInterval = 2 * time.Second

// DiscoveryConfig says how a Discovery serves.
type DiscoveryConfig struct {
	CallsPerSecond    float64       // calls served, one after another, in the order they came; 0: no bound
	QueueTimeout      time.Duration // a call that has been queued for so long is answered 503; 0: never
	DropCancelled     bool          // queued calls whose client has gone leave unserved; else they take their time too
	HeartbeatInterval time.Duration // between the empty lines of an open watch; 0: 2 s
	Indent            bool          // lists and changes are written on several lines
	MaxChanges        int           // remembered for watches; a client further behind gets a snapshot; 0: all
	InitialRevision   int64         // before the first list
}

// DiscoveryStats is what a Discovery has seen so far.
type DiscoveryStats struct {
	Calls       int           // of all kinds
	Lists       int           // snapshots answered to plain calls
	Watches     int           // opened
	OpenWatches int           // of them, those whose client is still there, silent or not
	Failed      int           // calls and watches that ended in 503 or were disconnected
	MaxWait     time.Duration // from a call to the end of its service
	MaxQueued   int           // calls that were queued at one moment
	Objects     int           // lists and changes written
	Bytes       int64         // of bodies written
}

// Discovery plays the service, or the agent, that tells ingresses of backends.
type Discovery struct {
	config DiscoveryConfig
	queue  *serviceQueue
	server *http.Server

	mu           sync.Mutex // guards what follows
	state        ServiceState
	closed       bool
	history      *endpointHistory
	encodedList  []byte        // the snapshot of this revision as it is written; nil: not yet made
	updated      chan struct{} // closed at the next revision
	callSignals  stopSignals   // of calls that are queued
	watchSignals stopSignals   // of open watches
	stats        DiscoveryStats
}

// stopSignals end calls and watches by being closed: disconnect closes their connections, silence leaves them open and
// says nothing more.
type stopSignals struct{ disconnect, silence chan struct{} }

func newStopSignals() stopSignals { return stopSignals{make(chan struct{}), make(chan struct{})} }

// NewDiscovery returns a service with an empty list.
func NewDiscovery(config DiscoveryConfig) *Discovery {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	d := &Discovery{
		config:       config,
		queue:        newServiceQueue(config.CallsPerSecond, 0),
		history:      newEndpointHistory(config.InitialRevision, config.MaxChanges),
		updated:      make(chan struct{}),
		callSignals:  newStopSignals(),
		watchSignals: newStopSignals(),
	}
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

// Close ends Serve, all calls and all watches. It does not wait for the goroutines of net/http.
func (d *Discovery) Close() error {
	d.SetState(Down)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	return d.server.Close()
}

// SetList replaces the list; every watch gets a snapshot.
func (d *Discovery) SetList(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.replace(targets)
	d.publish()
}

// ApplyChange adds or replaces entries, or removes those that are DELETED, as one new revision.
func (d *Discovery) ApplyChange(targets ...Target) (revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.apply(targets)
	d.publish()
	return d.history.revision
}

// publish wakes the watches. The lock is held.
func (d *Discovery) publish() {
	d.encodedList = nil
	close(d.updated)
	d.updated = make(chan struct{})
}

// SetState changes how calls are met. Silence stays with what was open or came during it, also after the return, until
// its client goes or discovery is Down.
func (d *Discovery) SetState(state ServiceState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == d.state || d.closed {
		return
	}
	switch d.state {
	case Silent:
		d.callSignals.silence = make(chan struct{})
		d.watchSignals.silence = make(chan struct{})
	case Down:
		d.callSignals.disconnect = make(chan struct{})
		d.watchSignals.disconnect = make(chan struct{})
	}
	d.state = state
	switch state {
	case Silent:
		close(d.callSignals.silence)
		close(d.watchSignals.silence)
	case Down:
		close(d.callSignals.disconnect)
		close(d.watchSignals.disconnect)
	}
	if state != Up {
		d.queue.clear()
	}
}

// DisconnectWatches disconnects the watches that are open now.
func (d *Discovery) DisconnectWatches() {
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
	queue := d.queue.snapshotStats()
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.stats
	stats.MaxWait, stats.MaxQueued = queue.maxWait, queue.maxWaiting
	return stats
}

func (d *Discovery) updateStats(update func(*DiscoveryStats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.stats)
}

// snapshotForCall returns the answer to a plain call, and what may end that.
func (d *Discovery) snapshotForCall() ([]byte, stopSignals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Lists++
	return d.encodedSnapshot(), d.callSignals
}

// encodedSnapshot returns the list as it is written. The lock is held.
func (d *Discovery) encodedSnapshot() []byte {
	if d.encodedList == nil {
		d.encodedList = d.encode(d.history.snapshot())
	}
	return d.encodedList
}

// watchEvent is what an open watch writes next.
type watchEvent struct {
	body     []byte          // an object, or an empty line as a heartbeat
	revision int64           // of the list after it
	updated  <-chan struct{} // closed once there is more
}

// isHeartbeat reports whether the event is an empty line.
func (e watchEvent) isHeartbeat() bool { return len(e.body) <= len("\n") }

// watchEventSince returns what has changed since a revision, or a snapshot where that is not known any more. If nothing
// has changed it is an object without entries for the first event of a watch, and else a heartbeat.
func (d *Discovery) watchEventSince(revision int64, first bool) watchEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := watchEvent{revision: d.history.revision, updated: d.updated}
	switch {
	case revision == d.history.revision && !first:
		event.body = []byte("\n")
	case !d.history.knows(revision):
		event.body = d.encodedSnapshot()
	default:
		event.body = d.encode(d.history.changesSince(revision))
	}
	return event
}

func (d *Discovery) encode(list endpointList) []byte {
	var body []byte
	var err error
	if d.config.Indent {
		body, err = json.MarshalIndent(list, "", "  ")
	} else {
		body, err = json.Marshal(list)
	}
	if err != nil { // only a capacity that is no number: a fault of the caller
		panic(err)
	}
	return append(body, '\n')
}
