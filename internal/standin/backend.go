package standin

import (
	"bufio"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHeaderBytes         = 64                    // bytes of a RESP header line
	maxBulkBytes           = 64 << 10              // bytes, the protocol's
	maxCommandWords        = 8                     // of a command; no client sends more
	customerLimit          = 1 << 33               // customers are numbers below it
	meanServiceTimeSamples = 256                   // draws of Work from which its mean is taken
	warmUpStep             = 20 * time.Millisecond // the speed of a cold backend is taken as constant for so long
	workEpsilon            = 1e-9                  // seconds: rounding
)

var errMalformed = errors.New("a form that no client sends")

// BackendConfig says what a Backend can do.
type BackendConfig struct {
	Cores       int                                // attempts in work share them evenly; 0: any number
	Slots       int                                // attempts in work at once; 0: any number
	MaxQueued   int                                // attempts that wait for a slot; further ones are turned away
	ServiceTime func(rng *rand.Rand) time.Duration // what an attempt takes on a core of its own; nil: nothing

	ColdShare float64       // a cold backend works at this share of its speed at first
	WarmAfter time.Duration // and at the full one from this time after Started; 0: never cold
	StartedAt time.Time     // zero: long ago

	// A cold backend falls when it gets more than N + FallSlack*(root of N + 1) attempts of mean work within FallSpan,
	// N being FallMultiple x what it can do in that time now.
	OverloadMultiple float64 // 0: never
	OverloadWindow   time.Duration
	OverloadSlack    float64

	LoadReports bool                          // answers hold a load report
	Value       func(command []string) string // what an attempt is served with; nil: the request's id
	Seed        uint64
}

// BackendStats is what a Backend saw so far.
type BackendStats struct {
	Connections       int // accepted
	Attempts          int // that came whole, in good form
	Served            int // of them, those whose work was done
	Rejected          int
	ArrivedAfterDrain int // attempts whose first byte came after Drain
	Malformed         int // commands in a form that no client sends
	MaxInFlight       int // attempts in work or waiting at one moment
	Crashed           bool
}

// Backend plays one backend: attempts share its cores, further ones wait for a slot.
type Backend struct {
	cfg             BackendConfig
	connections     connectionSet
	meanServiceTime float64 // seconds of work

	mu             sync.Mutex
	rng            *rand.Rand
	working        jobs
	queued         []*backendAttempt
	virtualTime    float64   // seconds of work that one attempt would have got done since the start, sharing as they did
	updatedAt      time.Time // when that was so
	speed          float64   // from then on, in seconds of work per second
	timer          *time.Timer
	drainedAt      time.Time   // zero: not yet
	recentArrivals []time.Time // attempts of the last FallSpan
	stopped        bool        // it has fallen or is closed
	stats          BackendStats
}

// backendAttempt is one attempt.
type backendAttempt struct {
	value       string
	serviceTime float64 // seconds
	finishAt    float64 // of Backend.done
	reply       pendingReply
	conn        *replyWriter
}

// NewBackend returns a backend that nobody has called yet.
func NewBackend(cfg BackendConfig) *Backend {
	b := &Backend{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), updatedAt: time.Now()}
	if cfg.ServiceTime != nil {
		rng := rand.New(rand.NewPCG(cfg.Seed, 1))
		for range meanServiceTimeSamples {
			b.meanServiceTime += cfg.ServiceTime(rng).Seconds() / meanServiceTimeSamples
		}
	}
	return b
}

// Serve takes connections on a listener until Close, or until the backend falls.
func (b *Backend) Serve(ln net.Listener) error { return b.connections.serve(ln, b.serveConnection) }

// Close ends the backend as a crash does: open connections are reset, new ones refused.
func (b *Backend) Close() {
	b.connections.close()
	b.mu.Lock()
	b.abandonAll()
	b.mu.Unlock()
	b.connections.handlers.Wait()
}

// Drain makes it turn away new attempts and finish those it has.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drainedAt.IsZero() {
		b.drainedAt = time.Now()
	}
}

// Stats returns the figures so far.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// serveConnection serves one connection. Its end gives up the attempts on it: those that wait leave, those in work go on.
func (b *Backend) serveConnection(nc net.Conn) {
	b.mu.Lock()
	b.stats.Connections++
	b.mu.Unlock()
	out := newReplyWriter(nc, nil, func(int) {})
	defer out.stop()
	defer b.cancelQueued(out)
	for in := bufio.NewReader(nc); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		command, err := readCommand(in)
		if errors.Is(err, errMalformed) {
			b.rejectMalformed(out)
			return
		}
		if err != nil {
			return
		}
		switch command[0] {
		case "CLIENT", "SELECT":
			out.enqueue(completedReply("+OK\r\n"))
			continue
		case "Q.ASK", "Q.DO":
		default:
			out.enqueue(completedReply("-ERR unknown command\r\n"))
			continue
		}
		if validateRequest(command) != nil {
			b.rejectMalformed(out)
			return
		}
		r := b.admit(command, began, out)
		if r == nil { // it has fallen
			return
		}
		out.enqueue(r)
	}
}

