// Command simworld is a small simulator for the decisions on the wire: it starts the command 'sim' of the deploy file, speaks its
// wire on the real clock, and plays clients, backends, discovery and the counter. The clock starts at the start of the run. It
// exits with 1 if a request was sent on again later than the window for repeats allows.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lemontack/review/_standins/rig"
)

const (
	fleet     = 2
	backends  = 8
	cores     = 2                      // of a backend
	network   = 500 * time.Microsecond // time to a backend, the counter or back
	customers = 200
	className = "book-callout"
	deadline  = 2500 * time.Millisecond
)

var (
	hangTime    = flag.Duration("hang", 1200*time.Millisecond, "time for which backends hang")
	hangEvery   = flag.Duration("every", 4*time.Second, "time from one to the next")
	hangingPart = flag.Int("part", 4, "backends that hang at a time")
	playTime    = flag.Duration("time", 50*time.Second, "time for which requests arrive")
	rate        = flag.Float64("rate", 62, "requests a second to each instance")
	window      = flag.Duration("window", time.Second, "window for repeats")
	parallel    = flag.Bool("parallel", false, "a request may have two attempts out at once")
	resets      = flag.Bool("resets", false, "backends reset requests in place of hanging")
)

func main() {
	flag.Parse()
	rig.Main(run)
}

// attempt is one TRANSMIT.
type attempt struct {
	request *request
	number  int
	backend int
	sentAt  time.Duration
	stopAt  time.Duration
	ended   bool
	outcome string
	endedAt time.Duration
	runAt   time.Duration // time at which it began to run; zero if it has not
}

// request is one request of a client.
type request struct {
	id       int
	instance int
	at       time.Duration
	giveUpAt time.Duration
	attempts []*attempt
	answer   string
	answerAt time.Duration
}

// backend is one backend: it runs as many attempts at once as it has cores, the others wait.
type backend struct {
	hanging bool
	busy    int
	waiting []*attempt
}

// action is something that comes to pass at a time.
type action struct {
	at time.Duration
	do func()
}

// world holds the state of a run; only one goroutine uses it.
type world struct {
	record   *rig.Record
	now      time.Duration
	actions  []action
	events   []string
	requests []*request
	byID     map[int]*request
	backends [backends]*backend
	totals   map[string]float64
	lastID   int
	malfunc  string
}

func (w *world) after(d time.Duration, do func()) {
	a := action{w.now + d, do}
	i := sort.Search(len(w.actions), func(i int) bool { return w.actions[i].at > a.at })
	w.actions = append(w.actions, action{})
	copy(w.actions[i+1:], w.actions[i:])
	w.actions[i] = a
}

func (w *world) event(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf(format, args...))
}

func us(d time.Duration) int64 { return d.Microseconds() }

func address(b int) string { return fmt.Sprintf("127.0.0.1:%d", 7001+b) }

func run() (int, error) {
	record, err := rig.NewRecord("record.txt")
	if err != nil {
		return 0, err
	}
	in, out, err := startSim(os.Getenv("ROOT"))
	if err != nil {
		return 0, err
	}
	w := &world{record: record, byID: map[int]*request{}, totals: map[string]float64{}}
	for i := range w.backends {
		w.backends[i] = &backend{}
	}
	if err := w.begin(); err != nil {
		return 0, err
	}
	start := time.Now()
	record.Start = start
	record.Printf("%d instances, %d backends, window for repeats %v, deadline %v", fleet, backends, *window, deadline)
	for i := range fleet {
		w.nextArrival(i)
	}
	if rig.Trouble() {
		w.after(*hangEvery/2, w.hang)
	}
	for w.now < *playTime+deadline+time.Second {
		w.now = time.Since(start)
		for len(w.actions) > 0 && w.actions[0].at <= w.now {
			a := w.actions[0]
			w.actions = w.actions[1:]
			a.do()
		}
		if err := w.exchange(in, out); err != nil {
			return 0, err
		}
		if w.malfunc != "" {
			record.Printf("%s", w.malfunc)
			fmt.Println(w.malfunc)
			return rig.Broken, nil
		}
		time.Sleep(2*time.Millisecond - (time.Since(start) - w.now))
	}
	return w.judge(), nil
}

// startSim starts the adapter by the command of the deploy file.
func startSim(root string) (io.Writer, *bufio.Reader, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, nil, err
	}
	_, rest, found := strings.Cut(string(text), "\nsim = \"")
	if !found {
		return nil, nil, fmt.Errorf("the deploy file has no sim command")
	}
	command, _, _ := strings.Cut(rest, "\"")
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	rig.OnStop(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return in, bufio.NewReaderSize(out, 1<<20), nil
}

