// Command newcustomers plays customers who come only once, on a plan that limits attempts and has no rate, and the part of the
// platform that kills an ingress over its memory limit. It exits with 1 if an ingress was killed or ended.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/review/_standins/rig"
)

const (
	fleet         = 4
	backends      = 12
	planName      = "open"
	playTime      = 109 * time.Second
	checkInterval = 100 * time.Millisecond
	noteInterval  = 5 * time.Second
	knownOnes     = 400 // customers of a run without the disruption
	lookupTimeout = time.Second
)

var (
	memory = flag.Int("memory", 32, "memory limit of an ingress in MB")
	busy   = flag.Float64("busy", 560, "requests a second to the first ingress")
	others = flag.Float64("others", 40, "requests a second to each other ingress")
	conns  = flag.Int("conns", 24, "connections of clients to each ingress")
)

func main() {
	flag.Parse()
	rig.Main(run)
}

// behave answers as a sound backend does.
func behave(_ *rig.Backend, id, _ string) rig.Answer {
	return rig.Answer{Delay: time.Duration(28+rand.IntN(20)) * time.Millisecond, Text: rig.Value(id, 100)}
}

// addPlan adds a plan whose customers may have two attempts out at once, with no limit on the rate.
func addPlan(settings rig.Object) {
	settings["contracts"] = append(settings["contracts"].([]rig.Object), rig.Object{"name": planName, "price": 1.0, "refill": 0.0,
		"burst": 0.0, "excessWorth": 0.0, "excessCost": 1.2, "capDepth": 0.0, "concurrency": 2, "hardRate": 0.0, "tolerance": 0.0})
}

func run() (int, error) {
	record, err := rig.NewRecord("record.txt")
	if err != nil {
		return 0, err
	}
	cluster, err := rig.NewCluster(os.Getenv("ROOT"), backends, fleet, *memory, 512, behave, addPlan)
	if err != nil {
		return 0, err
	}
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Start = time.Now()
	record.Printf("%d ingresses with %d MB, %d backends", fleet, *memory, backends)
	var customers atomic.Int64
	ended := make(chan struct{}) // closed once an ingress has ended
	watched := make(chan string, 1)
	go func() { watched <- watch(cluster, record, &customers, ended) }()
	requests := play(cluster, record.Start.Add(playTime), &customers, ended)
	fault := <-watched
	record.Requests(requests, cluster.Ran())
	if fault != "" {
		record.Printf("%s", fault)
		fmt.Println(fault)
		return rig.Broken, nil
	}
	fmt.Printf("%d customers, no ingress was killed or ended\n", customers.Load())
	return rig.Held, nil
}

// watch is the platform: it kills the first ingress whose memory of its own, without that of files, is over the limit. It
// returns what has happened, or nothing if all ingresses were within the limit to the end.
func watch(cluster *rig.Cluster, record *rig.Record, customers *atomic.Int64, ended chan struct{}) string {
	defer close(ended)
	noteAt := record.Start
	for time.Since(record.Start) < playTime {
		time.Sleep(checkInterval)
		for i, in := range cluster.Ingresses {
			select {
			case <-in.Exited():
				return fmt.Sprintf("ingress %d ended by itself: %v", i, in.Err)
			default:
			}
			own, all := in.Memory()
			if i == 0 && time.Now().After(noteAt) {
				noteAt = noteAt.Add(noteInterval)
				record.Printf("ingress 0: %d customers so far, %d KB of its own, %d KB with files", customers.Load(), own, all)
			}
			if own > *memory<<10 {
				at := time.Since(record.Start).Seconds()
				in.Kill()
				return fmt.Sprintf("ingress %d was killed after %.1f s and %d customers: %d KB of its own, over its limit of %d MB",
					i, at, customers.Load(), own, *memory)
			}
		}
	}
	return ""
}

// play sends requests until a time, or until an ingress has ended.
func play(cluster *rig.Cluster, stop time.Time, customers *atomic.Int64, ended <-chan struct{}) (requests []*rig.Request) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range cluster.Ingresses {
		rate := *others
		if i == 0 {
			rate = *busy
		}
		for range *conns {
			clients.Go(func() {
				sent := playClient(cluster.Ingresses[i].Address, rate/float64(*conns), stop, customers, ended)
				mu.Lock()
				requests = append(requests, sent...)
				mu.Unlock()
			})
		}
	}
	clients.Wait()
	return requests
}

func playClient(address string, rate float64, stop time.Time, customers *atomic.Int64, ended <-chan struct{}) (requests []*rig.Request) {
	var conn *rig.Client
	var err error
	for time.Now().Before(stop) {
		select {
		case <-ended:
			return requests
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		if conn == nil {
			if conn, err = rig.Dial(address); err != nil {
				conn = nil
				continue
			}
		}
		customer := int(customers.Add(1))
		if !rig.Trouble() {
			customer = rand.IntN(knownOnes)
		}
		sent, err := conn.Send(rig.Order{Class: "unit-status", Plan: planName, Customer: customer, Units: 2, Spread: fleet,
			Timeout: lookupTimeout})
		requests = append(requests, sent...)
		if err != nil && !strings.Contains(err.Error(), "refused") {
			conn = nil
		}
	}
	return requests
}