// rejectMalformed answers a command in a form that no client sends, after those before it.
func (b *Backend) rejectMalformed(out *replyWriter) {
	b.mu.Lock()
	b.stats.Malformed++
	b.mu.Unlock()
	out.enqueue(completedReply("-SYNTAX\r\n"))
	out.enqueue(nil)
	<-out.stopped
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readHeader(in, '*', maxCommandWords)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("empty command: %w", errMalformed)
	}
	command := make([]string, n)
	for i := range command {
		size, err := readHeader(in, '$', maxBulkBytes)
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, fmt.Errorf("bulk string: %w", err)
		}
		text, ok := strings.CutSuffix(string(b), "\r\n")
		if !ok {
			return nil, fmt.Errorf("end of a bulk string: %w", errMalformed)
		}
		command[i] = text
	}
	return command, nil
}

// readHeader reads the length that an array or a bulk string begins with.
func readHeader(in *bufio.Reader, kind byte, most int) (int, error) {
	var b []byte
	for len(b) < maxHeaderBytes {
		c, err := in.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("header: %w", err)
		}
		if b = append(b, c); c == '\n' {
			break
		}
	}
	text, ok := strings.CutSuffix(string(b), "\r\n")
	if !ok || text == "" || text[0] != kind {
		return 0, fmt.Errorf("header %q: %w", b, errMalformed)
	}
	n, err := strconv.ParseUint(text[1:], 10, 31)
	if err != nil || n > uint64(most) {
		return 0, fmt.Errorf("length %q: %w", b, errMalformed)
	}
	return int(n), nil
}

// validateRequest says what is wrong with a request that came as such a command.
func validateRequest(command []string) error {
	if want := map[string]int{"Q.ASK": 4, "Q.DO": 5}[command[0]]; len(command) != want {
		return fmt.Errorf("%s of %d words: %w", command[0], len(command), errMalformed)
	}
	customer, err := strconv.ParseUint(command[1], 16, 64)
	if err != nil || len(command[1]) != 16 || customer >= customerLimit {
		return fmt.Errorf("customer %q: %w", command[1], errMalformed)
	}
	if _, err := strconv.ParseUint(command[2], 16, 64); err != nil || len(command[2]) != 16 {
		return fmt.Errorf("id %q: %w", command[2], errMalformed)
	}
	fields := map[string]string{}
	for _, f := range strings.Split(command[3], ",") {
		name, value, ok := strings.Cut(f, "=")
		if _, twice := fields[name]; !ok || value == "" || twice {
			return fmt.Errorf("field %q: %w", f, errMalformed)
		}
		fields[name] = value
	}
	for _, name := range []string{"c", "t", "d", "units", "spread", "first"} {
		if fields[name] == "" {
			return fmt.Errorf("no %s: %w", name, errMalformed)
		}
	}
	for _, name := range []string{"d", "spread", "first"} {
		if _, err := strconv.ParseUint(fields[name], 10, 31); err != nil {
			return fmt.Errorf("%s=%s: %w", name, fields[name], errMalformed)
		}
	}
	return nil
}

// admit begins an attempt, queues it or turns it away, and returns the place of its answer; nil if the backend is no more
// or falls.
func (b *Backend) admit(command []string, began time.Time, out *replyWriter) pendingReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.advance(now)
	if b.stopped {
		return nil
	}
	b.stats.Attempts++
	late := !b.drainedAt.IsZero() && began.After(b.drainedAt)
	if late {
		b.stats.ArrivedAfterDrain++
	}
	if b.recordArrival(now) {
		b.stats.Crashed = true
		b.abandonAll()
		b.connections.close()
		return nil
	}
	j := &backendAttempt{value: command[2], reply: make(pendingReply, 1), conn: out}
	if b.cfg.Value != nil {
		j.value = b.cfg.Value(command)
	}
	if b.cfg.ServiceTime != nil {
		j.serviceTime = b.cfg.ServiceTime(b.rng).Seconds()
	}
	full := b.cfg.Slots > 0 && len(b.working) >= b.cfg.Slots
	switch {
	case late || full && len(b.queued) >= b.cfg.MaxQueued:
		b.stats.Rejected++
		j.reply <- []byte("-BUSY\r\n")
	case full:
		b.queued = append(b.queued, j)
	default:
		b.start(j)
	}
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, len(b.working)+len(b.queued))
	b.advance(now)
	return j.reply
}

