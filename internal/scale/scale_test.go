package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemontack/internal/standin"
	"lemontack/policy"
)

// The stand-ins of a live fleet are this program again.
func TestMain(m *testing.M) {
	if name, ok := RoleAsked(); ok {
		if err := PlayRole(name, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A known line is found as it is, and a point off it is named.
func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name             string
		x, y             []float64
		slope, intercept float64
		exact            bool
		off              int
		none             bool
	}{
		{"a line", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, 2, 3, true, 0, false},
		{"a constant", []float64{1, 2, 3}, []float64{4, 4, 4}, 0, 4, true, 0, false},
		{"nothing", []float64{1, 2, 3}, []float64{0, 0, 0}, 0, 0, true, 0, false},
		{"a square", []float64{0, 1, 2, 3}, []float64{0, 1, 4, 9}, 3, -1, false, 3, false},
		{"two points", []float64{1, 2}, []float64{1, 2}, 0, 0, false, 0, true},
		{"one size only", []float64{2, 2, 2}, []float64{1, 2, 3}, 0, 0, false, 0, true},
	} {
		f, ok := fitLine(c.x, c.y)
		if ok == c.none {
			t.Errorf("%s: a fit %v, want %v", c.name, ok, !c.none)
			continue
		}
		if !ok {
			continue
		}
		if math.Abs(f.Slope-c.slope) > 1e-9 || math.Abs(f.Intercept-c.intercept) > 1e-9 {
			t.Errorf("%s: %v x + %v, want %v x + %v", c.name, f.Slope, f.Intercept, c.slope, c.intercept)
		}
		if exact := f.Residual < 1e-9 && f.R2 > 1-1e-9; exact != c.exact {
			t.Errorf("%s: residual %v, R2 %v, want exact %v", c.name, f.Residual, f.R2, c.exact)
		}
		if len(f.Off) != c.off {
			t.Errorf("%s: off the line %q, want %d", c.name, f.Off, c.off)
		}
	}
}

// Only figures of points with a size are fitted, each against its own sweep's.
func TestFits(t *testing.T) {
	var points []*Point
	for i, against := range []string{"backends", "backends", "backends", ""} {
		p := &Point{Sweep: "s", Against: against, Size: float64(i)}
		p.add(theIngress, "cost", "µs", 10+2*float64(i), 1)
		p.tell(theRun, "played", "", float64(i))
		points = append(points, p)
	}
	points[3].Figures[0].Value = 1e6 // cut short: it is no point of the line
	list := fits(points)
	if len(list) != 1 || list[0].Points != 3 || math.Abs(list[0].Slope-2) > 1e-9 || list[0].Against != "backends" {
		t.Errorf("fits %+v, want one of slope 2 through 3 points", list)
	}
}

func options() Options {
	return Options{Sweep: []string{"backends"}, Seed: 1, Minutes: 9, Backends: []int{20}, Ingresses: []int{2},
		Tenants: []int{10}, Changes: []float64{1}, Fleet: 6400, Rate: 328, LiveRate: 100, Real: 3}
}

// What can't be run is refused before anything starts, in one line that names the bound.
func TestRefusals(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"--backends":  func(o *Options) { o.Backends = []int{0} },
		"--ingresses": func(o *Options) { o.Ingresses = nil },
		"--fleet":     func(o *Options) { o.Fleet = 0 },
		"--changes":   func(o *Options) { o.Changes = []float64{math.NaN()} },
		"--rate":      func(o *Options) { o.Rate = math.Inf(1) },
		"--live-rate": func(o *Options) { o.LiveRate = 0 },
		"--minutes":   func(o *Options) { o.Minutes = 10 },
	} {
		o := options()
		change(&o)
		if err := o.check(); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, want)
		}
	}
	o := options()
	if err := o.check(); err != nil {
		t.Errorf("a run that can be made: %v", err)
	}
}

