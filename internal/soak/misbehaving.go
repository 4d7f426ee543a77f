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
	misbehaviorInterval = 100 * time.Millisecond // mean time between two connections of a misbehaving client
	errorReplyTimeout   = 3 * time.Second        // time in which an ingress has to reply with an error or close the connection
	unknownCommandCount = 300                    // unknown commands on one connection
)

// misbehavingClient sends input that violates the client protocol.
type misbehavingClient struct {
	target         *ingressProcess
	checker        *checker
	processes      int // number of ingresses in the run
	rng            *rand.Rand
	connGoroutines *sync.WaitGroup // goroutines that read replies; they end after at most twice errorReplyTimeout
}

// run opens connections until ctx ends. It does not wait for their goroutines; the owner of connGoroutines does.
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

// sendIncompleteRequest sends a request without its last byte, with an id that a request of another client may have.
func (mc *misbehavingClient) sendIncompleteRequest(w io.Writer) {
	fmt.Fprintf(w, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$16\r\n%s\r\n",
		customerID(mc.target.index, 0), requestID(lastRequestID.Load()))
	fields := requestFields(classes[0], 0, 500*time.Millisecond, (mc.target.index+1)%mc.processes)
	fmt.Fprintf(w, "$%d\r\n%s\r\n", len(fields)+1, fields) // the fields are one byte shorter than announced
}

// checkErrorReply checks that the ingress replies with an error or closes the connection within errorReplyTimeout.
func (mc *misbehavingClient) checkErrorReply(nc net.Conn, incarnation int, startedAt time.Time) {
	defer nc.Close()
	nc.SetReadDeadline(startedAt.Add(2 * errorReplyTimeout))
	line, err := bufio.NewReader(nc).ReadString('\n')
	elapsed := time.Since(startedAt)
	switch {
	case err == nil && !strings.HasPrefix(line, "-"):
		mc.checker.violations.record(WrongReply, mc.target.index, "got reply %q to invalid input, want an error", line)
	case mc.target.wasKilled(incarnation):
	case mc.checker.checkTiming && elapsed > errorReplyTimeout+maxStall+measurementError+
		mc.checker.stalls.pausedTime(mc.target.index, startedAt, time.Now()):
		mc.checker.violations.record(LateReply, mc.target.index,
			"an error or a close after invalid input took %v: %v", elapsed, err)
	}
}
