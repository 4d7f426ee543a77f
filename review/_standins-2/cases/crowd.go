package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// The disruption and the load of the case "crowd".
const (
	crowdSockets  = 256                    // "256 to 1,024 descriptors"
	crowdSilent   = 600                    // "others connect by hundreds and say nothing"
	crowdGoodbye  = 300 * time.Millisecond // a silent client closes so long after the ingress has ended its connection
	crowdRequests = 20                     // of usual clients, each on a new connection
	crowdInterval = 50 * time.Millisecond  // between them
	crowdWait     = 700 * time.Millisecond // "50 to 100% of the class's give-up time", which is 1 s
)

// lateAnswer is how long after its time a request may still get its final answer: half a second, and the 50 ms by which every
// limit is longer on sockets.
const lateAnswer = 550 * time.Millisecond

// ordinaryAnswer answers as a sound backend does: it takes the work of the class.
func ordinaryAnswer(_ int, command []string) reply {
	delay := 38 * time.Millisecond
	if command[0] == "Q.DO" {
		delay = 94 * time.Millisecond
	}
	return reply{delay: delay, text: served("value of " + command[2])}
}

// runCrowd sends requests of usual clients to one ingress. With the trouble, many silent clients have connected just before.
func runCrowd(rec *record, trouble bool) (*verdict, error) {
	w, err := newWorld(rec, deployment{ingresses: 2, backends: 8, memoryMB: 192, sockets: crowdSockets, answer: ordinaryAnswer})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(2500 * time.Millisecond)
	address := w.nodes[0].listen
	if trouble {
		if err := connectSilent(rec, address); err != nil {
			return nil, err
		}
	}
	var requests []*request
	var conns []*clientConn
	for i := range crowdRequests {
		c, err := dialClient(address, fmt.Sprintf("u%d", i), rec)
		if err != nil {
			return nil, err
		}
		r := newRequest("unit-status", "full-cover", crowdWait)
		c.send(r, r.encode(uint64(0xb4d65521+i), 2, ""))
		requests, conns = append(requests, r), append(conns, c)
		time.Sleep(crowdInterval)
	}
	time.Sleep(8 * time.Second)
	result := &verdict{}
	for i, r := range requests {
		judgeLate(result, w, conns[i], r)
	}
	return result, w.checkTimes()
}

// judgeLate adds a break if the request has got no final answer in time, unless its connection was shut unread.
func judgeLate(result *verdict, w *world, c *clientConn, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := r.sentAt.Add(r.wait + lateAnswer)
	ran := ""
	for i, server := range w.servers {
		for _, at := range server.runsOf(r.id) {
			ran += fmt.Sprintf(", run by backend %d after %d ms", i, at.Sub(r.sentAt).Milliseconds())
		}
	}
	switch {
	case r.answer != "" && r.answeredAt.After(limit):
		result.addf("%s d=%d was answered %s after %d ms%s", r.id, r.wait.Milliseconds(), r.answer,
			r.answeredAt.Sub(r.sentAt).Milliseconds(), ran)
	case r.answer == "" && c.endErr == nil:
		result.addf("%s d=%d has no answer%s", r.id, r.wait.Milliseconds(), ran)
	case r.answer == "" && ran == "":
		w.record.printf("%s: the new connection was shut unread, which is allowed", r.id)
	case r.answer == "":
		result.addf("%s d=%d: its connection was ended without an answer%s", r.id, r.wait.Milliseconds(), ran)
	}
}

// connectSilent connects the clients that say nothing. They read, and close some time after the ingress has ended their connections.
func connectSilent(rec *record, address string) error {
	connected := make(chan error, crowdSilent)
	for range crowdSilent {
		go func() {
			conn, err := net.DialTimeout("tcp", address, 3*time.Second)
			connected <- err
			if err != nil {
				return
			}
			io.Copy(io.Discard, conn)
			time.Sleep(crowdGoodbye)
			conn.Close()
		}()
	}
	failed := 0
	for range crowdSilent {
		if err := <-connected; err != nil {
			failed++
		}
	}
	rec.printf("%d silent clients have connected, %d could not", crowdSilent-failed, failed)
	if failed > 0 {
		return fmt.Errorf("%w: %d silent clients could not connect", errCannotRun, failed)
	}
	return nil
}
