package ingress

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lemontack/internal/mailbox"
	"lemontack/policy"
)

const (
	lineEvery = 2 * time.Second // a watch brings an empty line so often where nothing changes
	toldClock = 6 * time.Second // what discovery has and could tell counts as told so much later, also after a failed call
	moveClock = 4 * time.Second // what discovery has counts as told so long after a move

	// Where lists are pushed, what the agent has counts as told, and drains have a second from then on: the limit of a
	// call and the longest pause after it stay within that second together.
	agentTime    = 400 * time.Millisecond // the agent answers at once, unless discovery is down
	agentSilence = lineEvery + 700*time.Millisecond
	firstPause   = 100 * time.Millisecond // before discovery is asked again; doubled each time
	agentPause   = 400 * time.Millisecond // what that grows to

	// Where discovery has to be asked, a call may have to wait for its turn there, and whoever gives it up loses its place.
	// So one that is not answered stays, and others are made beside it (hedged): a call that was lost while discovery was
	// away costs askEvery only. Silence, a pause, a failed call and an answer fit into toldClock together.
	callTime    = 4 * time.Second
	callSilence = lineEvery + time.Second
	askEvery    = 1500 * time.Millisecond // from the beginning of a call that brought nothing to that of the next, at most
	moveSpread  = 500 * time.Millisecond  // over which a fleet that moves asks, at most

	maxList   = 1 << 20 // bytes of an object before, between and behind its entries
	listPart  = 10_000  // entries of a list that must come within the time of a silent watch
	maxHeader = 16 << 10

	// All ingresses then share one service of a fixed capacity, and calls that have waited for long fail: a fleet that
	// starts, or loses its watches, at one moment must not ask at one moment.
	askSpread    = 50 * time.Millisecond // for each ingress of the fleet: the time over which all of them ask, up to askEvery
	fewIngresses = 8                     // so few may ask at one moment
)

// pace says how discovery is called: how long a call may take, how long a watch may say nothing, and the pauses.
type pace struct {
	spread         time.Duration // over which the starts of a fleet are spread; 0: no need to
	answer         time.Duration
	silence        time.Duration
	first, longest time.Duration // pauses after a call
	hedge          time.Duration // a call without an answer for so long gets another one beside it; 0: none
}

// paceOf is the pace for a fleet of so many ingresses that is told, or asks.
func paceOf(asked bool, ingresses int, known bool) pace {
	if !asked {
		return pace{answer: agentTime, silence: agentSilence, first: firstPause, longest: agentPause}
	}
	p := pace{answer: callTime, silence: callSilence, first: firstPause, longest: askEvery, hedge: askEvery}
	if ingresses > fewIngresses && known {
		p.spread = min(askSpread*time.Duration(ingresses), askEvery)
		p.first = p.spread
	}
	return p
}

var (
	errNoList  = errors.New("a list has a version and targets")
	errSparse  = errors.New("more backends can be held: the whole list is wanted")
	errTooMuch = fmt.Errorf("a list of more than %d bytes", maxList)
)

// Fleet is discovery's list of backends, or the entries of it that changed.
type Fleet struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
	Sharers float64  `json:"-"` // ingresses that share each of them, about; 0: all
}

// stateGone is the state of a backend that is gone; it stands only among changes.
const stateGone = "DELETED"

// Target is one backend of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

func (t Target) server() policy.Endpoint {
	s := policy.Endpoint{ID: policy.EndpointID(t.UID), Zone: t.Zone, Kind: t.Model, Cell: t.Group, Capacity: t.Capacity,
		StartedAt: time.Duration(t.BootMS) * time.Millisecond}
	switch t.State {
	case "SERVING":
		s.State = policy.Serving
	case stateGone:
		s.State = policy.Removed
	}
	return s
}

// discovery keeps the gateway's list of backends up to date.
type discovery struct {
	url    string
	rev    int64
	client *http.Client
	moves  mailbox.Latest[string]
	post   func(event)
	pace   pace
	rng    *rand.Rand // of the goroutine that asks, as the next two are
	known  *members
	entry  func()        // before each entry that is read
	first  chan struct{} // closed after the first list, or when that failed
	log    *slog.Logger
}

func newDiscovery(addr string, rev int64, p pace, post func(event), log *slog.Logger) *discovery {
	return &discovery{url: listURL(addr), rev: rev, pace: p, moves: mailbox.NewLatest[string](), post: post, log: log,
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		known: newMembers(policy.Settings{GatewayCount: 1}, log), entry: func() {},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeader},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		first: make(chan struct{})}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// run lists and watches until ctx ends, at each address that it is moved to in turn.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	first := sync.OnceFunc(func() { close(d.first) })
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.begin(here, first)
			d.follow(here)
		}()
		select {
		case <-ctx.Done():
		case addr := <-d.moves:
			d.log.Info("discovery moves", "to", addr)
			leave()
			<-left
			d.client.CloseIdleConnections()
			d.url = listURL(addr)
		}
		leave()
		<-left
	}
}

// begin brings a list to start from. Where asking is dear the one that the ingress has will do until the watch brings
// what has changed since; the watches of a fleet that starts, or moves, begin spread out.
func (d *discovery) begin(ctx context.Context, listed func()) {
	if spread := d.pace.spread; spread > 0 {
		select {
		case <-d.first: // not a start, but a move
			spread = min(spread, moveSpread)
		default:
			listed()
		}
		wait(ctx, d.upTo(spread))
		return
	}
	d.whole(ctx)
	listed()
}

