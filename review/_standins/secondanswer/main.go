// Command secondanswer plays backends whose good answers are followed, some milliseconds later, by a second one that never ends.
// It exits with 1 if a client got a value that was made for another request, or if a callout ran twice.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"lemontack/review/_standins/rig"
)

const (
	fleet       = 2
	backends    = 8
	callouts    = 0.48 // share of callouts
	customers   = 400
	valueLength = 60
	minRequests = 5000                  // a run with fewer does not count
	minSeconds  = 50                    // second answers; a run with fewer does not count
	restAfter   = 60 * time.Millisecond // time from the first piece of a second answer to its last one
	// unfinishedRefusal is the beginning of an answer to a request that is already over.
	unfinishedRefusal = "-BUSY inflight=7,queue=2,util=0.6"
	playTime          = 40 * time.Second
	quietTime         = 5 * time.Second // time before the second answers
	lastAnswers       = 4 * time.Second // time for the answers to the last requests
)

var (
	rate  = flag.Float64("rate", 140, "requests a second to each ingress")
	conns = flag.Int("conns", 20, "connections of clients to each ingress")
	share = flag.Float64("share", 0.05, "share of the answers that a second one follows")
	kind  = flag.String("kind", "copy", "the second answer: copy without its end, busy for a refusal without its end, pieces for a copy whose end comes later")
	after = flag.Duration("after", 5*time.Millisecond, "time from the answer to the second one")
)

func main() {
	flag.Parse()
	rig.Main(run)
}

func run() (int, error) {
	record, err := rig.NewRecord("record.txt")
	if err != nil {
		return 0, err
	}
	behave := func(_ *rig.Backend, id, class string) rig.Answer {
		answer := rig.Answer{Delay: between(28, 48), Text: rig.Value(id, valueLength)}
		if class != "unit-status" {
			answer.Delay = between(68, 120)
		}
		if rig.Trouble() && time.Since(record.Start) > quietTime && rand.Float64() < *share {
			answer.MoreAfter, answer.More = *after, rig.Unfinished(id, valueLength)
			switch *kind {
			case "busy":
				answer.More = unfinishedRefusal
			case "pieces":
				answer.RestAfter, answer.Rest = restAfter, rig.LastElement
			}
		}
		return answer
	}
	cluster, err := rig.NewCluster(os.Getenv("ROOT"), backends, fleet, 64, 512, behave, nil)
	if err != nil {
		return 0, err
	}
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Start = time.Now()
	record.Printf("%d ingresses, %d backends; a second answer after %v behind a share of %v of the answers", fleet, backends, *after,
		*share)
	requests := play(cluster, record.Start.Add(playTime))
	if err := cluster.Sound(record, len(requests), minRequests); err != nil {
		return 0, err
	}
	return judge(record, requests, cluster.Ran())
}

func between(low, high int) time.Duration {
	return time.Duration(low+rand.IntN(high-low)) * time.Millisecond
}

// play sends the requests of all clients and returns them.
func play(cluster *rig.Cluster, stop time.Time) (requests []*rig.Request) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range cluster.Ingresses {
		for range *conns {
			clients.Go(func() {
				sent := playClient(cluster.Ingresses[i].Address, stop)
				mu.Lock()
				requests = append(requests, sent...)
				mu.Unlock()
			})
		}
	}
	clients.Wait()
	return requests
}

// playClient sends requests on one connection, and on a new one when that has ended.
func playClient(address string, stop time.Time) (requests []*rig.Request) {
	var conn *rig.Client
	var err error
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(*conns) / *rate * float64(time.Second)))
		if conn == nil {
			if conn, err = rig.Dial(address); err != nil {
				conn = nil
				continue
			}
		}
		order := rig.Order{Class: "unit-status", Plan: "full-cover", Customer: rand.IntN(customers), Units: 1, Spread: fleet,
			Timeout: time.Second}
		if rand.Float64() < callouts {
			order.Class, order.Timeout = "book-callout", 2500*time.Millisecond
		}
		sent, err := conn.Send(order)
		requests = append(requests, sent...)
		if err != nil {
			conn = nil
		}
	}
	if conn != nil {
		time.Sleep(lastAnswers)
		conn.Close()
	}
	return requests
}

// judge writes the record and decides.
func judge(record *rig.Record, requests []*rig.Request, ran map[string][]rig.Attempt) (int, error) {
	record.Requests(requests, ran)
	counts := map[string]int{}
	foreign, seconds, twice := 0, 0, 0
	for _, r := range requests {
		kind := r.Class + ": " + r.Kind
		if r.Kind == "value" && !r.IsOwnValue() {
			kind += " of another request"
			foreign++
		}
		for _, a := range ran[r.ID] {
			if !a.MoreAt.IsZero() {
				seconds++
			}
		}
		if r.Class == "book-callout" && len(ran[r.ID]) > 1 {
			twice++
		}
		counts[kind]++
	}
	for name, count := range counts {
		record.Printf("%6d %s", count, name)
		fmt.Printf("%6d %s\n", count, name)
	}
	result := fmt.Sprintf("%d of %d requests got the value of another request, %d callouts ran twice; %d second answers", foreign, len(requests), twice,
		seconds)
	record.Printf("%s", result)
	fmt.Println(result)
	switch {
	case rig.Trouble() && seconds < minSeconds:
		return 0, fmt.Errorf("%d second answers, want %d at least", seconds, minSeconds)
	case foreign > 0 || twice > 0:
		return rig.Broken, nil
	}
	return rig.Held, nil
}
