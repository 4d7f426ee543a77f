// Package counterclient calls the shared counter service. A Client distributes its calls over several connections, which it
// opens when there are calls to write, and reports the result of each call.
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
	connectionsPerClient = 4   // calls with the same name use the same connection, so that they stay in order
	queueCapacity        = 512 // calls that wait to be written on one connection; as many may wait for its answers
)

// Client calls the shared counter service.
type Client struct {
	connections [connectionsPerClient]*connection
}

// New returns a client of the counter at address, which has the form host:port. The timeout is that of a call. The client
// serves calls while Run runs. It calls reportResult, on a goroutine of Run, with the result of each call that it has tried to
// write or for which it could not connect; reportResult may block.
func New(address string, timeout time.Duration, reportResult func(Result)) *Client {
	client := &Client{}
	for i := range client.connections {
		client.connections[i] = newConnection(address, timeout, reportResult)
	}
	return client
}

// newConnection returns a connection that is not open.
func newConnection(address string, timeout time.Duration, reportResult func(Result)) *connection {
	return &connection{
		address:        address,
		timeout:        timeout,
		queue:          make(chan *Call, queueCapacity),
		addressUpdates: mailbox.NewLatest[string](),
		reportResult:   reportResult,
	}
}

// Increment queues a call and never blocks. If the queue is full the call is never written and times out. The caller has to call
// Call.Expire once the timeout has passed.
func (client *Client) Increment(increment policy.IncrementCounter) *Call {
	call := &Call{increment: increment}
	select {
	case client.connectionFor(increment.Name).queue <- call:
	default:
	}
	return call
}

// connectionFor returns the connection that all calls with a name use.
func (client *Client) connectionFor(name string) *connection {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return client.connections[hash.Sum32()%connectionsPerClient]
}

// SetAddress changes the address of the counter. It may be called at any time and never blocks; the latest address is used.
func (client *Client) SetAddress(address string) {
	for _, connection := range client.connections {
		connection.addressUpdates.Set(address)
	}
}

// Run serves calls until ctx ends. It returns when all goroutines of the client have ended.
func (client *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, connection := range client.connections {
		// Ends when ctx ends; awaited below.
		running.Go(func() { connection.run(ctx) })
	}
	running.Wait()
}
