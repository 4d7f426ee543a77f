package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

// The load of the case "once", and its disruption.
const (
	onceMemoryMB    = 32  // "32 to 192 MB"
	onceRate        = 560 // requests a second at one ingress: "up to 140 requests a second", "up to four times that many"
	onceConnections = 28
	onceKnown       = 400                    // customers who come again
	onceNew         = 0.95                   // of the requests are of new customers: "many customers come only once"
	onceTime        = 113 * time.Second      // of the load
	onceMargin      = 0.95                   // of the requests have to have been sent for the case to have run
	onceCheck       = 100 * time.Millisecond // between two looks at the memory
)

// addOpenPlan adds a plan that limits the attempts out at once and has no rate ("0 means no such quota").
func addOpenPlan(settings map[string]any) {
	settings["contracts"] = append(settings["contracts"].([]any), map[string]any{"name": "open", "price": 1.0, "refill": 0.0,
		"burst": 0.0, "excessWorth": 0.0, "excessCost": 1.2, "capDepth": 0.0, "concurrency": 1, "hardRate": 0.0, "tolerance": 0.0})
}

// runOnce sends lookups. With the trouble, most are of customers of their own. The case plays the platform, which kills an ingress over
// its memory limit.
func runOnce(rec *record, trouble bool) (*verdict, error) {
	w, err := newWorld(rec, deployment{ingresses: 2, backends: 12, memoryMB: onceMemoryMB, sockets: 512, change: addOpenPlan,
		answer: ordinaryAnswer})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	result := &verdict{}
	stop := time.Now().Add(onceTime)
	sent := make(chan int, 1)
	go func() { sent <- sendOnceLoad(w, trouble, stop) }()
	for noted := time.Now(); time.Now().Before(stop); time.Sleep(onceCheck) {
		for _, node := range w.nodes {
			own := memoryOf(node)
			if node.index == 0 && time.Since(noted) > 5*time.Second {
				noted = time.Now()
				rec.printf("ingress 0 has %d KB of its own, without files", own)
			}
			switch {
			case !node.alive():
				return nil, w.checkAlive()
			case own > onceMemoryMB<<10:
				node.command.Process.Kill()
				<-node.exited
				result.addf("ingress %d was killed %.0f s after its start: %d KB of its own memory, without files, over its limit of %d MB",
					node.index, time.Since(rec.start).Seconds(), own, onceMemoryMB)
			default:
				continue
			}
			return result, nil
		}
	}
	if n := <-sent; float64(n) < onceMargin*onceRate*onceTime.Seconds() {
		return nil, fmt.Errorf("%w: only %d requests were sent", errCannotRun, n)
	}
	return result, nil
}

// memoryOf returns the memory of a process without that of files, in KB.
func memoryOf(node *ingress) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.command.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n
		}
	}
	return 0
}

// sendOnceLoad sends requests to the first ingress until a time or until it has ended, and returns their number.
func sendOnceLoad(w *world, trouble bool, stop time.Time) int {
	conns := make([]*clientConn, onceConnections)
	start, node := time.Now(), w.nodes[0]
	for n := 0; ; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / onceRate)))
		if time.Now().After(stop) || !node.alive() {
			return n
		}
		i := n % onceConnections
		if conns[i] == nil || conns[i].hasEnded() {
			var err error
			if conns[i], err = dialClient(node.listen, fmt.Sprintf("f%d", i), w.record); err != nil {
				conns[i] = nil
				continue
			}
		}
		customer := uint64(0x10000 + n)
		if !trouble || rand.Float64() >= onceNew {
			customer = uint64(0x10000 + rand.IntN(onceKnown))
		}
		r := newRequest("unit-status", "open", time.Second)
		conns[i].send(r, r.encode(customer, 2, ""))
	}
}