// begin starts the instances with the settings and the list.
func (w *world) begin() error {
	for i := range fleet {
		settings := rig.Settings(i, fleet)
		class := settings["classes"].([]rig.Object)[1]
		class["effect"], class["group"], class["windowUs"] = "idempotency_key", "all", us(*window)
		class["deadlineUs"] = us(deadline)
		settings["classes"] = []rig.Object{class}
		settings["permissions"].(rig.Object)["parallelTries"] = *parallel
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		w.event("BEGIN\ti=%d\tnonce64=%d\tfacts=%s", i, rand.Uint64(), text)
		lines := fmt.Sprintf("MEMBERSHIP\ti=%d\tform=cached\tgeneration=1\tmembers=%d", i, backends)
		for b := range backends {
			lines += fmt.Sprintf("\nM\tbackend=%s\taz=pdx-1\tflavor=std-2c\tblock=0\tlifecycle=on\tscale=1", address(b))
		}
		w.events = append(w.events, lines)
	}
	return nil
}

// exchange writes the batch and carries out the reply.
func (w *world) exchange(in io.Writer, out *bufio.Reader) error {
	var batch strings.Builder
	fmt.Fprintf(&batch, "SYNC\twallUs=%d\n", us(w.now))
	for _, e := range w.events {
		batch.WriteString(e + "\n")
	}
	batch.WriteString("YOUR_TURN\n")
	w.events = w.events[:0]
	if _, err := io.WriteString(in, batch.String()); err != nil {
		return err
	}
	for {
		line, err := out.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\n")
		if line == "NEXT" {
			return nil
		}
		w.carryOut(line)
	}
}

// carryOut carries out one action of the module.
func (w *world) carryOut(line string) {
	parts := strings.Split(line, "\t")
	fields := map[string]string{}
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		fields[name] = value
	}
	number := func(name string) int { n, _ := strconv.Atoi(fields[name]); return n }
	i := number("i")
	r := w.byID[number("call")]
	switch parts[0] {
	case "TIMER":
		ref := fields["ref"]
		w.after(time.Duration(number("spanUs"))*time.Microsecond, func() { w.event("TICK_DUE\ti=%d\tref=%s", i, ref) })
	case "INCR":
		name := fields["counter"]
		add, _ := strconv.ParseFloat(fields["add"], 64)
		w.after(2*network, func() {
			w.totals[name] += add
			w.event("COUNTER_REPLY\ti=%d\ttotal=%v\tlagUs=%d\tcounter=%s\tstateCode=done", i, w.totals[name], us(2*network), name)
		})
	case "TRANSMIT":
		w.transmit(r, fields["backend"], time.Duration(number("stopAtUs"))*time.Microsecond)
	case "BUSY", "DROP_REQUEST":
		if r.answer == "" {
			r.answer, r.answerAt = parts[0], w.now
		}
	case "REVOKE":
		if try := number("try"); try < len(r.attempts) {
			w.end(r.attempts[try], "ecanceled")
		}
	case "PANIC":
		w.malfunc = line
	}
}

func (w *world) transmit(r *request, backendAddress string, stopAt time.Duration) {
	port, _ := strconv.Atoi(backendAddress[strings.IndexByte(backendAddress, ':')+1:])
	a := &attempt{request: r, number: len(r.attempts), backend: port - 7001, sentAt: w.now, stopAt: r.giveUpAt}
	if stopAt > 0 {
		a.stopAt = min(stopAt, r.giveUpAt)
	}
	r.attempts = append(r.attempts, a)
	if r.answer != "" {
		w.end(a, "skipped")
		return
	}
	w.after(max(0, a.stopAt-w.now), func() { w.end(a, "etimedout") })
	w.after(network, func() { w.arrive(a) })
}

// arrive brings an attempt to its backend.
func (w *world) arrive(a *attempt) {
	b := w.backends[a.backend]
	if b.hanging && *resets {
		w.end(a, "econnreset")
		return
	}
	b.waiting = append(b.waiting, a)
	w.serve(b)
}

// serve starts what waits, as far as cores are free.
func (w *world) serve(b *backend) {
	for !b.hanging && b.busy < cores && len(b.waiting) > 0 {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.busy++
		a.runAt = w.now
		w.after(time.Duration(68+rand.IntN(52))*time.Millisecond, func() { w.finish(b, a) })
	}
}

