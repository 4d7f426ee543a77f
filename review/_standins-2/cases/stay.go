package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// The load of the case "stay", and its disruption.
const (
	stayMemoryMB  = 32                     // "32 to 192 MB"
	stayBad       = 100                    // clients that stop in the middle of a request and stay
	stayLongBytes = 60 << 10               // "a value holds at most 64 KiB"
	stayBursts    = 10                     // of requests that a usual client sends at once, each on a connection of its own
	stayInterval  = 150 * time.Millisecond // between them
	stayCrossing  = 50 * time.Millisecond  // a request that was sent so shortly before the end may have crossed it
)

// runStay sends bursts of requests of usual clients, one of each burst long. With the trouble, other clients have sent two thirds of a
// long request just before, and stay.
func runStay(rec *record, trouble bool) (*verdict, error) {
	w, err := newWorld(rec, deployment{ingresses: 2, backends: 10, memoryMB: stayMemoryMB, sockets: 512, answer: ordinaryAnswer})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	address := w.nodes[0].listen
	long := strings.Repeat("unit history ", stayLongBytes/len("unit history "))
	if trouble {
		for i := range stayBad {
			if err := stayInRequest(rec, address, i, long); err != nil {
				return nil, err
			}
		}
		time.Sleep(100 * time.Millisecond)
		rec.printf("%d clients have stopped in the middle of a request", stayBad)
	}
	var conns []*clientConn
	for i := range stayBursts {
		c, err := dialClient(address, fmt.Sprintf("u%d", i), rec)
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		sendBurst(c, i, long)
		time.Sleep(stayInterval)
	}
	time.Sleep(4 * time.Second)
	return judgeUnanswered(w, conns, stayCrossing), w.checkTimes()
}

// sendBurst sends six requests at once: a callout, a long one, and four questions.
func sendBurst(c *clientConn, burst int, long string) {
	for n := range 6 {
		r, body := newRequest("unit-status", "full-cover", time.Second), ""
		if n < 2 {
			r, body = newRequest("book-callout", "full-cover", 2500*time.Millisecond), "unit 7"
		}
		if n == 1 {
			body = long
		}
		c.send(r, r.encode(uint64(0xb4d65521+10*burst+n), 2, body))
	}
}

// stayInRequest connects a client that stops in the middle of a request, and stays until its connection is ended.
func stayInRequest(rec *record, address string, number int, long string) error {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return err
	}
	text := newRequest("book-callout", "basic", 2500*time.Millisecond).encode(uint64(0x1000+number), 2, long)
	if _, err := io.WriteString(conn, text[:len(text)*2/3]); err != nil {
		rec.printf("client that stops: %v", err)
	}
	go func() {
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return nil
}

// judgeUnanswered finds the requests that the ingress had taken and never answered. A request that was sent at most crossing before
// the end of its connection may have crossed it.
func judgeUnanswered(w *world, conns []*clientConn, crossing time.Duration) *verdict {
	result := &verdict{}
	for _, c := range conns {
		c.mu.Lock()
		for _, r := range c.open {
			ran := 0
			for _, server := range w.servers {
				ran += len(server.runsOf(r.id))
			}
			switch {
			case c.endErr == nil:
				result.addf("%s %s on %s never got an answer, attempts at backends: %d", r.class, r.id, c.name, ran)
			case c.endedAt.Sub(r.sentAt) > crossing:
				result.addf("%s %s on %s: the ingress ended the connection %d ms after the request, without its answer; attempts at backends: %d",
					r.class, r.id, c.name, c.endedAt.Sub(r.sentAt).Milliseconds(), ran)
			}
		}
		c.mu.Unlock()
	}
	return result
}