func TestReckon(t *testing.T) {
	large := Machine{Cores: 8, Memory: 16 << 30}
	for _, c := range []struct {
		name   string
		change func(*Options)
		m      Machine
		want   string
	}{
		{"within", func(*Options) {}, large, ""},
		{"300 processes", func(o *Options) { o.Real = 297 }, Machine{Memory: 1 << 40}, ""},
		{"301 processes", func(o *Options) { o.Real = 298 }, Machine{Memory: 1 << 40}, "301 processes"},
		{"backends", func(o *Options) { o.Backends = []int{200, 1 << 21} }, Machine{Memory: 4 << 30}, "half of the"},
		{"ingresses", func(o *Options) { o.Ingresses = []int{10, 16000} }, large, "half of the machine's"},
		{"descriptors", func(o *Options) { o.Ingresses = []int{500} }, Machine{Memory: 1 << 40, Descriptors: 1024}, "1024"},
		{"a small machine", func(*Options) {}, Machine{Memory: 256 << 20}, "half of the machine's memory is 128 MB"},
	} {
		o := options()
		c.change(&o)
		err := reckon(o, c.m)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// Over the bound the watcher ends the run with one line.
func TestWatcherHoldsTheBound(t *testing.T) {
	w, said := newWatcher(), make(chan error, 1)
	w.run(t.Context(), 1, func(err error) { said <- err })
	if err := <-said; !strings.Contains(err.Error(), "half of the machine's memory") {
		t.Errorf("stopped with %v", err)
	}
	if w.peak == 0 || w.procs != 1 {
		t.Errorf("peak %d bytes, %d processes; want some and 1", w.peak, w.procs)
	}
}

// All ingresses agree on which tenants share which set, and real settings hold what the plans say.
func TestShape(t *testing.T) {
	s := Shape{Ingresses: 7, Tenants: 50, Rate: 100}
	seen := map[string]int{}
	spread := map[string]tenant{}
	for me := range s.Ingresses {
		for _, tn := range s.tenantsOf(me) {
			if back := (me - tn.first + s.Ingresses) % s.Ingresses; back >= tn.spread {
				t.Fatalf("tenant %+v at ingress %d, out of its set", tn, me)
			}
			if old, ok := spread[tn.id]; ok && old != tn {
				t.Fatalf("tenant %+v is %+v elsewhere", tn, old)
			}
			spread[tn.id] = tn
			seen[tn.id]++
		}
	}
	for id, n := range seen {
		if n != spread[id].spread {
			t.Errorf("tenant %s comes through %d ingresses, its set has %d", id, n, spread[id].spread)
		}
	}
	set, err := s.parsed(3)
	if err != nil || set.Index != 3 || set.GatewayCount != 7 || len(set.Plans) != len(plans) || !set.SharedCounter || set.PollEndpoints {
		t.Errorf("settings %+v, %v", set, err)
	}
	s.Asked = true
	if set, err = s.parsed(0); err != nil || !set.PollEndpoints {
		t.Errorf("asked: settings %+v, %v", set, err)
	}
}

// drivenRun plays so many requests at each of two ingresses before 20 backends, and lets all of them end.
func drivenRun(t *testing.T, requests uint64) ([]Tally, *Backends, *Recorder) {
	t.Helper()
	s := Shape{Ingresses: 2, Tenants: 30, Rate: 200}
	back, rec := NewBackends(20, 400, meanWork, false), NewRecorder()
	var list []Tally
	for me := range s.Ingresses {
		h, err := NewHollow(s, me, back, rec, 7)
		if err != nil {
			t.Fatal(err)
		}
		h.Known(back.targets())
		h.setRate(s.Rate)
		h.Drive(time.Hour, func() bool { return h.tally.Requests < requests })
		h.setRate(0)
		h.Drive(5*time.Second, func() bool { return true })
		if len(h.open) > 0 {
			t.Errorf("ingress %d: %d requests are still open", me, len(h.open))
		}
		list = append(list, h.tally)
	}
	return list, back, rec
}

// Each request has one end, each attempt its backend, and the same seed gives the same run.
func TestDrivenRun(t *testing.T) {
	const requests = 600
	list, back, rec := drivenRun(t, requests)
	sends := uint64(0)
	for me, c := range list {
		if c.Requests != requests || c.Served+c.Refused+c.Failed+c.Unanswered != requests {
			t.Errorf("ingress %d: %+v: the ends are not those of %d requests", me, c, requests)
		}
		if c.Served < requests*9/10 || c.Calls == 0 || c.Lists != 1 {
			t.Errorf("ingress %d: %+v: want nearly all served, some calls, one list", me, c)
		}
		sends += c.Sends
	}
	got := uint64(0)
	for i := range back.list {
		got += back.list[i].sends.Load()
		if n := back.list[i].inFlight.Load(); n != 0 {
			t.Errorf("backend %d: %d in flight after the end", i, n)
		}
	}
	if got != sends {
		t.Errorf("%d attempts at the backends, %d were sent", got, sends)
	}
	times := rec.take()
	if n := times[handleArrival].TotalCount(); n != 2*requests {
		t.Errorf("%d times of arrivals, want %d", n, 2*requests)
	}
	again, _, _ := drivenRun(t, requests)
	for me := range list {
		if again[me] != list[me] {
			t.Errorf("ingress %d: %+v, then %+v of the same seed", me, list[me], again[me])
		}
	}
}

// On a machine that is too busy an ingress leaves out what it should have played long ago, and goes on from now.
func TestSkipsWhatIsLate(t *testing.T) {
	for _, c := range []struct {
		late     time.Duration
		requests uint64
	}{{0, 1}, {mostLate, 1}, {mostLate + 1, 0}, {time.Hour, 0}} {
		back := NewBackends(5, 10, meanWork, false)
		h, err := NewHollow(Shape{Ingresses: 1, Tenants: 5, Rate: 10}, 0, back, NewRecorder(), 1)
		if err != nil {
			t.Fatal(err)
		}
		h.Known(back.targets())
		h.rate = 10
		due := h.now
		h.now += c.late
		h.ring(&item{at: due, what: nextArrival})
		if h.tally.Requests != c.requests || h.tally.Skipped != 1-c.requests || !h.arriving {
			t.Errorf("%v late: %+v, want %d requests, the others left out", c.late, h.tally, c.requests)
		}
	}
}

// A modelled backend turns away what finds no place, is slower for all that it holds, and cold ones bear less.
func TestBackends(t *testing.T) {
	b := NewBackends(2, 1, meanWork, false)
	b.slots, b.work = 4, func(*rand.Rand) time.Duration { return meanWork }
	rng := rand.New(rand.NewPCG(1, 1))
	full := func(id policy.EndpointID) (n int, last time.Duration) {
		for ; n < 1000; n++ {
			took, end := b.begin(id, drivenStart, rng)
			if end.Outcome == policy.Rejected {
				break
			}
			last = took
		}
		return n, last
	}
	warm, slowest := full("s-000000")
	if warm != 4*(1+queueOfSlots) || slowest != meanWork*(1+queueOfSlots) {
		t.Errorf("a warm one holds %d, the last takes %v; want %d and %v", warm, slowest, 4*(1+queueOfSlots),
			meanWork*(1+queueOfSlots))
	}
	b.list[1].started.Store(int64(drivenStart))
	if cold, _ := full("s-000001"); cold >= warm || cold == 0 {
		t.Errorf("a cold one holds %d, a warm one %d", cold, warm)
	}
	b.list[0].gone.Store(true)
	if _, end := b.begin("s-000000", drivenStart, rng); end.Outcome != policy.ConnectFailed {
		t.Errorf("one that is gone: %v", end.Outcome)
	}
}

func TestMostWithin(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		times []time.Duration
		want  int
	}{{nil, 0}, {[]time.Duration{s}, 1}, {[]time.Duration{0, s / 2, s, 3 * s / 2}, 2},
		{[]time.Duration{0, 1, 2, 9 * s}, 3}} {
		if got := mostWithin(c.times, s); got != c.want {
			t.Errorf("%v: %d within a second, want %d", c.times, got, c.want)
		}
	}
}

// A live fleet has its lists, a change comes to be in force at all, and no child is left at the end.
func TestLiveFleet(t *testing.T) {
	for _, asked := range []bool{false, true} {
		w := newWatcher()
		s := Shape{Ingresses: 3, Tenants: 30, Rate: 50, Asked: asked}
		f, err := startFleet(t.Context(), w, s, NewBackends(20, 150, meanWork, false), 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.setRate(t.Context(), 50); err != nil {
			t.Fatal(err)
		}
		var made []listed
		for i := range 3 {
			c, err := f.change(f.back.toggled(i))
			if err != nil {
				t.Fatal(err)
			}
			made = append(made, c)
		}
		for missing := 1; missing > 0; {
			var err error
			if _, _, missing, err = f.inForce(t.Context(), made); err != nil {
				t.Fatal(err)
			}
		}
		for served, calls := uint64(0), 0; served < 20 || calls == 0; {
			now, err := f.snap(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			served, calls = now.tally.Served, now.counter.Counter.Calls
		}
		f.stop()
		if len(w.pids) != 1 || w.procs != 1+roleProcesses {
			t.Errorf("asked %v: processes left %v, at most %d", asked, w.pids, w.procs)
		}
	}
}

// A list that the client leaves aside is told with what the client says of it, and a list that it takes is counted.
func TestTakeList(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls atomic.Int32
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 { // the first failure has been told by then
			cancel()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	set, err := Shape{Ingresses: 1, Tenants: 1, Rate: 1}.parsed(0)
	if err != nil {
		t.Fatal(err)
	}
	cfg := clientConfig{Discovery: strings.TrimPrefix(refusing.URL, "http://"), Settings: set}
	if l, said := takeList(ctx, cfg); l.entries != 0 || !strings.Contains(said, "503") {
		t.Errorf("no list: %d entries, %q", l.entries, said)
	}
	listing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`)
	}))
	defer listing.Close()
	cfg.Discovery = strings.TrimPrefix(listing.URL, "http://")
	if l, said := takeList(t.Context(), cfg); l.entries != 1 {
		t.Errorf("a list of one: %d entries, %q", l.entries, said)
	}
}

// The file is whole, and the tables name what was skipped and what does not fit a line.
func TestReport(t *testing.T) {
	r := &Report{Format: format, Seed: 3, Ended: "whole"}
	for i := range 4 {
		p := &Point{Sweep: "backends", Label: number(float64(1000 * i)), Against: "backends", Size: float64(i)}
		p.add(theIngress, "cost", "µs", float64(i*i), 9)
		h := newHistogram()
		h.RecordValue(int64(time.Millisecond))
		p.times(theIngress, "wait", "ms", time.Millisecond, h, 50)
		r.Points = append(r.Points, p)
	}
	r.Points[1].note("list not taken")
	r.Points = append(r.Points, &Point{Sweep: "zone", Label: "lost", Skipped: "no time is left for it"})
	r.Fits = fits(r.Points)
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"seed 3", "3,000", "1,000: list not taken", "lost: skipped, no time",
		"3 of 4 do not fit a line"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the tables do not say %q:\n%s", want, text.String())
		}
	}
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(file, &back); err != nil || back.Format != format || len(back.Points) != 5 {
		t.Errorf("read back: %v, %+v", err, back)
	}
	if s := back.Points[0].Figures[1].Shares; s == nil || math.Abs(s.P99-1) > 0.02 {
		t.Errorf("percentiles %+v, want 1 ms", s)
	}
}

// A reply is read to its end, and what is none is an error.
func TestReadReply(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"$2\r\nab\r\n", "ab"}, {"*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n", "ab"}, {"-BUSY 20\r\n", "-BUSY 20"},
		{"+PONG\r\n", "+PONG"}, {"$-1\r\n", "-null"}, {"$2\r\na", ""}, {"\r\n", ""}, {"*0\r\n", ""}, {"$99999\r\n", ""},
		{"hello\r\n", ""},
	} {
		in := bufio.NewReader(strings.NewReader(c.text))
		got, err := readReply(in)
		if c.want == "" && err == nil || c.want != "" && (err != nil || got != c.want || in.Buffered() > 0) {
			t.Errorf("%q: %q, %v, %d bytes left; want %q", c.text, got, err, in.Buffered(), c.want)
		}
	}
}

// Clients get the answers made for their requests, and count those that were not.
func TestClients(t *testing.T) {
	for _, spoilt := range []bool{false, true} {
		cfg := standin.BackendConfig{Reports: true}
		if spoilt {
			cfg.Value = func([]string) string { return "another's" }
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b := standin.NewBackend(cfg)
		go b.Serve(ln)
		cl := newClients(ln.Addr().String(), 1)
		tenants := Shape{Ingresses: 1, Tenants: 5, Rate: 100}.tenantsOf(0)
		cl.play(t.Context(), rand.New(rand.NewPCG(1, 1)), tenants, 1000, 50*time.Millisecond, 0)
		cl.close()
		b.Close()
		good, bad := cl.served.Load(), cl.wrong.Load()
		if cl.requests == 0 || good+bad != cl.requests || spoilt && good > 0 || !spoilt && bad > 0 {
			t.Errorf("spoilt %v: %d requests, %d served, %d wrong", spoilt, cl.requests, good, bad)
		}
		if odd := b.Stats().Odd; odd > 0 {
			t.Errorf("%d commands in a form that no client sends", odd)
		}
	}
}

// Ratios are of the figures that both kinds have.
func TestRatios(t *testing.T) {
	var real, hollow, p Point
	real.add(theIngress, requestCost, "µs", 200, 1)
	real.add(theIngress, idleCost, "ms", 0, 1)
	real.add(theIngress, "only real", "", 3, 1)
	hollow.add(theIngress, requestCost, "µs", 50, 1)
	hollow.add(theIngress, idleCost, "ms", 5, 1)
	if err := ratios(&p, &real, &hollow); err != nil || len(p.Figures) != 1 || p.Figures[0].Value != 0.25 {
		t.Errorf("%+v, %v; want one ratio of 0.25", p.Figures, err)
	}
	real.Skipped = "failed"
	p = Point{}
	if err := ratios(&p, &real, &hollow); err != nil || p.Skipped == "" || len(p.Figures) > 0 {
		t.Errorf("%+v, %v; a ratio to what was not measured", p, err)
	}
}

func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 7: "7", 0.1234: "0.123", 999.6: "1,000", 999.4: "999", 1000: "1,000",
		200000: "200,000", -1234567: "-1,234,567"} {
		if got := number(v); got != want {
			t.Errorf("%v is written %q, want %q", v, got, want)
		}
	}
}
