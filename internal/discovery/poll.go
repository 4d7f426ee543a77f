package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"time"
)

// errNotAList rejects an answer that is not a list, which would otherwise be taken for an empty list.
var errNotAList = errors.New("not an endpoint list: the revision or the entries are missing")

// poll tries to read the whole list. If that fails, the following watch returns the missing changes.
func (c *Client) poll(ctx context.Context) {
	if err := c.readSnapshot(ctx); err != nil && ctx.Err() == nil {
		c.log.Warn("discovery poll failed", "err", err)
	}
}

// readSnapshot reads the whole list once.
func (c *Client) readSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A poll is given up when a hedged call would be due, since the watch that follows returns the list too.
	timeout := time.AfterFunc(cmp.Or(c.timings.hedgeDelay, c.timings.answerTimeout), cancel)
	defer timeout.Stop()
	body, err := c.get(ctx, c.url)
	if err != nil {
		return err
	}
	defer body.Close()
	reader := newObjectReader(body, timeout, c.timings.silenceTimeout)
	reader.beginObject()
	return c.receive(json.NewDecoder(reader), reader.beginEntry)
}

// receive reads one list or change and publishes the cached part. It calls beforeEntry before each entry.
func (c *Client) receive(decoder *json.Decoder, beforeEntry func()) error {
	header, list, err := c.cache.decode(decoder, beforeEntry)
	if err != nil {
		return err
	}
	if !header.isComplete() {
		return errNotAList
	}
	if list.Revision < c.revision { // a stale list would restore removed endpoints
		c.log.Warn("ignoring a stale list from discovery", "revision", list.Revision, "current_revision", c.revision)
		return nil
	}
	c.revision = list.Revision
	c.publish(c.cache.applyDecoded(list))
	return nil
}
