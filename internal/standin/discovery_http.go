package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const registryPath = "/registry/instances"

// ServeHTTP answers a request for the list or opens a watch.
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
	if !d.waitForService(r.Context(), w) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if follow {
		d.watch(r.Context(), w, since)
		return
	}
	body, signals := d.snapshotForCall()
	if d.handleStopSignals(r.Context(), signals) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.write(w, body, true)
}

// enqueueCall adds a call to the queue if the state is Up, and returns the signals that may stop the call.
func (d *Discovery) enqueueCall(call *queuedCall) stopSignals {
	d.mu.Lock()
	defer d.mu.Unlock() // held until the call is queued, because a change of state clears the queue
	d.stats.Calls++
	if d.state == Up {
		d.queue.enqueue(call)
	}
	return d.callStopSignals
}

// waitForService queues a call and waits until it has been served. It returns false if the call has ended instead: it was
// silenced, cancelled, or answered 503 after QueueTimeout. It does not return if the call has to be disconnected.
func (d *Discovery) waitForService(ctx context.Context, w http.ResponseWriter) bool {
	served := make(chan struct{})
	call := &queuedCall{onServed: func() { close(served) }}
	signals := d.enqueueCall(call)

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
			d.abortConnection()
		case <-signals.silence:
			d.holdOpen(ctx, signals.disconnect)
			return false
		case <-served:
			return ctx.Err() == nil
		case <-cancelled:
			d.queue.remove(call)
			return false
		case <-timeout:
			timeout = nil
			if !d.queue.remove(call) { // its service has started, or the queue was cleared
				continue
			}
			d.updateStats(func(stats *DiscoveryStats) { stats.Failed++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return false
		}
	}
}

// abortConnection counts a failed call or watch and closes its connection. It does not return.
func (d *Discovery) abortConnection() {
	d.updateStats(func(stats *DiscoveryStats) { stats.Failed++ })
	panic(http.ErrAbortHandler) // makes net/http close the connection without logging the panic
}

// handleStopSignals reports whether a call or watch was silenced, in which case it waits until the client has
// disconnected. It does not return if the call or watch has to be disconnected.
func (d *Discovery) handleStopSignals(ctx context.Context, signals stopSignals) bool {
	select {
	case <-signals.disconnect:
		d.abortConnection()
	case <-signals.silence:
		d.holdOpen(ctx, signals.disconnect)
		return true
	default:
	}
	return false
}

// holdOpen keeps a call or watch open without output until the client disconnects. It does not return if disconnect is
// closed first.
func (d *Discovery) holdOpen(ctx context.Context, disconnect <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-disconnect:
		d.abortConnection()
	}
}

// openWatch counts an open watch and returns the signals that may stop it.
func (d *Discovery) openWatch() stopSignals {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Watches++
	d.stats.OpenWatches++
	return d.watchStopSignals
}

// watch writes the changes after a revision until the client disconnects or a signal stops the watch.
func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, revision int64) {
	signals := d.openWatch()
	defer d.updateStats(func(stats *DiscoveryStats) { stats.OpenWatches-- })

	heartbeat := time.NewTimer(d.config.HeartbeatInterval)
	defer heartbeat.Stop()
	for isFirst := true; ; isFirst = false {
		event := d.watchEventSince(revision, isFirst)
		revision = event.revision
		if d.handleStopSignals(ctx, signals) { // checked after reading the event, so that no change in state Silent is sent
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
		case <-event.nextRevision:
		case <-heartbeat.C:
		}
	}
}

// write writes and flushes a JSON object or a heartbeat. It returns false if that failed, since the client has disconnected.
func (d *Discovery) write(w http.ResponseWriter, body []byte, isObject bool) bool {
	n, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	d.updateStats(func(stats *DiscoveryStats) {
		stats.Bytes += int64(n)
		if isObject && err == nil {
			stats.Objects++
		}
	})
	return err == nil
}
