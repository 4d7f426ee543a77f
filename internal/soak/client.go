package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	connsPerIngress     = 3 // number of pipelining connections
	unknownCommandShare = 0.02
	disconnectShare     = 0.01                  // share of requests after which the client disconnects at once
	redialInterval      = 20 * time.Millisecond // time from a failed dial to the next dial

	shortLivedInterval = 50 * time.Millisecond // mean time between two short-lived connections to an ingress
	slowWriterShare    = 0.2                   // share of short-lived connections whose command may be written in chunks
	maxChunkDelayMS    = 4                     // maximum delay between two chunks, in milliseconds
)

// pipeliningClient sends commands on a connection without waiting for replies, like a server that forwards the requests of
// many customers. When the connection ends, it opens a new one.
type pipeliningClient struct {
	target   *ingressProcess
	checker  *checker
	workload workload
	rate     float64 // requests per second
}

func newPipeliningClient(target *ingressProcess, c *checker, rng *rand.Rand, rate float64) *pipeliningClient {
	return &pipeliningClient{target, c, workload{target.index, rng}, rate}
}

// run sends requests until ctx ends, and waits for the last replies.
func (pc *pipeliningClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := dialClientConn(pc.target, pc.checker)
		if err != nil {
			sleep(ctx, redialInterval)
			continue
		}
		readDone := make(chan struct{})
		go func() { // ends when the connection ends; run waits for it
			defer close(readDone)
			c.readReplies()
		}()
		pc.sendRequests(ctx, c, readDone)
		if ctx.Err() != nil { // wait for the last replies
			select {
			case <-readDone:
			case <-time.After(replyTimeout):
			}
		}
		c.nc.Close()
		<-readDone
	}
}

// sendRequests sends requests on a connection until the connection or ctx ends.
func (pc *pipeliningClient) sendRequests(ctx context.Context, c *clientConn, readDone <-chan struct{}) {
	rng := pc.workload.rng
	for {
		var rejected *request
		select {
		case <-ctx.Done():
			c.closeWhenIdle()
			return
		case <-readDone:
			return
		case rejected = <-c.retries:
		case <-time.After(time.Duration(rng.ExpFloat64() / pc.rate * float64(time.Second))):
		}
		var err error
		switch draw := rng.Float64(); {
		case rejected != nil:
			timeLeft := time.Until(rejected.sentAt.Add(rejected.timeout)).Truncate(time.Millisecond)
			err = c.send(pc.workload.newRequest(rejected.class, max(timeLeft, 0)))
		case draw < unknownCommandShare:
			err = c.sendUnknownCommand()
		case draw < unknownCommandShare+disconnectShare:
			c.send(pc.workload.nextRequest())
			c.disconnect()
			return
		default:
			err = c.send(pc.workload.nextRequest())
		}
		if err != nil {
			return
		}
	}
}

// shortLivedClient opens a new connection for each request.
type shortLivedClient struct {
	target         *ingressProcess
	checker        *checker
	workload       workload
	connGoroutines *sync.WaitGroup // goroutines that read and close connections; they end at the latest when the ingress exits
}

// run opens connections until ctx ends. It does not wait for their goroutines; the owner of connGoroutines does.
func (sc *shortLivedClient) run(ctx context.Context) {
	rng := sc.workload.rng
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(shortLivedInterval)))
		c, err := dialClientConn(sc.target, sc.checker)
		if err != nil {
			continue
		}
		if rng.Float64() < slowWriterShare {
			c.chunkDelay = time.Duration(rng.IntN(maxChunkDelayMS+1)) * time.Millisecond
		}
		sc.connGoroutines.Go(func() {
			defer c.nc.Close()
			c.readReplies()
		})
		c.send(sc.workload.nextRequest())
		sc.connGoroutines.Go(func() {
			defer c.nc.Close()
			c.closeWhenIdle()
		})
	}
}
