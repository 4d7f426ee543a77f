package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	misbehaviorInterval = 100 * time.Millisecond // mean time between two misbehaving connections, for each ingress
	errorReplyTimeout   = 3 * time.Second        // within which a misbehaving client has to get an error or a close
	unknownCommandCount = 300
)

// misbehavingClient sends what no client may send.
type misbehavingClient struct {
	target         *ingressProcess
	checker        *checker
	processes      int // ingresses of the run
	rng            *rand.Rand
	connGoroutines *sync.WaitGroup // the goroutines of its connections, which end after twice errorReplyTimeout or with the ingress
}

// run opens connections until ctx ends. It does not wait for their goroutines: that is for the owner of conns.
func (mc *misbehavingClient) run(ctx context.Context) {
	invalidInputs := []func(io.Writer){
		func(w io.Writer) { io.WriteString(w, "GET / HTTP/1.1\r\n\r\n") },
		func(w io.Writer) { io.WriteString(w, "*5\r\n$4\r\nQ.DO\r\n$60000000\r\n") },
		func(w io.Writer) { io.WriteString(w, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000") },
		func(w io.Writer) { io.WriteString(w, strings.Repeat(unknownCommand, unknownCommandCount)) },
		func(w io.Writer) { io.WriteString(w, "*4\r\n$5\r\nQ.ASK\r\n$1\r\nx\r\n$1\r\ny\r\n$1\r\nz\r\n") },
		mc.sendIncompleteRequest,
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(mc.rng.ExpFloat64()*float64(misbehaviorInterval)))
		nc, err := mc.target.dial()
		if err != nil {
			continue
		}
		incarnation := mc.target.currentIncarnation()
		startedAt := time.Now()
		invalidInputs[mc.rng.IntN(len(invalidInputs))](nc)
		mc.connGoroutines.Go(func() { mc.checkErrorReply(nc, incarnation, startedAt) })
	}
}

// sendIncompleteRequest sends a request that never ends, with an id that a request of another client may have.
func (mc *misbehavingClient) sendIncompleteRequest(w io.Writer) {
	fmt.Fprintf(w, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$16\r\n%s\r\n", customerID(mc.target.index, 0), requestID(lastRequestID.Load()))
	fields := requestFields(classes[0], 0, 500*time.Millisecond, (mc.target.index+1)%mc.processes)
	fmt.Fprintf(w, "$%d\r\n%s\r\n", len(fields)+1, fields) // a byte short
}

// checkErrorReply checks that the connection gets an error or a close in time.
func (mc *misbehavingClient) checkErrorReply(nc net.Conn, incarnation int, startedAt time.Time) {
	defer nc.Close()
	nc.SetReadDeadline(startedAt.Add(2 * errorReplyTimeout))
	line, err := bufio.NewReader(nc).ReadString('\n')
	elapsed := time.Since(startedAt)
	switch {
	case err == nil && !strings.HasPrefix(line, "-"):
		mc.checker.violations.record(WrongReply, mc.target.index, "a misbehaving client is answered %q", line)
	case mc.target.wasKilled(incarnation):
	case mc.checker.checkTiming && elapsed > errorReplyTimeout+maxStall+measurementError+
		mc.checker.stalls.pausedTime(mc.target.index, startedAt, time.Now()):
		mc.checker.violations.record(LateReply, mc.target.index,
			"a misbehaving client waited %v for an error or a close: %v", elapsed, err)
	}
}