func (b *Backend) start(j *backendAttempt) {
	j.finishAt = b.virtualTime + j.serviceTime
	heap.Push(&b.working, j)
}

// advance brings the work up to now, answers what is done and sets the timer for the next. Attempts in work share the
// cores evenly, so that one count of done work serves for all.
func (b *Backend) advance(now time.Time) {
	for {
		left := math.Inf(1)
		if len(b.working) > 0 {
			left = b.working[0].finishAt - b.virtualTime
		}
		elapsed := now.Sub(b.updatedAt).Seconds()
		if left > workEpsilon && left > elapsed*b.speed+workEpsilon {
			b.virtualTime += elapsed * b.speed
			break
		}
		if left > workEpsilon {
			b.virtualTime = b.working[0].finishAt
			b.updatedAt = b.updatedAt.Add(min(now.Sub(b.updatedAt), seconds(left/b.speed)))
		}
		b.complete(heap.Pop(&b.working).(*backendAttempt))
		if len(b.queued) > 0 {
			b.start(b.queued[0])
			b.queued = b.queued[1:]
		}
		b.speed = b.speedAt(b.updatedAt)
	}
	b.updatedAt = now
	b.speed = b.speedAt(now)
	b.resetTimer(now)
}

// resetTimer sets the timer for the next end of work. The lock is held.
func (b *Backend) resetTimer(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if len(b.working) == 0 {
		return
	}
	next := warmUpStep
	if left := (b.working[0].finishAt - b.virtualTime) / b.speed; b.warmUpSpeed(now) >= 1 || left < warmUpStep.Seconds() {
		next = seconds(left) + 1
	}
	b.timer = time.AfterFunc(next, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.advance(time.Now())
	})
}

// speedAt is the speed of each attempt in work.
func (b *Backend) speedAt(now time.Time) float64 {
	speed := b.warmUpSpeed(now)
	if n := len(b.working); b.cfg.Cores > 0 && n > b.cfg.Cores {
		speed *= float64(b.cfg.Cores) / float64(n)
	}
	return speed
}

// warmUpSpeed is the share of its speed that the backend has; it rises evenly from ColdShare.
func (b *Backend) warmUpSpeed(now time.Time) float64 {
	age := now.Sub(b.cfg.StartedAt)
	if b.cfg.WarmAfter == 0 || b.cfg.StartedAt.IsZero() || age >= b.cfg.WarmAfter {
		return 1
	}
	risen := max(0, age.Seconds()/b.cfg.WarmAfter.Seconds())
	return b.cfg.ColdShare + (1-b.cfg.ColdShare)*risen
}

// recordArrival counts an attempt and says whether it was one too many for a cold backend.
func (b *Backend) recordArrival(now time.Time) bool {
	warmth := b.warmUpSpeed(now)
	if b.cfg.OverloadMultiple == 0 || warmth >= 1 || b.cfg.Cores == 0 || b.meanServiceTime == 0 {
		return false
	}
	b.recentArrivals = append(b.recentArrivals, now)
	for now.Sub(b.recentArrivals[0]) >= b.cfg.OverloadWindow {
		b.recentArrivals = b.recentArrivals[1:]
	}
	n := b.cfg.OverloadMultiple * warmth * float64(b.cfg.Cores) / b.meanServiceTime * b.cfg.OverloadWindow.Seconds()
	return float64(len(b.recentArrivals)) > n+b.cfg.OverloadSlack*(math.Sqrt(n)+1)
}

// complete answers an attempt whose work is done. The lock is held.
func (b *Backend) complete(j *backendAttempt) {
	b.stats.Served++
	report := "$-1\r\n"
	if b.cfg.LoadReports {
		report = bulk(fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", len(b.working), len(b.queued), b.utilization()))
	}
	j.reply <- []byte("*3\r\n" + bulk(j.value) + "$-1\r\n" + report)
}

// utilization is the share of the cores that is in use.
func (b *Backend) utilization() float64 {
	if b.cfg.Cores == 0 {
		return 0
	}
	return min(1, float64(len(b.working))/float64(b.cfg.Cores))
}

// cancelQueued takes attempts out of the queue whose connection has ended.
func (b *Backend) cancelQueued(out *replyWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = slices.DeleteFunc(b.queued, func(j *backendAttempt) bool { return j.conn == out })
}

// abandonAll drops all work, for good. The lock is held.
func (b *Backend) abandonAll() {
	for _, j := range slices.Concat(b.working, b.queued) {
		close(j.reply)
	}
	b.working, b.queued, b.stopped = nil, nil, true
	if b.timer != nil {
		b.timer.Stop()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func bulk(s string) string { return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n" }

// jobs is a heap of the attempts in work by their end.
type jobs []*backendAttempt

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(j any)        { *h = append(*h, j.(*backendAttempt)) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