// whole tries to read the whole list; the watch brings what is missing after a failure.
func (d *discovery) whole(ctx context.Context) {
	if err := d.list(ctx); err != nil && ctx.Err() == nil {
		d.log.Warn("discovery: no list", "err", err)
	}
}

// upTo is a random time below most.
func (d *discovery) upTo(most time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(max(most, 1))))
}

// follow watches at one address. Whatever breaks the watch, it resumes from the version held.
func (d *discovery) follow(ctx context.Context) {
	for pause := d.pace.first; ctx.Err() == nil; pause = min(2*pause, d.pace.longest) {
		began := time.Now()
		if d.known.wanting {
			d.whole(ctx)
		}
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("discovery: the watch ended", "err", err)
		if time.Since(began) >= d.pace.silence {
			pause = d.pace.first
		}
		wait(ctx, pause/4+d.upTo(pause*3/4))
	}
}

// wait returns after a while, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// list brings the whole list once.
func (d *discovery) list(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(cmp.Or(d.pace.hedge, d.pace.answer), cancel) // the watch brings it too
	defer limit.Stop()
	body, err := d.get(ctx, d.url)
	if err != nil {
		return err
	}
	defer body.Close()
	in := &stream{body: body, heard: func() {}, left: maxList}
	d.entry = in.entries(limit, d.pace.silence)
	return d.next(json.NewDecoder(in))
}

// watch follows the changes; it always ends with an error.
func (d *discovery) watch(ctx context.Context) error {
	w, err := d.open(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	defer w.body.Close()
	in := &stream{body: w.body, heard: func() { w.limit.Reset(d.pace.silence) }}
	d.entry = in.entries(w.limit, d.pace.silence)
	for objects := json.NewDecoder(in); ; {
		in.heard()
		in.inside, in.left = false, maxList
		if err := d.next(objects); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if d.known.wants() {
			return errSparse
		}
	}
}

// watchCall is a call for a watch; limit ends it, unless it is reset in time.
type watchCall struct {
	end   context.CancelFunc
	limit *time.Timer
	body  io.ReadCloser // of one that is answered
	err   error
}

func (w *watchCall) close() {
	w.limit.Stop()
	w.end()
}

// open calls for a watch until one call is answered, which may be a later one than the first; the others are given up
// then. It fails where all calls that are out have failed.
func (d *discovery) open(ctx context.Context) (*watchCall, error) {
	answers, over := make(chan *watchCall), make(chan struct{})
	calls := map[*watchCall]bool{d.call(ctx, answers, over): true}
	defer func() {
		close(over)
		for w := range calls {
			w.close()
		}
	}()
	for hedge := d.hedge(); ; {
		select {
		case w := <-answers:
			delete(calls, w)
			if w.err == nil {
				return w, nil
			}
			w.close()
			if len(calls) == 0 {
				return nil, w.err
			}
		case <-hedge:
			calls[d.call(ctx, answers, over)] = true
			hedge = d.hedge()
		}
	}
}

// hedge tells when another call is made beside those that wait: never where it is nil.
func (d *discovery) hedge() <-chan time.Time {
	if d.pace.hedge <= 0 {
		return nil
	}
	return time.After(d.pace.hedge*3/4 + d.upTo(d.pace.hedge/4))
}

// call begins a call that comes on answers when it is answered or has failed, unless all is over by then.
func (d *discovery) call(ctx context.Context, answers chan<- *watchCall, over <-chan struct{}) *watchCall {
	ctx, end := context.WithCancel(ctx)
	w := &watchCall{end: end, limit: time.AfterFunc(d.pace.answer, end)}
	url := fmt.Sprintf("%s?follow=1&since=%d", d.url, d.rev)
	go func() {
		w.body, w.err = d.get(ctx, url)
		select {
		case answers <- w:
		case <-over:
			if w.err == nil {
				w.body.Close()
			}
		}
	}()
	return w
}

// stream is what a watch brings: objects, which may stand on several lines, and empty lines between them. An object
// that has begun must end before the watch counts as silent, but for a very long one, which must go on by listPart entries
// until then. Each entry, and what is none, has a bound of its own.
type stream struct {
	body   io.Reader
	heard  func()
	inside bool // an object has begun
	left   int  // bytes that may still come before its next entry
}

// entries returns what is called before each entry of an object; the limit of a long list is reset with its parts.
func (s *stream) entries(limit *time.Timer, more time.Duration) func() {
	n := 0
	return func() {
		s.left = maxList
		if n++; n%listPart == 0 {
			limit.Reset(more)
		}
	}
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errTooMuch
	}
	n, err := s.body.Read(p[:min(len(p), s.left)])
	if !s.inside && len(bytes.TrimSpace(p[:n])) == 0 {
		if n > 0 {
			s.heard()
		}
		return n, err
	}
	s.inside = true
	s.left -= n
	return n, err
}

func (d *discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// next reads one list or change and passes on what is held of it.
func (d *discovery) next(objects *json.Decoder) error {
	h, f, err := d.known.read(objects, d.entry)
	if err != nil {
		return err
	}
	if h.Rev == nil || !h.listed { // some other answer: it would empty the list
		return errNoList
	}
	if f.Rev < d.rev { // it would revive what is gone
		d.log.Warn("discovery: an older list is left aside", "rev", f.Rev, "held", d.rev)
		return nil
	}
	d.rev = f.Rev
	d.post(d.known.apply(f))
	return nil
}

// check says what makes an entry useless. One that tells only that a backend is gone needs no address.
func (t Target) check() error {
	if t.UID == "" {
		return errors.New("no id")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != stateGone {
		return fmt.Errorf("%s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("%s: started at %d", t.UID, t.BootMS)
	}
	return nil
}
