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

// defaultHeartbeatInterval is the time between the empty lines of an open watch, as the protocol defines it.
const defaultHeartbeatInterval = 2 * time.Second

// DiscoveryConfig configures a Discovery.
type DiscoveryConfig struct {
	CallsPerSecond    float64       // capacity for calls, which are served one by one in order of arrival; zero means no limit
	QueueTimeout      time.Duration // time in the queue after which a call is answered 503; zero means no timeout
	DropCancelled     bool          // whether queued calls of disconnected clients are removed; otherwise they use capacity
	HeartbeatInterval time.Duration // time between the empty lines of an open watch; zero means 2 s
	Indent            bool          // whether JSON objects are indented over several lines
	MaxChanges        int           // maximum number of changes kept; a client further behind gets a snapshot; zero means all
	InitialRevision   int64         // revision before the first list is set
}

// DiscoveryStats holds the statistics of a Discovery since its start.
type DiscoveryStats struct {
	Calls       int           // calls of all kinds, including watches
	Lists       int           // snapshots prepared for calls that are not watches
	Watches     int           // watches opened so far
	OpenWatches int           // watches whose client is connected, including silenced ones
	Failed      int           // calls and watches that were answered 503 or disconnected
	MaxWait     time.Duration // maximum time from the arrival of a call to the end of its service
	MaxQueued   int           // maximum number of calls queued at the same time
	Objects     int           // JSON objects written
	Bytes       int64         // bytes of bodies written
}

// Discovery simulates the service or agent from which ingresses get the endpoint list.
type Discovery struct {
	config DiscoveryConfig
	queue  *serviceQueue
	server *http.Server

	mu               sync.Mutex // guards the fields below
	state            ServiceState
	closed           bool
	history          *endpointHistory
	cachedSnapshot   []byte        // encoded snapshot of the current revision; nil until it is needed
	nextRevision     chan struct{} // closed when the next revision is published
	callStopSignals  stopSignals   // for calls that are not open watches
	watchStopSignals stopSignals   // for open watches
	stats            DiscoveryStats
}

// stopSignals holds channels that are closed to stop calls or watches: disconnect closes their connections, silence
// leaves the connections open without further output.
type stopSignals struct{ disconnect, silence chan struct{} }

func newStopSignals() stopSignals { return stopSignals{make(chan struct{}), make(chan struct{})} }

// NewDiscovery returns a Discovery with an empty list.
func NewDiscovery(config DiscoveryConfig) *Discovery {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	d := &Discovery{
		config:           config,
		queue:            newServiceQueue(config.CallsPerSecond, 0),
		history:          newEndpointHistory(config.InitialRevision, config.MaxChanges),
		nextRevision:     make(chan struct{}),
		callStopSignals:  newStopSignals(),
		watchStopSignals: newStopSignals(),
	}
	d.server = &http.Server{Handler: d, ErrorLog: log.New(io.Discard, "", 0)}
	return d
}

// Serve accepts connections on a listener and answers their calls until Close.
func (d *Discovery) Serve(ln net.Listener) error {
	if err := d.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close makes Serve return and ends all calls and watches. It does not wait for the goroutines of net/http.
func (d *Discovery) Close() error {
	d.SetState(Down)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	return d.server.Close()
}

// SetList replaces the list as one new revision. Every watch gets a snapshot.
func (d *Discovery) SetList(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.replace(targets)
	d.publish()
}

// ApplyChange adds or replaces entries, or removes those whose state is DELETED, as one new revision.
func (d *Discovery) ApplyChange(targets ...Target) (revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.apply(targets)
	d.publish()
	return d.history.revision
}

// publish notifies the open watches of a new revision. The caller holds the lock.
func (d *Discovery) publish() {
	d.cachedSnapshot = nil
	close(d.nextRevision)
	d.nextRevision = make(chan struct{})
}

// SetState sets the state. Calls and watches that were open or arrived while the state was Silent get no output
// afterwards either; they end when the client disconnects or the state changes to Down. In state Down the connections of
// open calls and watches are closed, and so is the connection of each new call. Calls that are queued when the state
// changes to Silent or Down are not served.
func (d *Discovery) SetState(state ServiceState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == d.state || d.closed {
		return
	}
	switch d.state {
	case Silent:
		d.callStopSignals.silence = make(chan struct{})
		d.watchStopSignals.silence = make(chan struct{})
	case Down:
		d.callStopSignals.disconnect = make(chan struct{})
		d.watchStopSignals.disconnect = make(chan struct{})
	}
	d.state = state
	switch state {
	case Silent:
		close(d.callStopSignals.silence)
		close(d.watchStopSignals.silence)
	case Down:
		close(d.callStopSignals.disconnect)
		close(d.watchStopSignals.disconnect)
	}
	if state != Up {
		d.queue.clear()
	}
}

// DisconnectWatches closes the connections of all open watches.
func (d *Discovery) DisconnectWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Down {
		close(d.watchStopSignals.disconnect)
		d.watchStopSignals.disconnect = make(chan struct{})
	}
}

// SilenceWatches permanently stops the output of all open watches but leaves their connections open. New watches are not
// affected.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Silent {
		close(d.watchStopSignals.silence)
		d.watchStopSignals.silence = make(chan struct{})
	}
}

// Stats returns the statistics since the start.
func (d *Discovery) Stats() DiscoveryStats {
	callQueueStats := d.queue.snapshotStats()
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.stats
	stats.MaxWait, stats.MaxQueued = callQueueStats.maxWait, callQueueStats.maxWaiting
	return stats
}

func (d *Discovery) updateStats(update func(*DiscoveryStats)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.stats)
}

// snapshotForCall returns the answer to a call that is not a watch and the signals that may stop the call.
func (d *Discovery) snapshotForCall() ([]byte, stopSignals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Lists++
	return d.encodedSnapshot(), d.callStopSignals
}

// encodedSnapshot returns the list as JSON and caches it for this revision. The caller holds the lock.
func (d *Discovery) encodedSnapshot() []byte {
	if d.cachedSnapshot == nil {
		d.cachedSnapshot = d.encode(d.history.snapshot())
	}
	return d.cachedSnapshot
}

// watchEvent is the next output of an open watch.
type watchEvent struct {
	body         []byte          // a JSON object, or an empty line as a heartbeat
	revision     int64           // revision of the list after the event
	nextRevision <-chan struct{} // closed when a later revision is published
}

// isHeartbeat reports whether the event is an empty line.
func (e watchEvent) isHeartbeat() bool { return len(e.body) <= len("\n") }

// watchEventSince returns the changes since a revision, or a snapshot if they are not available. If nothing has changed,
// the first event of a watch is an object without entries and a later one is a heartbeat.
func (d *Discovery) watchEventSince(revision int64, isFirst bool) watchEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := watchEvent{revision: d.history.revision, nextRevision: d.nextRevision}
	switch {
	case revision == d.history.revision && !isFirst:
		event.body = []byte("\n")
	case !d.history.hasChangesSince(revision):
		event.body = d.encodedSnapshot()
	default:
		event.body = d.encode(d.history.changesSince(revision))
	}
	return event
}

func (d *Discovery) encode(update endpointUpdate) []byte {
	var body []byte
	var err error
	if d.config.Indent {
		body, err = json.MarshalIndent(update, "", "  ")
	} else {
		body, err = json.Marshal(update)
	}
	if err != nil { // only if a capacity is NaN or infinite, which is an error of the caller
		panic(err)
	}
	return append(body, '\n')
}
