package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The deployment, the load and the disruption of the case "window".
const (
	windowServers  = 8
	windowCores    = 2 // of each server
	windowGateways = 2

	windowLoad      = 0.7                     // of what the servers can do
	windowBurst     = 1.5                     // "a burst of half as much again"
	windowBurstAt   = 2 * time.Second         // with and without the disruption
	windowBurstEnds = 4500 * time.Millisecond // the window has ended for what was sent before 3.5 s
	windowEnd       = 8 * time.Second         // the last arrival; all requests have ended 3 s later
	windowRepeats   = time.Second             // "a shorter window for repeats"

	windowHanging = 2                       // of the servers: "a quarter to a half of the backends hang"
	windowHangAt  = 3 * time.Second         // "backends that hang in the middle of their work"
	windowResetAt = 3600 * time.Millisecond // "resets under requests that have begun, also long after"
)

// wireRequest is a request on the simulator's wire.
type wireRequest struct {
	id       int
	gateway  int
	keyed    bool
	arrived  time.Duration
	giveUp   time.Duration
	over     bool
	attempts []*wireAttempt
}

// wireAttempt is an attempt that the adapter sent.
type wireAttempt struct {
	request *wireRequest
	number  int
	server  int
	sentAt  time.Duration
	doneAt  time.Duration // when its work is done; 0 if its server hangs
	ended   bool
}

// wireServer has cores that take attempts in turn.
type wireServer struct {
	address string
	free    []time.Duration // for each core, when it is free
	hangs   bool
}

// wireWorld is a small simulator: it plays batches on the real clock.
type wireWorld struct {
	record  *record
	start   time.Time
	now     time.Duration
	in      io.WriteCloser
	out     *bufio.Reader
	events  []string
	due     []wireDue
	servers []*wireServer
	all     map[int]*wireRequest
	open    []*wireAttempt // attempts that are out
	totals  map[string]float64
	result  *verdict
	rng     *rand.Rand
	sent    int
}

// wireDue is an event that comes at a time.
type wireDue struct {
	at   time.Duration
	line string
}

func runWindow(rec *record, trouble bool) (*verdict, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	sim, err := deployCommand(filepath.Join(root, "deploy/balancer.toml"), "sim")
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", sim)
	command.Dir, command.Stderr = root, os.Stderr
	in, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	started.add(command.Process)
	defer command.Wait()
	defer command.Process.Kill()
	w := &wireWorld{record: rec, start: time.Now(), in: in, out: bufio.NewReaderSize(out, 1<<20), all: map[int]*wireRequest{},
		totals: map[string]float64{}, result: &verdict{}, rng: rand.New(rand.NewPCG(7, 7))}
	if err := w.begin(); err != nil {
		return nil, err
	}
	return w.result, w.play(trouble)
}

// begin starts the gateways.
func (w *wireWorld) begin() error {
	for i := range windowServers {
		w.servers = append(w.servers, &wireServer{address: fmt.Sprintf("127.0.0.1:%d", 8083+i), free: make([]time.Duration, windowCores)})
	}
	for i := range windowGateways {
		settings := map[string]any{}
		if err := json.Unmarshal([]byte(baseSettings), &settings); err != nil {
			return err
		}
		settings["me"], settings["replicasOfMe"] = i, windowGateways
		callout := settings["classes"].([]any)[1].(map[string]any)
		callout["effect"], callout["windowUs"] = "idempotency_key", windowRepeats.Microseconds()
		facts, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		w.events = append(w.events, fmt.Sprintf("BEGIN\ti=%d\tnonce64=%d\tfacts=%s", i, 1000+i, facts),
			fmt.Sprintf("MEMBERSHIP\ti=%d\tform=cached\tgeneration=41\tmembers=%d", i, windowServers))
		for _, server := range w.servers {
			w.events = append(w.events, fmt.Sprintf("M\tbackend=%s\taz=pdx-1\tflavor=std-2c\tblock=0\tlifecycle=on\tscale=1", server.address))
		}
	}
	return nil
}

