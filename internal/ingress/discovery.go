package ingress

import (
	"bytes"
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
	"slices"
	"sync"
	"time"

	"larchwick/logic"
)

const (
	lineEvery = 2 * time.Second // a watch brings an empty line so often where nothing changes
	toldClock = 6 * time.Second // what a silent watch misses counts as told so long after it fell silent

	// Where lists are pushed, what the agent has counts as told, and drains have a second from then on: the limit of a
	// call and the longest pause after it stay within that second together.
	agentTime    = 400 * time.Millisecond // the agent answers at once, unless discovery is down
	agentSilence = lineEvery + 700*time.Millisecond
	firstPause   = 100 * time.Millisecond // before discovery is asked again; doubled each time
	agentPause   = 400 * time.Millisecond // what that grows to

	// Where discovery has to be asked, a call may have to wait for its turn there.
	callTime    = 4 * time.Second
	callSilence = 2*lineEvery + 300*time.Millisecond // two lines: asking again is paid for
	callPause   = 1500 * time.Millisecond            // the first pause at most: an answer in time for the clock follows it
	longestWait = 2 * time.Second                    // what the pauses of a small fleet grow to
	maxList     = 1 << 20
	maxHeader   = 16 << 10

	// All ingresses then share one service of a fixed capacity, and calls that have waited for long fail: a fleet that
	// starts, or loses its watches, at one moment must not ask at one moment.
	askSpread    = 50 * time.Millisecond // for each ingress of the fleet: the time over which all of them ask
	longSpread   = 4 * time.Second       // at most: what was listed before a start counts as told by toldClock
	fewIngresses = 8                     // so few may ask at one moment
	spreadsLeft  = 4                     // times the spread, the longest pause grows to
)

// pace says how discovery is called: how long a call may take, how long a watch may say nothing, and the pauses.
type pace struct {
	spread         time.Duration // over which the starts of a fleet are spread; 0: no need to
	answer         time.Duration
	silence        time.Duration
	first, longest time.Duration
}

// paceOf is the pace for a fleet of so many ingresses that is told, or asks.
func paceOf(asked bool, ingresses int, known bool) pace {
	if !asked {
		return pace{answer: agentTime, silence: agentSilence, first: firstPause, longest: agentPause}
	}
	p := pace{answer: callTime, silence: callSilence, first: firstPause, longest: longestWait}
	if ingresses > fewIngresses && known {
		p.spread = min(askSpread*time.Duration(ingresses), longSpread)
		p.first, p.longest = min(max(firstPause, p.spread/2), callPause), max(longestWait, spreadsLeft*p.spread)
	}
	return p
}

var (
	errNoList  = errors.New("a list has a version and targets")
	errTooMuch = fmt.Errorf("a list of more than %d bytes", maxList)
)

// Fleet is discovery's list of backends, or the entries of it that changed.
type Fleet struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

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

func (t Target) server() logic.Server {
	s := logic.Server{ID: logic.ServerID(t.UID), Zone: t.Zone, Kind: t.Model, Cell: t.Group, Size: t.Capacity,
		Started: time.Duration(t.BootMS) * time.Millisecond}
	switch t.State {
	case "SERVING":
		s.State = logic.Running
	case "DELETED":
		s.State = logic.Gone
	}
	return s
}

// discovery keeps the gateway's list of backends up to date.
type discovery struct {
	url    string
	rev    int64
	client *http.Client
	moves  latest
	post   func(event)
	pace   pace
	first  chan struct{} // closed after the first list, or when that failed
	log    *slog.Logger
}

func newDiscovery(addr string, rev int64, p pace, post func(event), log *slog.Logger) *discovery {
	return &discovery{url: listURL(addr), rev: rev, pace: p, moves: newLatest(), post: post, log: log,
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
// what has changed since; the watches of a fleet that starts begin spread out.
func (d *discovery) begin(ctx context.Context, listed func()) {
	if d.pace.spread > 0 {
		select {
		case <-d.first: // not a start, but a move
		default:
			listed()
			wait(ctx, rand.N(d.pace.spread))
		}
		return
	}
	if err := d.list(ctx); err != nil && ctx.Err() == nil {
		d.log.Warn("discovery: no list yet", "err", err)
	}
	listed()
}

// follow watches at one address. Whatever breaks the watch, it resumes from the version held.
func (d *discovery) follow(ctx context.Context) {
	for pause := d.pace.first; ctx.Err() == nil; pause = min(2*pause, d.pace.longest) {
		began := time.Now()
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("discovery: the watch ended", "err", err)
		if time.Since(began) >= d.pace.silence {
			pause = d.pace.first
		}
		wait(ctx, pause/4+rand.N(pause*3/4))
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
	ctx, cancel := context.WithTimeout(ctx, d.pace.answer)
	defer cancel()
	body, err := d.get(ctx, d.url)
	if err != nil {
		return err
	}
	defer body.Close()
	return d.next(json.NewDecoder(&stream{body: body, heard: func() {}, left: maxList}))
}

// watch follows the changes; it always ends with an error.
func (d *discovery) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(d.pace.answer, cancel)
	defer silence.Stop()
	body, err := d.get(ctx, fmt.Sprintf("%s?follow=1&since=%d", d.url, d.rev))
	if err != nil {
		return err
	}
	defer body.Close()
	in := &stream{body: body, heard: func() { silence.Reset(d.pace.silence) }}
	for objects := json.NewDecoder(in); ; {
		in.heard()
		in.inside, in.left = false, maxList
		if err := d.next(objects); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
	}
}

// stream is what a watch brings: objects, which may stand on several lines, and empty lines between them. An object
// that has begun must end before the watch counts as silent, and within its bytes.
type stream struct {
	body   io.Reader
	heard  func()
	inside bool // an object has begun
	left   int  // bytes that it may still have
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

// next reads one list or change and passes it on.
func (d *discovery) next(objects *json.Decoder) error {
	var f struct {
		Rev     *int64   `json:"rev"`
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	}
	if err := objects.Decode(&f); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if f.Rev == nil || f.Targets == nil { // some other answer: it would empty the list
		return errNoList
	}
	if *f.Rev < d.rev { // it would revive what is gone
		d.log.Warn("discovery: an older list is left aside", "rev", *f.Rev, "held", d.rev)
		return nil
	}
	d.rev = *f.Rev
	d.post(Fleet{Rev: d.rev, All: f.All, Targets: f.Targets}.usable(d.log))
	return nil
}

// usable is the list without the entries that say nothing.
func (f Fleet) usable(log *slog.Logger) Fleet {
	f.Targets = slices.DeleteFunc(slices.Clone(f.Targets), func(t Target) bool {
		err := t.check()
		if err != nil {
			log.Warn("an entry of the list is left aside", "err", err)
		}
		return err != nil
	})
	return f
}

// check says what makes an entry useless. One that tells only that a backend is gone needs no address.
func (t Target) check() error {
	if t.UID == "" {
		return errors.New("no id")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != "DELETED" {
		return fmt.Errorf("%s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("%s: started at %d", t.UID, t.BootMS)
	}
	return nil
}
