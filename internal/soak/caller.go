package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
)

const (
	connsPerIngress = 3
	nonsenseShare   = 0.02 // commands of no known form, on the connections that requests share
	leaveShare      = 0.01 // requests after which the client closes its connection at once
	repeatShare     = 0.7  // refused requests that are tried again at once, with what is left of their time
	repeatWindow    = time.Second
	answerWait      = 10 * time.Second // for the last answers, once nothing more is sent
	plans           = 3
	pieceSize       = 30 // bytes of a command that is written slowly
	customerCount   = 40
)

// Kinds of answers.
const (
	answerValue = "value"
	answerBusy  = "busy"
	answerError = "error"
	answerOdd   = "odd"
)

type effect int

const (
	effectSafe effect = iota
	effectUnsafe
	effectKeyed
)

// class is a kind of request.
type class struct {
	name   string
	word   string
	effect effect
}

var classes = []class{{"read", "Q.ASK", effectSafe}, {"write", "Q.DO", effectUnsafe}, {"keyed", "Q.DO", effectKeyed}}

var lastID atomic.Uint64

// caller is a client that sends one command after another on a connection, without waiting for the answers, as a front does
// for many customers. It opens a new connection when one ends.
type caller struct {
	to     *ingressProcess
	ledger *ledger
	rng    *rand.Rand
	rate   float64
}

func newCaller(to *ingressProcess, l *ledger, rng *rand.Rand, rate float64) *caller {
	return &caller{to, l, rng, rate}
}

// session is one connection of a caller.
type session struct {
	nc      net.Conn
	ledger  *ledger
	to      *ingressProcess
	begun   int // life of the ingress
	dialled time.Time
	pace    time.Duration // between the pieces of what is written; 0: whole

	mu    sync.Mutex
	open  []*record // in the order of the commands; nil: nonsense
	over  bool
	retry chan *record // refused ones
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		nc, err := net.DialTimeout("tcp", c.to.listen, time.Second)
		if err != nil {
			pause(ctx, 20*time.Millisecond)
			continue
		}
		s := &session{nc: nc, ledger: c.ledger, to: c.to, begun: c.to.life(), dialled: time.Now(), retry: make(chan *record, 64)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.read()
		}()
		c.send(ctx, s, done)
		if ctx.Err() != nil { // the last answers
			select {
			case <-done:
			case <-time.After(answerWait):
			}
		}
		s.nc.Close()
		<-done
	}
}

// send sends requests until the connection or the load ends.
func (c *caller) send(ctx context.Context, s *session, done <-chan struct{}) {
	for {
		var again *record
		select {
		case <-ctx.Done():
			s.finish()
			return
		case <-done:
			return
		case again = <-s.retry:
		case <-time.After(time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))):
		}
		var err error
		switch x := c.rng.Float64(); {
		case again != nil:
			rest := time.Until(again.sent.Add(again.wait)).Truncate(time.Millisecond)
			err = s.ask(c.rng, again.class, max(rest, 0))
		case x < nonsenseShare:
			err = s.nonsense()
		case x < nonsenseShare+leaveShare:
			s.ask(c.rng, c.class(), c.wait())
			s.leave()
			return
		default:
			err = s.ask(c.rng, c.class(), c.wait())
		}
		if err != nil {
			return
		}
	}
}

func (c *caller) class() class { return classes[c.rng.IntN(len(classes))] }

// wait draws how long a client waits; some have hardly any time left.
func (c *caller) wait() time.Duration {
	if c.rng.Float64() < 0.05 {
		return time.Duration(c.rng.IntN(3)) * time.Millisecond
	}
	return time.Duration(50+c.rng.IntN(int(longestDeadline/time.Millisecond)-50)) * time.Millisecond
}

// ask sends one request.
func (s *session) ask(rng *rand.Rand, cl class, wait time.Duration) error {
	rec := &record{id: lastID.Add(1), ingress: s.to.index, class: cl, wait: wait}
	fields := fmt.Sprintf("c=%s,t=p%d,d=%d,units=1,spread=1,first=%d", cl.name, rng.IntN(plans), wait.Milliseconds(), s.to.index)
	if cl.effect == effectKeyed {
		fields += fmt.Sprintf(",k=%x", rec.id)
	}
	b := redcon.AppendArray(nil, 4)
	for _, arg := range []string{cl.word, fmt.Sprintf("%016x", s.to.index*1000+rng.IntN(customerCount)), fmt.Sprintf("%016x", rec.id), fields} {
		b = redcon.AppendBulkString(b, arg)
	}
	return s.write(rec, b)
}

