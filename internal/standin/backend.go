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
	longestHeader = 64                    // bytes of a RESP header line
	longestValue  = 64 << 10              // bytes, the protocol's
	mostArgs      = 8                     // of a command; no client sends more
	customers     = 1 << 33               // customers are numbers below it
	meanSamples   = 256                   // draws of Work from which its mean is taken
	warmStep      = 20 * time.Millisecond // the speed of a cold backend is taken as constant for so long
	endOfWork     = 1e-9                  // seconds: rounding
)

var errSyntax = errors.New("a form that no client sends")

// BackendConfig says what a Backend can do.
type BackendConfig struct {
	Cores int                                // attempts in work share them evenly; 0: any number
	Slots int                                // attempts in work at once; 0: any number
	Queue int                                // attempts that wait for a slot; further ones are turned away
	Work  func(rng *rand.Rand) time.Duration // what an attempt takes on a core of its own; nil: nothing

	ColdShare float64       // a cold backend works at this share of its speed at first
	WarmAfter time.Duration // and at the full one from this time after Started; 0: never cold
	Started   time.Time     // zero: long ago

	// A cold backend falls when it gets more than N + FallSlack*(root of N + 1) attempts of mean work within FallSpan,
	// N being FallMultiple x what it can do in that time now.
	FallMultiple float64 // 0: never
	FallSpan     time.Duration
	FallSlack    float64

	Reports bool                          // answers hold a load report
	Value   func(command []string) string // what an attempt is served with; nil: the request's id
	Seed    uint64
}

// BackendStats is what a Backend saw so far.
type BackendStats struct {
	Conns          int // accepted
	Attempts       int // that came whole, in good form
	Served         int // of them, those whose work was done
	TurnedAway     int
	LateAfterDrain int // attempts whose first byte came after Drain
	Odd            int // commands in a form that no client sends
	MostInFlight   int // attempts in work or waiting at one moment
	Fell           bool
}

// Backend plays one backend: attempts share its cores, further ones wait for a slot.
type Backend struct {
	cfg   BackendConfig
	conns conns
	mean  float64 // seconds of work

	mu      sync.Mutex
	rng     *rand.Rand
	working jobs
	waiting []*job
	done    float64   // seconds of work that one attempt would have got done since the start, sharing as they did
	at      time.Time // when that was so
	speed   float64   // from then on, in seconds of work per second
	timer   *time.Timer
	drained time.Time   // zero: not yet
	recent  []time.Time // attempts of the last FallSpan
	ended   bool        // it has fallen or is closed
	stats   BackendStats
}

// job is one attempt.
type job struct {
	value string
	work  float64 // seconds
	ends  float64 // of Backend.done
	reply reply
	conn  *replies
}

// NewBackend returns a backend that nobody has called yet.
func NewBackend(cfg BackendConfig) *Backend {
	b := &Backend{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), at: time.Now()}
	if cfg.Work != nil {
		rng := rand.New(rand.NewPCG(cfg.Seed, 1))
		for range meanSamples {
			b.mean += cfg.Work(rng).Seconds() / meanSamples
		}
	}
	return b
}

// Serve takes connections on a listener until Close, or until the backend falls.
func (b *Backend) Serve(ln net.Listener) error { return b.conns.serve(ln, b.handle) }

// Close ends the backend as a crash does: open connections are reset, new ones refused.
func (b *Backend) Close() {
	b.conns.end()
	b.mu.Lock()
	b.forget()
	b.mu.Unlock()
	b.conns.all.Wait()
}

// Drain makes it turn away new attempts and finish those it has.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drained.IsZero() {
		b.drained = time.Now()
	}
}

// Stats returns the figures so far.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// handle serves one connection. Its end gives up the attempts on it: those that wait leave, those in work go on.
func (b *Backend) handle(nc net.Conn) {
	b.mu.Lock()
	b.stats.Conns++
	b.mu.Unlock()
	out := newReplies(nc, nil, func(int) {})
	defer out.stop()
	defer b.giveUp(out)
	for in := bufio.NewReader(nc); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		command, err := readCommand(in)
		if errors.Is(err, errSyntax) {
			b.refuse(out)
			return
		}
		if err != nil {
			return
		}
		switch command[0] {
		case "CLIENT", "SELECT":
			out.next(answered("+OK\r\n"))
			continue
		case "Q.ASK", "Q.DO":
		default:
			out.next(answered("-ERR unknown command\r\n"))
			continue
		}
		if checkRequest(command) != nil {
			b.refuse(out)
			return
		}
		r := b.take(command, began, out)
		if r == nil { // it has fallen
			return
		}
		out.next(r)
	}
}

