package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The load of the case "order", and its disruption.
const (
	orderBackends  = 10
	orderHanging   = 5                      // of the backends: "a quarter to a half of the backends hang"
	orderBurst     = 60                     // requests that a client sends at once
	orderRate      = 140                    // requests a second at the ingress
	orderLongShare = 50                     // of 100 answers are long
	orderLongBytes = 60 << 10               // a value holds at most 64 KiB
	orderHangAt    = 3 * time.Second        // from the first request
	orderLoadEnds  = 9 * time.Second        // from the first request
	orderMemoryMB  = 32                     // "32 to 192 MB"
	orderCrossing  = 250 * time.Millisecond // a request that was sent so shortly before the end may have crossed it
)

// runOrder sends bursts of requests on connections that read all the time. With the trouble, some backends hang, so that the answers
// behind a callout that hangs have to wait for its own. All requests have to get their final answers.
func runOrder(rec *record, trouble bool) (*verdict, error) {
	var hanging atomic.Bool
	long := strings.Repeat("unit history ", orderLongBytes/len("unit history "))
	answer := func(index int, command []string) reply {
		what := ordinaryAnswer(index, command)
		what.never = hanging.Load() && index < orderHanging
		if n, _ := strconv.ParseUint(command[2], 16, 64); n%100 < orderLongShare {
			what.text = served(long)
		}
		return what
	}
	w, err := newWorld(rec, deployment{ingresses: 2, backends: orderBackends, memoryMB: orderMemoryMB, sockets: 512, answer: answer})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	conns, err := sendOrderLoad(w, trouble, &hanging)
	if err != nil {
		return nil, err
	}
	time.Sleep(3500 * time.Millisecond) // longer than the longest time of a request and half a second
	return judgeUnanswered(w, conns, orderCrossing), nil
}

// sendOrderLoad sends bursts of requests, each on a connection that isn't busy, and opens a new one where all are.
func sendOrderLoad(w *world, trouble bool, hanging *atomic.Bool) (conns []*clientConn, err error) {
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	for n := 0; time.Since(start) < orderLoadEnds; {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / orderRate)))
		if trouble && !hanging.Load() && time.Since(start) > orderHangAt {
			hanging.Store(true)
			w.record.printf("%d of %d backends hang from now on", orderHanging, orderBackends)
		}
		i := slices.IndexFunc(conns, (*clientConn).isFree)
		if i < 0 {
			c, err := dialClient(w.nodes[0].listen, fmt.Sprintf("f%d", len(conns)), w.record)
			if err != nil {
				return nil, err
			}
			i, conns = len(conns), append(conns, c)
		}
		for range orderBurst {
			r := newRequest("unit-status", "full-cover", time.Second)
			if rng.Float64() < 0.48 {
				r = newRequest("book-callout", "full-cover", 2500*time.Millisecond)
			}
			conns[i].send(r, r.encode(uint64(0xb4d65521+n%40), 2, "unit 7"))
			n++
		}
	}
	return conns, nil
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