func (s *session) nonsense() error { return s.write(nil, []byte("*1\r\n$5\r\nHELLO\r\n")) }

func (s *session) write(rec *record, b []byte) error {
	s.mu.Lock()
	if s.over {
		s.mu.Unlock()
		return net.ErrClosed
	}
	s.open = append(s.open, rec)
	s.mu.Unlock()
	for s.pace > 0 && len(b) > pieceSize {
		if _, err := s.nc.Write(b[:pieceSize]); err != nil {
			break // what was sent in part needs no answer; the last piece tells the same
		}
		b = b[pieceSize:]
		time.Sleep(s.pace)
	}
	if rec != nil {
		s.ledger.sent(rec)
	}
	_, err := s.nc.Write(b)
	return err
}

// leave closes the connection with requests open on it.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.left(requestsOf(s.open))
	s.open, s.over = nil, true
	s.nc.Close()
}

// finish ends the sending once all answers have come, or their wait is over.
func (s *session) finish() {
	for limit := time.Now().Add(answerWait); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		none := len(s.open) == 0 || s.over
		s.mu.Unlock()
		if none {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over && len(s.open) == 0 {
		s.over = true
		s.nc.Close()
	}
}

func requestsOf(open []*record) (recs []*record) {
	for _, rec := range open {
		if rec != nil {
			recs = append(recs, rec)
		}
	}
	return recs
}

// read takes answers until the connection ends.
func (s *session) read() {
	in := bufio.NewReader(s.nc)
	for turn := (time.Time{}); ; turn = time.Now() {
		kind, text, err := readAnswer(in)
		s.mu.Lock()
		switch {
		case err != nil:
			s.lost(err)
			s.mu.Unlock()
			return
		case s.over: // it left as the answer came
			s.mu.Unlock()
			return
		case len(s.open) == 0:
			s.mu.Unlock()
			s.ledger.violated(WrongAnswer, s.to.index, "%q answers nothing", text)
			s.nc.Close()
			return
		}
		rec := s.open[0]
		s.open = s.open[1:]
		s.mu.Unlock()
		if rec == nil { // nonsense
			if kind != answerError {
				s.ledger.violated(WrongAnswer, s.to.index, "%q answers nonsense", text)
			}
			continue
		}
		s.ledger.answered(rec, turn, kind, text)
		s.again(rec, kind)
	}
}

// again hands a refused request back to be sent with what is left of its time.
func (s *session) again(rec *record, kind string) {
	if kind != answerBusy || rec.id%10 >= repeatShare*10 || rec.wait == 0 {
		return
	}
	select {
	case s.retry <- rec:
	default:
	}
}

// lost judges the end of the connection; s.mu is held.
func (s *session) lost(err error) {
	open := requestsOf(s.open)
	over := s.over
	s.over = true
	if over || len(open) == 0 {
		return
	}
	switch reason := s.to.mayBreak(s.begun); {
	case s.to.wasLeaving(s.dialled):
		s.ledger.excuse(open, "it came as the ingress was closing its address")
	case reason != "":
		s.ledger.excuse(open, reason)
	case errors.Is(err, io.EOF):
		s.ledger.connectionEnded(open)
	case errors.Is(err, syscall.ECONNRESET):
		s.ledger.violated(Lost, s.to.index, "a connection with %d open requests is reset", len(open))
	}
}

// readAnswer reads one answer of an ingress.
func readAnswer(in *bufio.Reader) (kind, text string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		return answerBusy, line, nil
	case strings.HasPrefix(line, "-ERR"):
		return answerError, line, nil
	case !strings.HasPrefix(line, "$"):
		return answerOdd, line, nil
	}
	value, err := in.ReadString('\n')
	return answerValue, strings.TrimRight(value, "\r\n"), err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
