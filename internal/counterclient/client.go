// Package counterclient calls the shared counter service. A Client spreads its calls over several connections, which are opened
// when there is something to write, and reports the end of each call.
package counterclient

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"lemontack/internal/mailbox"
	"lemontack/policy"
)

const (
	connectionCount = 4   // of a client; calls of one name share one of them, so that they stay in order
	queueCapacity   = 512 // calls that wait for one connection to be opened or written; as many may wait for its answers
)

// Client calls the shared counter service.
type Client struct {
	connections [connectionCount]*connection
}

// New returns a client of the counter at an address, host and port, that does not run yet. The timeout is that of a call. It
// calls done, on a goroutine of Run, with the result of each call that has one; done may block.
func New(address string, timeout time.Duration, done func(Result)) *Client {
	client := &Client{}
	for i := range client.connections {
		client.connections[i] = newConnection(address, timeout, done)
	}
	return client
}

// newConnection returns a connection that is not open.
func newConnection(address string, timeout time.Duration, done func(Result)) *connection {
	return &connection{
		address:   address,
		timeout:   timeout,
		queue:     make(chan *Call, queueCapacity),
		addresses: mailbox.NewLatest[string](),
		done:      done,
	}
}

// Increment queues a call and never blocks. If the queue is full the call is never written and just times out. The caller
// calls Call.Expire once the timeout is over.
func (c *Client) Increment(increment policy.IncrementCounter) *Call {
	call := &Call{increment: increment}
	select {
	case c.connectionFor(increment.Name).queue <- call:
	default:
	}
	return call
}

// connectionFor returns the connection of all calls of that name.
func (c *Client) connectionFor(name string) *connection {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return c.connections[hash.Sum32()%connectionCount]
}

// SetAddress makes the client go over to another address. It may be called at any time and never blocks; the latest call counts.
func (c *Client) SetAddress(address string) {
	for _, connection := range c.connections {
		connection.addresses.Set(address)
	}
}

// Run serves calls until ctx ends. All goroutines of the client have ended when it returns.
func (c *Client) Run(ctx context.Context) {
	var connections sync.WaitGroup
	for _, connection := range c.connections {
		// Ends with ctx; awaited below.
		connections.Go(func() { connection.run(ctx) })
	}
	connections.Wait()
}
