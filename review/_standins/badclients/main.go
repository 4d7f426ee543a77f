// Command badclients plays usual clients beside clients that send hundreds of unknown commands at once, and the same again as
// soon as they are turned away. It exits with 1 if a request of a usual client got its answer more than half a second after its
// time.
package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"lemontack/review/_standins/rig"
)

const (
	fleet       = 2
	backends    = 8
	callouts    = 0.48                   // share of callouts
	customers   = 400                    // customers of the usual clients
	playTime    = 40 * time.Second       // time for which requests are sent
	quietTime   = 5 * time.Second        // time before the bad clients come
	grace       = 550 * time.Millisecond // half a second, and the 50 ms by which every limit is longer on sockets
	lastWait    = 8 * time.Second        // time that a usual client waits for an answer
	minRequests = 2000                   // a run with fewer does not count
	resends     = 1                      // times that a request is sent again after it has crossed the end of a connection
)

var (
	sockets  = flag.Int("sockets", 256, "descriptors of an ingress")
	memory   = flag.Int("memory", 64, "memory limit of an ingress in MB")
	rate     = flag.Float64("rate", 140, "requests a second to each ingress")
	bad      = flag.Int("bad", 200, "bad clients at each ingress")
	commands = flag.Int("commands", 300, "commands that a bad client sends at once")
)

func main() {
	flag.Parse()
	rig.Main(run)
}

// behave answers as a sound backend does.
func behave(_ *rig.Backend, id, class string) rig.Answer {
	if class == "unit-status" {
		return rig.Answer{Delay: time.Duration(28+rand.IntN(20)) * time.Millisecond, Text: rig.Value(id, 200)}
	}
	return rig.Answer{Delay: time.Duration(68+rand.IntN(52)) * time.Millisecond, Text: rig.Value(id, 200)}
}

func run() (int, error) {
	record, err := rig.NewRecord("record.txt")
	if err != nil {
		return 0, err
	}
	cluster, err := rig.NewCluster(os.Getenv("ROOT"), backends, fleet, *memory, *sockets, behave, nil)
	if err != nil {
		return 0, err
	}
	if err := cluster.Start(); err != nil {
		return 0, err
	}
	record.Start = time.Now()
	record.Printf("%d ingresses with %d descriptors, %d backends", fleet, *sockets, backends)
	stop := record.Start.Add(playTime)
	if rig.Trouble() {
		time.AfterFunc(quietTime, func() {
			record.Printf("%d bad clients come to each ingress", *bad)
			for _, in := range cluster.Ingresses {
				for range *bad {
					go playBad(in.Address, stop)
				}
			}
		})
	}
	var usual sync.WaitGroup
	pools := make([]*pool, fleet)
	for i, in := range cluster.Ingresses {
		pools[i] = &pool{address: in.Address}
		usual.Go(func() { pools[i].play(stop) })
	}
	usual.Wait()
	var requests []*rig.Request
	for _, p := range pools {
		requests = append(requests, p.requests...)
		record.Printf("%d requests were not sent, for want of a connection", p.unsent)
	}
	if err := cluster.Sound(record, len(requests), minRequests); err != nil {
		return 0, err
	}
	return judge(record, requests, cluster.Ran()), nil
}

// playBad sends hundreds of commands at once and reads what is sent to it. When the ingress has ended the connection, it does the
// same again.
func playBad(address string, stop time.Time) {
	text := strings.Repeat("*1\r\n$5\r\nHELLO\r\n", *commands)
	for time.Now().Before(stop) {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go io.WriteString(nc, text) // ends with the connection
		nc.SetReadDeadline(stop)
		io.Copy(io.Discard, nc)
		nc.Close()
	}
}

// pool holds the connections of the usual clients of one ingress. One request at a time is open on each; a new connection is
// opened if all are busy.
type pool struct {
	address string

	mu       sync.Mutex
	busy     int // requests that are open, each on a connection of its own
	unsent   int // requests that were not sent, since the usual clients had as many connections as they may have
	resting  []*rig.Client
	requests []*rig.Request
}

// play sends requests until a time, and waits for their answers.
func (p *pool) play(stop time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
		open.Go(p.request)
	}
	open.Wait()
}

// request sends one request and waits for its answer. If it crosses the end of a resting connection, it is sent one more time on
// a new one, as a request of its own in the record.
func (p *pool) request() {
	order := rig.Order{Class: "unit-status", Plan: "full-cover", Customer: rand.IntN(customers), Units: 1, Spread: fleet,
		Timeout: time.Duration(500+rand.IntN(500)) * time.Millisecond}
	if rand.Float64() < callouts {
		order.Class, order.Timeout = "book-callout", time.Duration(1250+rand.IntN(1250))*time.Millisecond
	}
	if !p.enter() {
		return
	}
	defer p.leave()
	for range 1 + resends {
		conn := p.take()
		if conn == nil {
			var err error
			if conn, err = rig.Dial(p.address); err != nil {
				return // nothing was sent
			}
		}
		sent, err := conn.Send(order)
		p.mu.Lock()
		p.requests = append(p.requests, sent...)
		p.mu.Unlock()
		if err != nil {
			continue
		}
		for end := time.Now().Add(lastWait); conn.Pending() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if conn.Pending() > 0 {
			conn.Close()
			return
		}
		select {
		case <-conn.Done():
			if sent[0].Answered() {
				return
			}
		default:
			p.rest(conn)
			return
		}
	}
}

// enter counts an open request. It returns false if the usual clients already hold a third of the ingress's descriptors.
func (p *pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy >= *sockets/3 {
		p.unsent++
		return false
	}
	p.busy++
	return true
}

func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
}

// take returns a resting connection that the ingress has not ended, or nil.
func (p *pool) take() *rig.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.resting) > 0 {
		conn := p.resting[len(p.resting)-1]
		p.resting = p.resting[:len(p.resting)-1]
		select {
		case <-conn.Done():
		default:
			return conn
		}
	}
	return nil
}

func (p *pool) rest(conn *rig.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resting = append(p.resting, conn)
}

// judge writes the record and decides. Only one request was open on a connection at a time, so no answer had to wait for another.
// A request whose connection was ended without an answer does not count here.
func judge(record *rig.Record, requests []*rig.Request, ran map[string][]rig.Attempt) int {
	record.Requests(requests, ran)
	counts := map[string]int{}
	lost, served := 0, 0
	latest := time.Duration(0)
	for _, r := range requests {
		kind := r.Kind
		if kind == "" {
			kind = "connection ended, no answer"
		}
		switch late := r.At.Sub(r.SentAt.Add(r.Timeout)); {
		case r.Kind == "" && r.Ended.IsZero():
			kind = "no answer at all"
			lost++
		case r.Kind != "" && late > grace:
			kind += ", lost"
			lost++
			latest = max(latest, late)
			if r.Kind == "value" {
				served++
			}
		case r.Kind != "" && late > 0:
			kind += ", late"
		}
		counts[kind]++
	}
	for name, count := range counts {
		record.Printf("%6d %s", count, name)
		fmt.Printf("%6d %s\n", count, name)
	}
	result := fmt.Sprintf("%d of %d requests got no answer within %v after their time (%d a value), the latest %v after it", lost,
		len(requests), grace, served, latest.Round(time.Millisecond))
	record.Printf("%s", result)
	fmt.Println(result)
	if lost > 0 {
		return rig.Broken
	}
	return rig.Held
}
