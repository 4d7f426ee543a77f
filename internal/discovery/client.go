// Package discovery keeps a gateway's endpoint list up to date. A Client polls the list of a discovery service once, then
// watches its changes, and publishes what the gateway caches of them: all of a short list, a subset of a long one.
package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lemontack/internal/mailbox"
	"lemontack/internal/subset"
	"lemontack/policy"
)

// maxHeaderLength bounds the header of a response, in bytes.
const maxHeaderLength = 16 << 10

// Config is what a Client is created from.
type Config struct {
	Address   string         // of the discovery service: host and port
	KnownList EndpointList   // the list that the configuration brought, if any; its entries are not retained
	Subset    *subset.Subset // that KnownList was decoded with; nil: the widest one
	Settings  policy.Settings
	Random    *rand.Rand // for jitter; nil: seeded at random. The client takes it over

	// DialContext opens the connections; nil: over TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client keeps the endpoint list up to date. ChangeAddress and Ready may be called from any goroutine; the rest belongs to Run.
type Client struct {
	url       string // of the list; changes between two calls of synchronize
	http      *http.Client
	addresses mailbox.Latest[string] // address updates
	publish   func(EndpointList)
	policy    pollPolicy
	ready     chan struct{} // closed by markReady
	markReady func()
	calls     sync.WaitGroup // goroutines of watch calls
	log       *slog.Logger

	// Of the goroutine that runs synchronize.
	revision int64 // of the latest list or change
	random   *rand.Rand
	cache    *Cache
}

// NewClient returns a client that does not run yet. It calls publish, on a goroutine of Run, with the cached part of each
// list and change; publish may block.
func NewClient(config Config, publish func(EndpointList), log *slog.Logger) *Client {
	random := config.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	transport := &http.Transport{
		DialContext:            config.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderLength,
	}
	settings, hasKnown := config.Settings, len(config.KnownList.Entries) > 0
	client := &Client{
		url:       listURL(config.Address),
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		addresses: mailbox.NewLatest[string](),
		publish:   publish,
		policy:    newPollPolicy(settings.PollEndpoints, settings.GatewayCount, hasKnown),
		ready:     make(chan struct{}),
		log:       log,
		revision:  config.KnownList.Revision,
		random:    random,
		cache:     newCache(config.Subset, settings, log),
	}
	client.markReady = sync.OnceFunc(func() { close(client.ready) })
	return client
}

func listURL(address string) string { return "http://" + address + "/registry/instances" }

// refuseRedirect makes a redirect an answer like any other that is not a list.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// ApplyKnownList returns what is cached of the list that the configuration brought. It comes before Run.
func (c *Client) ApplyKnownList(list EndpointList) EndpointList { return c.cache.Apply(list) }

// ChangeAddress makes the client go over to another address. It may be called at any time and never blocks; the latest call counts.
func (c *Client) ChangeAddress(address string) { c.addresses.Set(address) }

// Ready is closed once the first poll has ended, with a list or without. Where polls are spread out it is closed as soon as
// Run begins, since the known list then has to do.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Run polls and watches until ctx ends, at each address that ChangeAddress brings in turn. All goroutines of the client have ended
// when it returns.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.calls.Wait()
	for ctx.Err() == nil {
		c.runUntilMove(ctx)
	}
}

// runUntilMove synchronizes with one address until ctx ends or another address comes.
func (c *Client) runUntilMove(ctx context.Context) {
	here, leave := context.WithCancel(ctx)
	left := make(chan struct{})
	// Ends with the context here; this function awaits it by left.
	go func() {
		defer close(left)
		c.synchronize(here)
	}()
	select {
	case <-ctx.Done():
	case address := <-c.addresses:
		c.log.Info("discovery address changed", "address", address)
		leave()
		<-left
		c.http.CloseIdleConnections()
		c.url = listURL(address)
	}
	leave()
	<-left
}

// synchronize polls the list, then watches its changes until ctx ends. Whatever breaks a watch, the next one resumes from
// the latest revision.
func (c *Client) synchronize(ctx context.Context) {
	c.start(ctx)
	pauses := newBackoff(c.policy.minBackoff, c.policy.maxBackoff)
	for ctx.Err() == nil {
		began := time.Now()
		if c.cache.needsResync() {
			c.poll(ctx)
		}
		err := c.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("discovery watch ended", "err", err)
		if time.Since(began) >= c.policy.silenceTimeout {
			pauses.reset()
		}
		pause := pauses.next()
		sleep(ctx, pause/4+c.jitter(pause*3/4))
	}
}

// start brings a list to begin with. Where polls are spread out, the known list has to do until the watch brings what has
// changed since, and only the beginning of the watch is delayed.
func (c *Client) start(ctx context.Context) {
	spread := c.policy.startSpread
	if spread <= 0 {
		c.poll(ctx)
		c.markReady()
		return
	}
	select {
	case <-c.ready: // the address has changed
		spread = min(spread, maxMoveSpread)
	default:
		c.markReady()
	}
	sleep(ctx, c.jitter(spread))
}

// jitter returns a random duration below limit.
func (c *Client) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(limit, 1))))
}

// sleep returns after a while, or when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// StatusError is the failure of a call that discovery answers with a status other than 200.
type StatusError struct {
	Status string // as in "503 Service Unavailable"
}

// Error implements the error interface.
func (e *StatusError) Error() string { return "discovery answers " + e.Status }

// get calls discovery and returns the body of its answer, which the caller closes.
func (c *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{response.Status}
	}
	return response.Body, nil
}
