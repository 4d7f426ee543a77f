package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// errNeedsResync ends a watch when the subset has been widened, so that the whole list has to be read again.
var errNeedsResync = errors.New("subset was widened: the whole list has to be read again")

// watch receives changes until the call fails or times out, or the whole list has to be read again. It always returns an error.
func (c *Client) watch(ctx context.Context) error {
	call, err := c.openWatch(ctx)
	if err != nil {
		return err
	}
	defer call.close()
	defer call.body.Close()
	reader := newObjectReader(call.body, call.timeout, c.timings.silenceTimeout)
	reader.onHeartbeat = reader.extendTimeout
	for decoder := json.NewDecoder(reader); ; {
		reader.extendTimeout()
		reader.beginObject()
		if err := c.receive(decoder, reader.beginEntry); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if c.cache.widenIfSparse() {
			return errNeedsResync
		}
	}
}

// watchCall is one HTTP call that starts a watch.
type watchCall struct {
	cancel  context.CancelFunc
	timeout *time.Timer // cancels the call unless it is reset in time
	body    io.ReadCloser
	err     error
}

// close ends the call. It does not close the body.
func (call *watchCall) close() {
	call.timeout.Stop()
	call.cancel()
}

// watchCalls holds the concurrent calls for one watch: the original and the hedged ones.
type watchCalls struct {
	client  *Client
	open    map[*watchCall]struct{}
	answers chan *watchCall // calls that have been answered or have failed
	closed  chan struct{}   // closed once answers are no longer received
}

// openWatch returns the first call that is answered, the original or a hedged one, and cancels all other calls. It returns an
// error as soon as every call sent so far has failed.
func (c *Client) openWatch(ctx context.Context) (*watchCall, error) {
	calls := &watchCalls{
		client:  c,
		open:    map[*watchCall]struct{}{},
		answers: make(chan *watchCall),
		closed:  make(chan struct{}),
	}
	defer calls.close()
	calls.startCall(ctx)
	for hedgeDue := c.hedgeTimer(); ; {
		select {
		case call := <-calls.answers:
			delete(calls.open, call)
			if call.err == nil {
				return call, nil
			}
			call.close()
			if len(calls.open) == 0 {
				return nil, call.err
			}
		case <-hedgeDue:
			calls.startCall(ctx)
			hedgeDue = c.hedgeTimer()
		}
	}
}

// hedgeTimer returns a channel that receives when a hedged call is due. It returns nil if calls are not hedged.
func (c *Client) hedgeTimer() <-chan time.Time {
	delay := c.timings.hedgeDelay
	if delay <= 0 {
		return nil
	}
	return time.After(delay*3/4 + c.jitter(delay/4))
}

// startCall sends a call for the changes since the latest revision.
func (calls *watchCalls) startCall(ctx context.Context) {
	client := calls.client
	ctx, cancel := context.WithCancel(ctx)
	call := &watchCall{cancel: cancel, timeout: time.AfterFunc(client.timings.answerTimeout, cancel)}
	calls.open[call] = struct{}{}
	url := fmt.Sprintf("%s?follow=1&since=%d", client.url, client.revision)
	// The request ends with ctx; the goroutine then ends once openWatch receives the call or returns. Client.Run waits for it.
	client.callGoroutines.Go(func() {
		call.body, call.err = client.get(ctx, url)
		select {
		case calls.answers <- call:
		case <-calls.closed:
			if call.err == nil {
				call.body.Close()
			}
		}
	})
}

// close cancels the calls that are still open.
func (calls *watchCalls) close() {
	close(calls.closed)
	for call := range calls.open {
		call.close()
	}
}
