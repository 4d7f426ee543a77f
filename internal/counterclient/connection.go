package counterclient

import (
	"context"
	"net"
	"time"

	"lemontack/internal/mailbox"
	"lemontack/policy"
)

// connection serves some of the calls, over one TCP connection at a time.
type connection struct {
	address   string // belongs to the goroutine of run
	timeout   time.Duration
	queue     chan *Call
	addresses mailbox.Latest[string] // address updates
	done      func(Result)
}

// run serves the calls of the queue until ctx ends.
func (c *connection) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c.address = <-c.addresses:
		case call := <-c.queue:
			c.updateAddress()
			if call.state.load() == callQueued { // a call that has timed out is no reason to connect
				c.serve(ctx, call)
			}
		}
	}
}

// updateAddress takes over an address update, if there is one.
func (c *connection) updateAddress() {
	select {
	case c.address = <-c.addresses:
	default:
	}
}

// serve connects for the first call, and writes calls until the connection breaks, falls silent or is idle, or the address
// changes.
func (c *connection) serve(ctx context.Context, first *Call) {
	dialer := net.Dialer{Timeout: c.timeout}
	socket, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.done(Result{Call: first, Outcome: policy.ConnectFailed})
		return
	}
	newSession(c, socket).writeCalls(ctx, first)
}