// refuse answers a command in a form that no client sends, after those before it.
func (b *Backend) refuse(out *replies) {
	b.mu.Lock()
	b.stats.Odd++
	b.mu.Unlock()
	out.next(answered("-SYNTAX\r\n"))
	out.next(nil)
	<-out.ended
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readHeader(in, '*', mostArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("empty command: %w", errSyntax)
	}
	command := make([]string, n)
	for i := range command {
		size, err := readHeader(in, '$', longestValue)
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, fmt.Errorf("bulk string: %w", err)
		}
		text, ok := strings.CutSuffix(string(b), "\r\n")
		if !ok {
			return nil, fmt.Errorf("end of a bulk string: %w", errSyntax)
		}
		command[i] = text
	}
	return command, nil
}

// readHeader reads the length that an array or a bulk string begins with.
func readHeader(in *bufio.Reader, kind byte, most int) (int, error) {
	var b []byte
	for len(b) < longestHeader {
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
		return 0, fmt.Errorf("header %q: %w", b, errSyntax)
	}
	n, err := strconv.ParseUint(text[1:], 10, 31)
	if err != nil || n > uint64(most) {
		return 0, fmt.Errorf("length %q: %w", b, errSyntax)
	}
	return int(n), nil
}

// checkRequest says what is wrong with a request that came as such a command.
func checkRequest(command []string) error {
	if want := map[string]int{"Q.ASK": 4, "Q.DO": 5}[command[0]]; len(command) != want {
		return fmt.Errorf("%s of %d words: %w", command[0], len(command), errSyntax)
	}
	customer, err := strconv.ParseUint(command[1], 16, 64)
	if err != nil || len(command[1]) != 16 || customer >= customers {
		return fmt.Errorf("customer %q: %w", command[1], errSyntax)
	}
	if _, err := strconv.ParseUint(command[2], 16, 64); err != nil || len(command[2]) != 16 {
		return fmt.Errorf("id %q: %w", command[2], errSyntax)
	}
	fields := map[string]string{}
	for _, f := range strings.Split(command[3], ",") {
		name, value, ok := strings.Cut(f, "=")
		if _, twice := fields[name]; !ok || value == "" || twice {
			return fmt.Errorf("field %q: %w", f, errSyntax)
		}
		fields[name] = value
	}
	for _, name := range []string{"c", "t", "d", "units", "spread", "first"} {
		if fields[name] == "" {
			return fmt.Errorf("no %s: %w", name, errSyntax)
		}
	}
	for _, name := range []string{"d", "spread", "first"} {
		if _, err := strconv.ParseUint(fields[name], 10, 31); err != nil {
			return fmt.Errorf("%s=%s: %w", name, fields[name], errSyntax)
		}
	}
	return nil
}

// take begins an attempt, queues it or turns it away, and returns the place of its answer; nil if the backend is no more
// or falls.
func (b *Backend) take(command []string, began time.Time, out *replies) reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.advance(now)
	if b.ended {
		return nil
	}
	b.stats.Attempts++
	late := !b.drained.IsZero() && began.After(b.drained)
	if late {
		b.stats.LateAfterDrain++
	}
	if b.falls(now) {
		b.stats.Fell = true
		b.forget()
		b.conns.end()
		return nil
	}
	j := &job{value: command[2], reply: make(reply, 1), conn: out}
	if b.cfg.Value != nil {
		j.value = b.cfg.Value(command)
	}
	if b.cfg.Work != nil {
		j.work = b.cfg.Work(b.rng).Seconds()
	}
	full := b.cfg.Slots > 0 && len(b.working) >= b.cfg.Slots
	switch {
	case late || full && len(b.waiting) >= b.cfg.Queue:
		b.stats.TurnedAway++
		j.reply <- []byte("-BUSY\r\n")
	case full:
		b.waiting = append(b.waiting, j)
	default:
		b.start(j)
	}
	b.stats.MostInFlight = max(b.stats.MostInFlight, len(b.working)+len(b.waiting))
	b.advance(now)
	return j.reply
}