// play plays batches every 2 ms.
func (w *wireWorld) play(trouble bool) error {
	nextArrival := 100 * time.Millisecond
	hung, reset := false, false
	for w.now < windowEnd+3*time.Second {
		time.Sleep(2 * time.Millisecond)
		w.now = time.Since(w.start)
		for ; nextArrival < min(w.now, windowEnd); nextArrival += w.interval() {
			w.arrive()
		}
		if trouble && !hung && w.now >= windowHangAt {
			hung = true
			w.record.printf("%d of %d servers hang", windowHanging, windowServers)
			w.hang()
		}
		if trouble && !reset && w.now >= windowResetAt {
			reset = true
			w.record.printf("they reset their connections, and serve again")
			w.reset()
		}
		w.finishWork()
		w.takeDue()
		if err := w.exchange(); err != nil {
			return err
		}
	}
	w.record.printf("%d requests, %d attempts", len(w.all), w.sent)
	return nil
}

// interval draws the time to the next arrival. The mean work is that of the classes' shares.
func (w *wireWorld) interval() time.Duration {
	const meanWork = 0.52*0.038 + 0.48*0.094
	rate := windowLoad * windowServers * windowCores / meanWork
	if w.now > windowBurstAt && w.now < windowBurstEnds {
		rate *= windowBurst
	}
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

func (w *wireWorld) arrive() {
	r := &wireRequest{id: len(w.all) + 1, gateway: w.rng.IntN(windowGateways), keyed: w.rng.Float64() < 0.48, arrived: w.now}
	class, wait := "unit-status", time.Second
	if r.keyed {
		class, wait = "book-callout", 2500*time.Millisecond
	}
	r.giveUp = w.now + wait
	w.all[r.id] = r
	plan, customer := w.customer()
	w.record.printf("request %d %s %s to gateway %d", r.id, class, plan, r.gateway)
	w.events = append(w.events, fmt.Sprintf("ARRIVAL\ti=%d\tcall=%d\tqos=%s\tterms=%s\tholder=%016x\tgiveUpAtUs=%d\tsizeUnits=1\twidth=%d\tsetFrom=0",
		r.gateway, r.id, class, plan, customer, r.giveUp.Microseconds(), windowGateways))
}

// customer draws a plan by its share of the use, and one of its customers, so many that they stay inside their quotas.
func (w *wireWorld) customer() (plan string, customer int) {
	switch share := w.rng.Float64(); {
	case share < 0.40:
		return "basic", 0x1000 + w.rng.IntN(200)
	case share < 0.64:
		return "standard", 0x2000 + w.rng.IntN(40)
	}
	return "full-cover", 0x3000 + w.rng.IntN(20)
}

// hang makes the servers hang in the middle of their work.
func (w *wireWorld) hang() {
	for _, server := range w.servers[:windowHanging] {
		server.hangs = true
	}
	for _, a := range w.open {
		if a.server < windowHanging {
			a.doneAt = 0
		}
	}
}

// reset resets the connections of the servers that hang, which then serve again. What had begun there may have run.
func (w *wireWorld) reset() {
	for _, server := range w.servers[:windowHanging] {
		server.hangs = false
		clear(server.free)
	}
	for _, a := range slices.Clone(w.open) {
		if a.server < windowHanging {
			w.end(a, "econnreset", false)
		}
	}
}

// finishWork ends the attempts whose work is done, and those whose time is over.
func (w *wireWorld) finishWork() {
	for _, a := range slices.Clone(w.open) {
		switch {
		case a.doneAt > 0 && a.doneAt <= w.now:
			a.request.over = true
			w.end(a, "done", true)
		case a.request.giveUp <= w.now:
			w.end(a, "etimedout", a.request.over)
		}
	}
}

// end reports the outcome of an attempt.
func (w *wireWorld) end(a *wireAttempt, outcome string, over bool) {
	a.ended = true
	w.open = slices.DeleteFunc(w.open, func(open *wireAttempt) bool { return open == a })
	flag := ""
	if over || a.request.over {
		flag = "\tover=1"
	}
	metrics := ""
	if outcome == "done" {
		held := 0 // by the server, this one left out
		for _, other := range w.open {
			if other.server == a.server {
				held++
			}
		}
		metrics = fmt.Sprintf("\tsettled=1\tmetrics=util:%.2f,latency_ms:60,queue:%d", min(1, float64(held)/windowCores), max(0, held-windowCores))
	}
	w.record.printf("attempt %d.%d at server %d ended: %s", a.request.id, a.number, a.server, outcome)
	w.events = append(w.events, fmt.Sprintf("ATTEMPT_END\ti=%d\tcall=%d\ttry=%d\tbackend=%s\tstateCode=%s\tlagUs=%d%s%s", a.request.gateway,
		a.request.id, a.number, w.servers[a.server].address, outcome, (w.now-a.sentAt).Microseconds(), flag, metrics))
}

// takeDue moves the timers and counter replies that are due to the events.
func (w *wireWorld) takeDue() {
	rest := w.due[:0]
	for _, due := range w.due {
		if due.at <= w.now {
			w.events = append(w.events, due.line)
		} else {
			rest = append(rest, due)
		}
	}
	w.due = rest
}

// exchange sends a batch and carries out the actions of the reply.
func (w *wireWorld) exchange() error {
	batch := fmt.Sprintf("SYNC\twallUs=%d\n", w.now.Microseconds())
	for _, line := range w.events {
		batch += line + "\n"
	}
	w.events = nil
	if _, err := io.WriteString(w.in, batch+"YOUR_TURN\n"); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	for {
		line, err := w.out.ReadString('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		line = strings.TrimSuffix(line, "\n")
		if line == "NEXT" {
			return nil
		}
		name, rest, _ := strings.Cut(line, "\t")
		fields := map[string]string{}
		for _, pair := range strings.Split(rest, "\t") {
			key, value, _ := strings.Cut(pair, "=")
			fields[key] = value
		}
		w.act(name, fields)
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func (w *wireWorld) act(name string, fields map[string]string) {
	r := w.all[number(fields["call"])]
	switch name {
	case "TIMER":
		at := w.now + time.Duration(number(fields["spanUs"]))*time.Microsecond
		w.due = append(w.due, wireDue{at, fmt.Sprintf("TICK_DUE\ti=%s\tref=%s", fields["i"], fields["ref"])})
	case "INCR":
		add, _ := strconv.ParseFloat(fields["add"], 64)
		w.totals[fields["counter"]] += add
		w.due = append(w.due, wireDue{w.now + time.Millisecond, fmt.Sprintf("COUNTER_REPLY\ti=%s\ttotal=%.7g\tlagUs=2000\tcounter=%s\tstateCode=done",
			fields["i"], w.totals[fields["counter"]], fields["counter"])})
	case "BUSY", "DROP_REQUEST":
		r.over = true
		w.record.printf("request %d: %s", r.id, name)
	case "REVOKE":
		if a := r.attempts[number(fields["try"])]; !a.ended {
			w.end(a, "ecanceled", r.over)
		}
	case "TRANSMIT":
		w.transmit(r, fields["backend"])
	}
}

// transmit starts an attempt, and checks it against the rule on repeats.
func (w *wireWorld) transmit(r *wireRequest, address string) {
	a := &wireAttempt{request: r, number: len(r.attempts), sentAt: w.now}
	for i, server := range w.servers {
		if server.address == address {
			a.server = i
		}
	}
	w.sent++
	w.record.printf("attempt %d.%d sent to server %d", r.id, a.number, a.server)
	for _, earlier := range r.attempts {
		if since := w.now - earlier.sentAt; r.keyed && since > windowRepeats {
			w.result.addf("request %d was sent again %d ms after attempt %d, which may have run; the window is %d ms",
				r.id, since.Milliseconds(), earlier.number, windowRepeats.Milliseconds())
			break
		}
	}
	r.attempts = append(r.attempts, a)
	w.open = append(w.open, a)
	server := w.servers[a.server]
	if server.hangs {
		return
	}
	core := 0
	for i := range server.free {
		if server.free[i] < server.free[core] {
			core = i
		}
	}
	work := 38 * time.Millisecond
	if r.keyed {
		work = 94 * time.Millisecond
	}
	server.free[core] = max(server.free[core], w.now) + work
	a.doneAt = server.free[core] + time.Millisecond
}
