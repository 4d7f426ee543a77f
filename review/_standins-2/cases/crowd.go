package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
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

func runCrowd(rec *record, trouble bool) (*verdict, error) {
	silent, stay := 500, os.Getenv("CLOSE") != "1"
	if n, err := strconv.Atoi(os.Getenv("SILENT")); err == nil {
		silent = n
	}
	w, err := newWorld(rec, deployment{ingresses: 2, backends: 8, memoryMB: 192, sockets: 256, answer: ordinaryAnswer})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	result := &verdict{}
	time.Sleep(2500 * time.Millisecond)
	address := w.nodes[0].listen
	if trouble {
		var waiting sync.WaitGroup
		for range silent {
			waiting.Add(1)
			go func() {
				conn, err := net.DialTimeout("tcp", address, 3*time.Second)
				waiting.Done()
				if err != nil {
					rec.printf("silent client: %v", err)
					return
				}
				io.Copy(io.Discard, conn)
				if stay {
					time.Sleep(10 * time.Second)
				}
				conn.Close()
			}()
		}
		waiting.Wait()
		rec.printf("%d silent clients have connected", silent)
	}
	var conns []*clientConn
	for i := range 20 {
		c, err := dialClient(address, fmt.Sprintf("u%d", i), rec)
		if err != nil {
			rec.printf("client u%d: %v", i, err)
			continue
		}
		class, wait := "unit-status", 700*time.Millisecond
		r := newRequest(class, "full-cover", wait)
		c.send(r, r.encode(uint64(0xb4d65521+i), 2, "unit 7"))
		conns = append(conns, c)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	for _, c := range conns {
		c.mu.Lock()
		for _, r := range c.done {
			if took := r.answeredAt.Sub(r.sentAt); took > r.wait+lateAnswer {
				result.addf("%s of client %s was answered %q after %d ms, d=%d", r.id, c.name, r.answer, took.Milliseconds(), r.wait.Milliseconds())
			}
		}
		c.mu.Unlock()
	}
	return result, nil
}
