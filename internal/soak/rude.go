package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	newcomerEvery = 50 * time.Millisecond // between two requests on connections of their own, for each ingress
	rudeEvery     = 100 * time.Millisecond
	crowdSize     = 40
	rudeWait      = 3 * time.Second // within which a bad client is owed an error or a close
	slowShare     = 0.2             // of the newcomers write in pieces
)

// newcomers sends requests on connections of their own, one each, until ctx ends.
func (c *caller) newcomers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(newcomerEvery)))
		nc, err := net.DialTimeout("tcp", c.to.listen, time.Second)
		if err != nil {
			continue
		}
		s := &session{nc: nc, ledger: c.ledger, to: c.to, begun: c.to.life(), dialled: time.Now(), retry: make(chan *record, 1)}
		if c.rng.Float64() < slowShare {
			s.pace = time.Duration(c.rng.IntN(5)) * time.Millisecond
		}
		go func() {
			defer nc.Close()
			s.read()
		}()
		s.ask(c.rng, c.class(), c.wait())
		go func() {
			s.finish()
			nc.Close()
		}()
	}
}

// rude is a client that sends what no client should.
type rude struct {
	to     *ingressProcess
	ledger *ledger
	rng    *rand.Rand
}

func (r *rude) run(ctx context.Context) {
	kinds := []func(context.Context, net.Conn){
		func(_ context.Context, nc net.Conn) { nc.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		func(_ context.Context, nc net.Conn) { io.WriteString(nc, "*5\r\n$4\r\nQ.DO\r\n$60000000\r\n") },
		func(_ context.Context, nc net.Conn) { io.WriteString(nc, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000") },
		func(_ context.Context, nc net.Conn) { io.WriteString(nc, strings.Repeat("*1\r\n$5\r\nHELLO\r\n", 300)) },
		func(_ context.Context, nc net.Conn) {
			io.WriteString(nc, "*4\r\n$5\r\nQ.ASK\r\n$1\r\nx\r\n$1\r\ny\r\n$1\r\nz\r\n")
		},
		r.halfRequest,
	}
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.rng.ExpFloat64()*float64(rudeEvery)))
		nc, err := net.DialTimeout("tcp", r.to.listen, time.Second)
		if err != nil {
			continue
		}
		life := r.to.life()
		began := time.Now()
		kinds[r.rng.IntN(len(kinds))](ctx, nc)
		go r.await(nc, life, began)
	}
}

// halfRequest sends a request that never ends, with the id of one that another client may have open.
func (r *rude) halfRequest(_ context.Context, nc net.Conn) {
	fmt.Fprintf(nc, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n", r.to.index*1000, lastID.Load())
	fields := fmt.Sprintf("c=read,t=p0,d=500,units=1,spread=1,first=%d", (r.to.index+1)%len(r.to.run.fleet))
	fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(fields)+1, fields) // one byte short, for good
}

// await wants an error or a close in time.
func (r *rude) await(nc net.Conn, life int, began time.Time) {
	defer nc.Close()
	nc.SetReadDeadline(began.Add(2 * rudeWait))
	line, err := bufio.NewReader(nc).ReadString('\n')
	took := time.Since(began)
	switch {
	case err == nil && !strings.HasPrefix(line, "-"):
		r.ledger.violated(WrongAnswer, r.to.index, "a bad client is answered %q", line)
	case r.to.mayBreak(life) != "":
	case r.ledger.timed && took > rudeWait+heldUpMost+measureSlack+r.ledger.slackOf(r.to.index, began, time.Now()):
		r.ledger.violated(Late, r.to.index, "a bad client waited %v for an error or a close: %v", took, err)
	}
}

// crowd keeps connections open that say nothing, until ctx ends or for a while.
func (r *run) crowd(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	p := r.anyIngress(rng)
	var open []net.Conn
	for range crowdSize {
		if nc, err := net.DialTimeout("tcp", p.listen, time.Second); err == nil {
			open = append(open, nc)
		}
	}
	pause(ctx, lasts)
	for _, nc := range open {
		nc.Close()
	}
}

// freeze stops a process for longer than the protocol lets machines be held up: times are not judged then, all else is.
func (r *run) freeze(_ context.Context, rng *rand.Rand, lasts time.Duration) {
	r.stopFor(r.anyIngress(rng), lasts)
}