func (b *Backend) start(j *job) {
	j.ends = b.done + j.work
	heap.Push(&b.working, j)
}

// advance brings the work up to now, answers what is done and sets the timer for the next. Attempts in work share the
// cores evenly, so that one count of done work serves for all.
func (b *Backend) advance(now time.Time) {
	for {
		left := math.Inf(1)
		if len(b.working) > 0 {
			left = b.working[0].ends - b.done
		}
		elapsed := now.Sub(b.at).Seconds()
		if left > endOfWork && left > elapsed*b.speed+endOfWork {
			b.done += elapsed * b.speed
			break
		}
		if left > endOfWork {
			b.done = b.working[0].ends
			b.at = b.at.Add(min(now.Sub(b.at), seconds(left/b.speed)))
		}
		b.finish(heap.Pop(&b.working).(*job))
		if len(b.waiting) > 0 {
			b.start(b.waiting[0])
			b.waiting = b.waiting[1:]
		}
		b.speed = b.speedAt(b.at)
	}
	b.at = now
	b.speed = b.speedAt(now)
	b.wake(now)
}

// wake sets the timer for the next end of work. The lock is held.
func (b *Backend) wake(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if len(b.working) == 0 {
		return
	}
	next := warmStep
	if left := (b.working[0].ends - b.done) / b.speed; b.warmth(now) >= 1 || left < warmStep.Seconds() {
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
	speed := b.warmth(now)
	if n := len(b.working); b.cfg.Cores > 0 && n > b.cfg.Cores {
		speed *= float64(b.cfg.Cores) / float64(n)
	}
	return speed
}

// warmth is the share of its speed that the backend has; it rises evenly from ColdShare.
func (b *Backend) warmth(now time.Time) float64 {
	age := now.Sub(b.cfg.Started)
	if b.cfg.WarmAfter == 0 || b.cfg.Started.IsZero() || age >= b.cfg.WarmAfter {
		return 1
	}
	risen := max(0, age.Seconds()/b.cfg.WarmAfter.Seconds())
	return b.cfg.ColdShare + (1-b.cfg.ColdShare)*risen
}

// falls counts an attempt and says whether it was one too many for a cold backend.
func (b *Backend) falls(now time.Time) bool {
	warmth := b.warmth(now)
	if b.cfg.FallMultiple == 0 || warmth >= 1 || b.cfg.Cores == 0 || b.mean == 0 {
		return false
	}
	b.recent = append(b.recent, now)
	for now.Sub(b.recent[0]) >= b.cfg.FallSpan {
		b.recent = b.recent[1:]
	}
	n := b.cfg.FallMultiple * warmth * float64(b.cfg.Cores) / b.mean * b.cfg.FallSpan.Seconds()
	return float64(len(b.recent)) > n+b.cfg.FallSlack*(math.Sqrt(n)+1)
}

// finish answers an attempt whose work is done. The lock is held.
func (b *Backend) finish(j *job) {
	b.stats.Served++
	report := "$-1\r\n"
	if b.cfg.Reports {
		report = bulk(fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", len(b.working), len(b.waiting), b.load()))
	}
	j.reply <- []byte("*3\r\n" + bulk(j.value) + "$-1\r\n" + report)
}

// load is the share of the cores that is in use.
func (b *Backend) load() float64 {
	if b.cfg.Cores == 0 {
		return 0
	}
	return min(1, float64(len(b.working))/float64(b.cfg.Cores))
}

// giveUp takes attempts out of the queue whose connection has ended.
func (b *Backend) giveUp(out *replies) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(j *job) bool { return j.conn == out })
}

// forget drops all work, for good. The lock is held.
func (b *Backend) forget() {
	for _, j := range slices.Concat(b.working, b.waiting) {
		close(j.reply)
	}
	b.working, b.waiting, b.ended = nil, nil, true
	if b.timer != nil {
		b.timer.Stop()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func bulk(s string) string { return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n" }

// jobs is a heap of the attempts in work by their end.
type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(j any)        { *h = append(*h, j.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
