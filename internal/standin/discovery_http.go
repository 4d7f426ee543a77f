package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const registryPath = "/registry/instances"

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
	if !d.waitInQueue(r.Context(), w) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if follow {
		d.watch(r.Context(), w, since)
		return
	}
	body, signals := d.snapshotForCall()
	if d.interrupted(r.Context(), signals) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.write(w, body, true)
}

// joinQueue puts a call into the queue, where calls are served at all, and returns what may end its wait.
func (d *Discovery) joinQueue(call *queuedCall) stopSignals {
	d.mu.Lock()
	defer d.mu.Unlock() // until the call is queued, since a change of state clears the queue
	d.stats.Calls++
	if d.state == Up {
		d.queue.enqueue(call)
	}
	return d.callSignals
}

// waitInQueue takes a call through the queue; where it returns false, the call has ended.
func (d *Discovery) waitInQueue(ctx context.Context, w http.ResponseWriter) bool {
	served := make(chan struct{})
	call := &queuedCall{serve: func() { close(served) }}
	signals := d.joinQueue(call)

	var timeout <-chan time.Time
	if d.config.QueueTimeout > 0 {
		timer := time.NewTimer(d.config.QueueTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	var cancelled <-chan struct{}
	if d.config.DropCancelled {
		cancelled = ctx.Done()
	}
	for {
		select {
		case <-signals.disconnect:
			d.disconnect()
		case <-signals.silence:
			d.holdSilent(ctx, signals.disconnect)
			return false
		case <-served:
			return ctx.Err() == nil
		case <-cancelled:
			d.queue.remove(call)
			return false
		case <-timeout:
			timeout = nil
			if !d.queue.remove(call) { // its service has begun, or the queue was cleared
				continue
			}
			d.updateStats(func(s *DiscoveryStats) { s.Failed++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return false
		}
	}
}

// disconnect ends a call by closing its connection; it does not return.
func (d *Discovery) disconnect() {
	d.updateStats(func(s *DiscoveryStats) { s.Failed++ })
	panic(http.ErrAbortHandler) // net/http's way for a handler to close its connection
}

// interrupted reports whether a call has fallen silent, once its client is gone. It does not return if the call is
// disconnected.
func (d *Discovery) interrupted(ctx context.Context, signals stopSignals) bool {
	select {
	case <-signals.disconnect:
		d.disconnect()
	case <-signals.silence:
		d.holdSilent(ctx, signals.disconnect)
		return true
	default:
	}
	return false
}

// holdSilent holds a call open until its client goes or it is disconnected.
func (d *Discovery) holdSilent(ctx context.Context, disconnect <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-disconnect:
		d.disconnect()
	}
}

// openWatch counts a watch in and returns what may end it.
func (d *Discovery) openWatch() stopSignals {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Watches++
	d.stats.OpenWatches++
	return d.watchSignals
}

// watch writes what changes after a revision, until its client goes or it is ended.
func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, revision int64) {
	signals := d.openWatch()
	defer d.updateStats(func(s *DiscoveryStats) { s.OpenWatches-- })

	heartbeat := time.NewTimer(d.config.HeartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		event := d.watchEventSince(revision, first)
		revision = event.revision
		if d.interrupted(ctx, signals) { // checked after the event is taken: changes during a silence are not told
			return
		}
		if !d.write(w, event.body, !event.isHeartbeat()) {
			return
		}
		heartbeat.Reset(d.config.HeartbeatInterval)
		select {
		case <-ctx.Done():
			return
		case <-signals.disconnect:
		case <-signals.silence:
		case <-event.updated:
		case <-heartbeat.C:
		}
	}
}

// write writes an object, or a heartbeat, at once; it returns false where the client is gone.
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
