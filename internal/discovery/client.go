// Package discovery keeps a gateway's endpoint list up to date. A Client polls the list from a discovery service once, then
// watches its changes, and publishes the part that the gateway caches: the whole of a short list, a subset of a long one.
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

const maxHeaderLength = 16 << 10 // bytes of the HTTP header of a response

// Config configures a Client.
type Config struct {
	Address   string         // host and port of the discovery service
	KnownList EndpointList   // list of the configuration file; empty if it has none; the entries are not retained
	Subset    *subset.Subset // the subset with which KnownList was decoded; nil means the widest one
	Settings  policy.Settings
	Random    *rand.Rand // source of the jitter, used by the client alone; nil means a randomly seeded one

	// DialContext opens the connections. If it is nil, they use TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client keeps the endpoint list up to date. SetAddress and Ready may be called from any goroutine. The other state belongs
// to Run.
type Client struct {
	url            string // URL of the list; changes only while synchronize is not running
	http           *http.Client
	addressUpdates mailbox.Latest[string] // addresses passed to SetAddress
	publish        func(EndpointList)
	timings        callTimings
	ready          chan struct{} // closed by markReady
	markReady      func()
	callGoroutines sync.WaitGroup // one goroutine for each watch call
	log            *slog.Logger

	// Owned by the goroutine that runs synchronize.
	revision int64 // revision of the latest list or change
	random   *rand.Rand
	cache    *Cache
}

// NewClient returns a client that is not running yet. Run calls publish on one of its goroutines with the cached part of each
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
	settings, hasKnownList := config.Settings, len(config.KnownList.Entries) > 0
	client := &Client{
		url:            listURL(config.Address),
		http:           &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		addressUpdates: mailbox.NewLatest[string](),
		publish:        publish,
		timings:        newCallTimings(settings.PollEndpoints, settings.GatewayCount, hasKnownList),
		ready:          make(chan struct{}),
		log:            log,
		revision:       config.KnownList.Revision,
		random:         random,
		cache:          newCache(config.Subset, settings, log),
	}
	client.markReady = sync.OnceFunc(func() { close(client.ready) })
	return client
}

func listURL(address string) string { return "http://" + address + "/registry/instances" }

// refuseRedirect makes the HTTP client return a redirect as the answer, which get then rejects by its status.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// ApplyKnownList updates the cache with the list from the configuration file, and returns the cached part. It has to be called
// before Run.
func (c *Client) ApplyKnownList(list EndpointList) EndpointList { return c.cache.Apply(list) }

// SetAddress makes the client switch to another address of the discovery service. It may be called at any time and never
// blocks. Of several calls the latest takes effect.
func (c *Client) SetAddress(address string) { c.addressUpdates.Set(address) }

// Ready returns a channel that is closed once the first poll has succeeded or failed. If the first calls of a fleet are spread
// over time, it is closed as soon as Run starts, and the gateway uses the known list until the watch returns changes.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Run polls and watches the endpoint list until ctx ends, and switches to each address passed to SetAddress. When it
// returns, all goroutines of the client have ended.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.callGoroutines.Wait()
	for ctx.Err() == nil {
		c.runUntilAddressChange(ctx)
	}
}

// runUntilAddressChange synchronizes with one address until ctx ends or SetAddress sets another address.
func (c *Client) runUntilAddressChange(ctx context.Context) {
	syncCtx, stopSync := context.WithCancel(ctx)
	syncDone := make(chan struct{})
	// The goroutine ends with syncCtx; this function waits for it through syncDone.
	go func() {
		defer close(syncDone)
		c.synchronize(syncCtx)
	}()
	select {
	case <-ctx.Done():
	case address := <-c.addressUpdates:
		c.log.Info("discovery address changed", "address", address)
		stopSync()
		<-syncDone
		c.http.CloseIdleConnections()
		c.url = listURL(address)
	}
	stopSync()
	<-syncDone
}

// synchronize polls the list, then watches its changes until ctx ends. When a watch ends for any reason, the next one resumes
// from the latest revision.
func (c *Client) synchronize(ctx context.Context) {
	c.beginSync(ctx)
	retryBackoff := newBackoff(c.timings.minBackoff, c.timings.maxBackoff)
	for ctx.Err() == nil {
		startedAt := time.Now()
		if c.cache.needsResync() {
			c.poll(ctx)
		}
		err := c.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.log.Warn("discovery watch ended", "err", err)
		if time.Since(startedAt) >= c.timings.silenceTimeout {
			retryBackoff.reset()
		}
		pause := retryBackoff.next()
		sleep(ctx, pause/4+c.jitter(pause*3/4))
	}
}

// beginSync polls the list once. If the first calls of a fleet are spread over time, it does not poll: it only delays the
// watch, which then returns the changes since the known list.
func (c *Client) beginSync(ctx context.Context) {
	spread := c.timings.startSpread
	if spread <= 0 {
		c.poll(ctx)
		c.markReady()
		return
	}
	select {
	case <-c.ready: // the address has changed
		spread = min(spread, maxAddressChangeSpread)
	default:
		c.markReady()
	}
	sleep(ctx, c.jitter(spread))
}

// jitter returns a random duration below limit.
func (c *Client) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(limit, 1))))
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// StatusError reports that discovery answered a call with an HTTP status other than 200.
type StatusError struct {
	Status string // such as "503 Service Unavailable"
}

// Error implements the error interface.
func (e *StatusError) Error() string { return "unexpected status from discovery: " + e.Status }

// get sends a GET request to discovery and returns the body of the answer, which the caller has to close.
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
