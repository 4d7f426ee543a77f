// Command heldanswers plays clients that send many commands at once and read all answers as they come, while some backends
// hang: the answers to later requests wait on the connection behind that to an earlier one. It exits with 1 if an ingress ended
// a connection without an answer to requests that it had sent on.
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
	fleet    = 2
	backends = 8

	hangTime    = 4 * time.Second
	hangEvery   = 10 * time.Second
	playTime    = 56 * time.Second
	lastAnswers = 5 * time.Second // time for the answers to the last requests
	shortValue  = 200
	callouts    = 0.48 // share of callouts
	customers   = 400
	minRequests = 10000 // a run with fewer does not count
)

var (
	memory  = flag.Int("memory", 32, "memory limit of an ingress in MB")
	rate    = flag.Float64("rate", 280, "requests a second to each ingress")
	hanging = flag.Int("hanging", 4, "backends that hang at a time")
	batch   = flag.Int("batch", 40, "commands that a client sends at once")
	long    = flag.Int("long", 60<<10, "length of a long value")
	share   = flag.Float64("share", 0.8, "share of the lookups that have a long value")
	sockets = flag.Int("sockets", 512, "descriptors of an ingress")
)

func main() {
	flag.Parse()
	rig.Main(run)
}

// world is the state of the backends.
type world struct {
	mu      sync.Mutex
	hanging map[int]bool
}

func (w *world) hangs(backend int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hanging[backend]
}

// behave answers as a sound backend does, or not at all while the backend hangs.
func (w *world) behave(b *rig.Backend, id, class string) rig.Answer {
	if w.hangs(b.Index) {
		return rig.Answer{}
	}
	switch {
	case class != "unit-status":
		return rig.Answer{Delay: between(68, 120), Text: rig.Value(id, shortValue)}
	case rand.Float64() < *share:
		return rig.Answer{Delay: between(28, 48), Text: rig.Value(id, *long)}
	}
	return rig.Answer{Delay: between(28, 48), Text: rig.Value(id, shortValue)}
}

// hang lets some of the backends hang, again and again.
func (w *world) hang(record *rig.Record) {
	for at := record.Start.Add(hangEvery / 2); ; at = at.Add(hangEvery) {
		time.Sleep(time.Until(at))
		chosen := rand.Perm(backends)[:*hanging]
		record.Printf("backends %v of %d hang for %v", chosen, backends, hangTime)
		w.mu.Lock()
		w.hanging = map[int]bool{}
		for _, b := range chosen {
			w.hanging[b] = true
		}
		w.mu.Unlock()
		time.Sleep(hangTime)
		w.mu.Lock()
		w.hanging = nil
		w.mu.Unlock()
		record.Printf("they serve again")
	}
}

func between(low, high int) time.Duration {
	return time.Duration(low+rand.IntN(high-low)) * time.Millisecond
}

func run() (int, error) {
	record, err := rig.NewRecord("record.txt")
	if err != nil {
		return 0, err
	}
	w := &world{}
	cluster, err := rig.NewCluster(os.Getenv("ROOT"), backends, fleet, *memory, *sockets, w.behave, nil)
	if err != nil {
		return 0, err
	}
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Start = time.Now()
	record.Printf("%d ingresses with %d MB, %d backends, %d commands at once", fleet, *memory, backends, *batch)
	if rig.Trouble() {
		go w.hang(record)
	}
	requests := play(cluster, record.Start.Add(playTime))
	for i, in := range cluster.Ingresses {
		record.Printf("ingress %d: peak memory %d KB", i, in.PeakMemory())
	}
	if err := cluster.Sound(record, len(requests), minRequests); err != nil {
		return 0, err
	}
	return judge(record, requests, cluster.Ran()), nil
}

// pool holds the connections of the clients of one ingress. A client sends many commands at once on a connection that rests, and
// opens a new one if all are busy.
type pool struct {
	address string

	mu       sync.Mutex
	busy     int // connections with open requests
	resting  []*rig.Client
	requests []*rig.Request
}

// play sends the requests of all clients and returns them.
func play(cluster *rig.Cluster, stop time.Time) (requests []*rig.Request) {
	var clients sync.WaitGroup
	var pools []*pool
	for _, in := range cluster.Ingresses {
		p := &pool{address: in.Address}
		pools = append(pools, p)
		clients.Go(func() { p.play(stop) })
	}
	clients.Wait()
	for _, p := range pools {
		requests = append(requests, p.requests...)
	}
	return requests
}

func (p *pool) play(stop time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(*batch) / *rate * float64(time.Second)))
		open.Go(p.send)
	}
	open.Wait()
}

// send sends many commands at once and waits for the answers.
func (p *pool) send() {
	conn := p.take()
	if conn == nil {
		return
	}
	defer p.release(conn)
	var orders []rig.Order
	for range *batch {
		order := rig.Order{Class: "unit-status", Plan: "full-cover", Customer: rand.IntN(customers), Spread: fleet,
			Timeout: time.Second}
		if rand.Float64() < callouts {
			order.Class, order.Timeout = "book-callout", 2500*time.Millisecond
		}
		orders = append(orders, order)
	}
	sent, _ := conn.Send(orders...)
	p.mu.Lock()
	p.requests = append(p.requests, sent...)
	p.mu.Unlock()
	for end := time.Now().Add(lastAnswers); conn.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// take returns a resting connection, or a new one if there is none. It returns nil if clients hold a third of the ingress's
// descriptors, or the ingress takes no connection.
func (p *pool) take() *rig.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy >= *sockets/3 {
		return nil
	}
	p.busy++
	for len(p.resting) > 0 {
		conn := p.resting[len(p.resting)-1]
		p.resting = p.resting[:len(p.resting)-1]
		select {
		case <-conn.Done():
		default:
			return conn
		}
	}
	conn, err := rig.Dial(p.address)
	if err != nil {
		p.busy--
		return nil
	}
	return conn
}

// release keeps a connection whose requests are all answered, and closes any other.
func (p *pool) release(conn *rig.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	if conn.Pending() > 0 {
		conn.Close()
		return
	}
	p.resting = append(p.resting, conn)
}

// judge writes the record and decides. A request counts as lost only if it has reached a backend, so that the ingress has surely
// read it, and the ingress ended the connection with no answer to it. One that gets no answer at all is lost as well.
func judge(record *rig.Record, requests []*rig.Request, ran map[string][]rig.Attempt) int {
	record.Requests(requests, ran)
	counts := map[string]int{}
	lost, lostWithValue := 0, 0
	for _, r := range requests {
		attempts := ran[r.ID]
		kind := r.Kind
		switch {
		case kind == "" && len(attempts) > 0:
			kind = "no answer though it was sent on"
			lost++
			if rig.Answered(attempts) {
				lostWithValue++
			}
		case kind == "":
			kind = "no answer, not sent on"
		}
		counts[r.Class+": "+kind]++
	}
	for name, count := range counts {
		record.Printf("%6d %s", count, name)
		fmt.Printf("%6d %s\n", count, name)
	}
	result := fmt.Sprintf("%d of %d requests were sent on and never answered; backends had answered %d of them", lost, len(requests),
		lostWithValue)
	record.Printf("%s", result)
	fmt.Println(result)
	if lost > 0 {
		return rig.Broken
	}
	return rig.Held
}
