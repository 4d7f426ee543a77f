package counterclient

import (
	"context"
	"net"
	"time"

	"lemontack/internal/mailbox"
	"lemontack/policy"
)

// connection serves the calls of its queue, over one TCP connection at a time.
type connection struct {
	address        string        // used only by the goroutine of run
	timeout        time.Duration // timeout of a call
	queue          chan *Call
	addressUpdates mailbox.Latest[string] // only the latest address is kept
	reportResult   func(Result)
}

// run serves the calls of the queue until ctx ends.
func (c *connection) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c.address = <-c.addressUpdates:
		case call := <-c.queue:
			c.updateAddress()
			if call.state.load() == callQueued { // no connection is opened for an expired call
				c.serve(ctx, call)
			}
		}
	}
}

// updateAddress applies an address update if there is one.
func (c *connection) updateAddress() {
	select {
	case c.address = <-c.addressUpdates:
	default:
	}
}

// serve connects to the counter and writes calls, beginning with the first, until the TCP connection fails, receives no answer
// for too long or is idle, or until the address changes.
func (c *connection) serve(ctx context.Context, first *Call) {
	dialer := net.Dialer{Timeout: c.timeout}
	socket, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.reportResult(Result{Call: first, Outcome: policy.ConnectFailed})
		return
	}
	newSession(c, socket).writeCalls(ctx, first)
}