// finish ends the work on an attempt. While the backend hangs, its answers wait.
func (w *world) finish(b *backend, a *attempt) {
	if b.hanging {
		w.after(20*time.Millisecond, func() { w.finish(b, a) })
		return
	}
	b.busy--
	w.after(network, func() { w.end(a, "done") })
	w.serve(b)
}

// end tells the outcome of an attempt.
func (w *world) end(a *attempt, outcome string) {
	if a.ended {
		return
	}
	r := a.request
	a.ended, a.outcome, a.endedAt = true, outcome, w.now
	if outcome == "done" && r.answer == "" {
		r.answer, r.answerAt = "done", w.now
	}
	over := ""
	if r.answer != "" {
		over = "\tover=1"
	}
	if outcome == "done" {
		over += "\tsettled=2"
	}
	w.event("ATTEMPT_END\ti=%d\tcall=%d\ttry=%d\tbackend=%s\tstateCode=%s\tlagUs=%d%s", r.instance, r.id, a.number,
		address(a.backend), outcome, us(w.now-a.sentAt), over)
}

// hang lets some of the backends hang, again and again.
func (w *world) hang() {
	chosen := rand.Perm(backends)[:*hangingPart]
	w.record.Printf("backends %v hang for %v", chosen, *hangTime)
	for _, b := range chosen {
		w.backends[b].hanging = true
		if *resets {
			w.backends[b].waiting = nil
		}
	}
	w.after(*hangTime, func() {
		w.record.Printf("they serve again")
		for _, b := range chosen {
			w.backends[b].hanging = false
			w.serve(w.backends[b])
		}
	})
	w.after(*hangEvery, w.hang)
}

// nextArrival lets requests arrive at an instance.
func (w *world) nextArrival(i int) {
	w.after(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)), func() {
		if w.now > *playTime {
			return
		}
		w.nextArrival(i)
		w.lastID++
		r := &request{id: w.lastID, instance: i, at: w.now, giveUpAt: w.now + deadline}
		w.requests = append(w.requests, r)
		w.byID[r.id] = r
		customer := rand.IntN(customers)
		w.event("ARRIVAL\ti=%d\tcall=%d\tqos=%s\tterms=%s\tholder=%016x\tgiveUpAtUs=%d\tsizeUnits=2\twidth=%d\tsetFrom=0",
			i, r.id, className, planOf(customer), customer, us(r.giveUpAt), fleet)
	})
}

// planOf returns the plan of a customer: two in five have the cheapest plan.
func planOf(customer int) string {
	return []string{"basic", "full-cover", "basic", "full-cover", "standard"}[customer%5]
}

// judge writes the record and decides. An attempt that began to run, or whose outcome does not prove that it never ran, may have
// run; further ones must be sent within the window, counted from when it was sent.
func (w *world) judge() int {
	counts := map[string]int{}
	late, twice := 0, 0
	for _, r := range w.requests {
		line := fmt.Sprintf("request %d at instance %d:", r.id, r.instance)
		first := time.Duration(0)
		isLate, runs := false, 0
		for _, a := range r.attempts {
			line += fmt.Sprintf(" attempt %d to backend %d sent=%.4f ran=%.4f %s=%.4f", a.number, a.backend, a.sentAt.Seconds(),
				a.runAt.Seconds(), a.outcome, a.endedAt.Seconds())
			if first > 0 && a.sentAt-first > *window && a.outcome != "skipped" {
				line += fmt.Sprintf(" SENT %.4f AFTER THE FIRST THAT MAY HAVE RUN", (a.sentAt - first).Seconds())
				isLate = true
			}
			switch a.outcome {
			case "busy", "econnrefused", "skipped":
			default:
				if first == 0 {
					first = a.sentAt
				}
			}
			if a.runAt > 0 {
				runs++
			}
		}
		if isLate {
			late++
			if runs > 1 {
				twice++
			}
		}
		w.record.PrintAt(w.record.Start.Add(r.at), "%s answer %s=%.4f", line, r.answer, r.answerAt.Seconds())
		counts[r.answer]++
	}
	result := fmt.Sprintf("%d of %d requests were sent on again after the window, %d of them ran more than once; answers %v", late,
		len(w.requests), twice, counts)
	w.record.Printf("%s", result)
	fmt.Println(result)
	if late > 0 {
		return rig.Broken
	}
	return rig.Held
}
