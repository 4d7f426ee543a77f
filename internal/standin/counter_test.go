package standin

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/nettest"
)

func TestCounterAnswersCallsByTheirForm(t *testing.T) {
	long := strings.Repeat("n", 64)
	for _, c := range []struct{ call, want string }{
		{"tally a 2.5 1000", "ok 2.5"},
		{"tally a -4 1000", "ok -4"},
		{"tally a 0 1000", "ok 0"},
		{"tally a 1000000000 1000", "ok 1000000000"},
		{"tally a 12345678.9 1000", "ok 12345680"}, // seven significant digits
		{"tally a 0.000012345678 1000", "ok 0.00001234568"},
		{"tally " + long + " 1 60001", "ok 1"},
		{"ping", "pong"},
		{"tally " + long + "n 1 1000", "error"},
		{"tally a 1000000001 1000", "error"},
		{"tally a 1e3 1000", "error"},
		{"tally a Inf 1000", "error"},
		{"tally a NaN 1000", "error"},
		{"tally a 0x1 1000", "error"},
		{"tally a 1 0", "error"},
		{"tally a 1 1.5", "error"},
		{"tally a 1", "error"},
		{"tally  1 1000", "error"},
		{"tally a b 1 1000", "error"},
		{"count a 1 1000", "error"},
		{"", "error"},
	} {
		t.Run(c.call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter, ln := startCounter(t, CounterConfig{})
				nc := dialClient(t, ln)
				nc.sendLines(t, c.call)
				if got := <-nc.lines; got != c.want {
					t.Errorf("%q: %q, want %q", c.call, got, c.want)
				}
				synctest.Wait()
				want := CounterStats{Connections: 1, BytesIn: int64(len(c.call) + 2), BytesOut: int64(len(c.want) + 2)}
				if strings.HasPrefix(c.want, "ok") {
					want.Names, want.Calls = 1, 1
				}
				if s := counter.Stats(); s != want {
					t.Errorf("%q: %+v, want %+v", c.call, s, want)
				}
			})
		})
	}
}

func TestNameExpiresAfterTheLifetimeOfItsFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{})
		nc := dialClient(t, ln)
		for _, c := range []struct {
			wait time.Duration
			call string
			want string
		}{
			{0, "tally a 1 1000", "ok 1"},
			{999 * time.Millisecond, "tally a 1 60000", "ok 2"},
			{time.Millisecond, "tally a 1 99999", "ok 1"},
			{5 * time.Second, "tally a 1 1", "ok 2"},
		} {
			time.Sleep(c.wait)
			nc.sendLines(t, c.call)
			if got := <-nc.lines; got != c.want {
				t.Fatalf("%s: %q, want %q", c.call, got, c.want)
			}
		}
		if got := counter.Total("a"); got != 2 {
			t.Fatalf("total %v", got)
		}
		time.Sleep(55*time.Second - time.Millisecond)
		if got := counter.Stats().Names; got != 1 {
			t.Fatalf("%d names before 60 s", got)
		}
		time.Sleep(time.Millisecond)
		if got := counter.Stats().Names; got != 0 || counter.Total("a") != 0 {
			t.Fatalf("%d names after 60 s, total %v", got, counter.Total("a"))
		}
	})
}

// Names that are not called any more take no memory for good.
func TestExpiredNamesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := NewCounter(CounterConfig{})
		for i := range 10 * minSweepSize {
			counter.add(counterCall{fmt.Sprint(i), 1, time.Millisecond})
			time.Sleep(time.Millisecond)
		}
		if n := len(counter.table.entries); n > minSweepSize {
			t.Fatalf("%d names held", n)
		}
	})
}

// That holds also where the shard of a later call is free, and for lines that are no calls.
func TestCounterAnswersInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := startCounter(t, CounterConfig{CallsPerSecond: 2, Shards: 2})
		slow, other := namesOfTwoShards()
		nc := dialClient(t, ln)
		began := time.Now()
		same := "tally " + slow + " 1 9000"
		nc.sendLines(t, same, same, same, "tally "+other+" 5 9000", "ping", "?")
		for i, want := range []string{"ok 1", "ok 2", "ok 3", "ok 5", "pong", "error"} {
			if got := <-nc.lines; got != want {
				t.Fatalf("answer %d: %q, want %q", i, got, want)
			}
			if took := time.Since(began); took != time.Duration(min(i+1, 3))*time.Second {
				t.Fatalf("answer %d after %v", i, took)
			}
		}
	})
}

// namesOfTwoShards returns names that belong to the first and the second of two shards.
func namesOfTwoShards() (first, second string) {
	for i := 0; first == "" || second == ""; i++ {
		name := fmt.Sprint("n", i)
		h := fnv.New32a()
		h.Write([]byte(name))
		if h.Sum32()%2 == 0 {
			first = name
		} else {
			second = name
		}
	}
	return first, second
}

// Where all calls are for one name, that share is all there is.
func TestEachShardServesItsShareOfTheRate(t *testing.T) {
	first, second := namesOfTwoShards()
	for _, c := range []struct {
		names []string
		want  time.Duration
	}{{[]string{first, first, first, first}, 4 * time.Second}, {[]string{first, second, first, second}, 2 * time.Second}} {
		t.Run(strings.Join(c.names, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 2, Shards: 2})
				began, callers := time.Now(), []*testClient{}
				for _, n := range c.names {
					nc := dialClient(t, ln)
					nc.sendLines(t, "tally "+n+" 1 9000")
					callers = append(callers, nc)
				}
				for _, nc := range callers {
					<-nc.lines
				}
				if took := time.Since(began); took != c.want {
					t.Errorf("%v: %v, want %v", c.names, took, c.want)
				}
				names := len(slices.Compact(slices.Sorted(slices.Values(c.names))))
				if s := counter.Stats(); s.MaxWait != c.want || s.Calls != 4 || s.Names != names {
					t.Errorf("%v: %+v", c.names, s)
				}
			})
		})
	}
}

func TestCallsBeyondTheQueueAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 1, MaxQueued: 2})
		nc := dialClient(t, ln)
		call := "tally a 1 9000"
		nc.sendLines(t, call, call, call, call, call)
		for i, want := range []string{"ok 1", "ok 2", "ok 3", "busy", "busy"} {
			if got := <-nc.lines; got != want {
				t.Fatalf("answer %d: %q, want %q", i, got, want)
			}
		}
		if s := counter.Stats(); s.Calls != 5 || s.Rejected != 2 || s.MaxQueued != 2 || counter.Total("a") != 3 {
			t.Fatalf("%+v, total %v", s, counter.Total("a"))
		}
	})
}

// Connections that come after the silence work.
func TestSilentCounterAddsNothingAndStaysSilentOnItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 1})
		old := dialClient(t, ln)
		old.sendLines(t, "tally a 1 60000", "tally a 1 60000", "tally a 1 60000")
		if got := <-old.lines; got != "ok 1" {
			t.Fatalf("%q", got)
		}
		counter.SetState(Silent)
		during := dialClient(t, ln)
		during.sendLines(t, "tally a 1 60000", "ping")
		time.Sleep(5 * time.Second)
		counter.SetState(Up)
		nc := dialClient(t, ln)
		nc.sendLines(t, "tally a 1 60000")
		if got := <-nc.lines; got != "ok 2" {
			t.Fatalf("after the return: %q", got)
		}
		old.sendLines(t, "tally a 1 60000")
		time.Sleep(30 * time.Second)
		if len(old.lines) > 0 || len(during.lines) > 0 || counter.Total("a") != 2 {
			t.Fatalf("%d, %d answers of the silence; total %v", len(old.lines), len(during.lines), counter.Total("a"))
		}
		counter.SetState(Down)
		for _, c := range []*testClient{old, during, nc, dialClient(t, ln)} {
			if got, open := <-c.lines; open {
				t.Fatalf("while down: %q", got)
			}
		}
		counter.SetState(Up)
		nc = dialClient(t, ln)
		nc.sendLines(t, "tally a 1 60000")
		if got := <-nc.lines; got != "ok 3" {
			t.Fatalf("up again: %q", got)
		}
	})
}

func TestConnectionsBeyondTheLimitAndIdleOnesAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{MaxConnectionsPerClient: 2, CallsPerSecond: 0.05})
		first, second := dialClient(t, ln), dialClient(t, ln)
		synctest.Wait()
		third := dialClient(t, ln)
		if got, open := <-third.lines; open {
			t.Fatalf("the third says %q", got)
		}
		first.Close()
		synctest.Wait()
		fourth := dialClient(t, ln)
		fourth.sendLines(t, "ping")
		if got := <-fourth.lines; got != "pong" {
			t.Fatalf("in place of one that has gone: %q", got)
		}
		began := time.Now()
		second.sendLines(t, "tally a 1 60000") // queued for longer than the idle timeout
		if _, open := <-fourth.lines; open || time.Since(began) != 10*time.Second {
			t.Fatalf("the idle one: open %v after %v", open, time.Since(began))
		}
		if got := <-second.lines; got != "ok 1" {
			t.Fatalf("the one that waits: %q", got)
		}
		if got := counter.Stats().Connections; got != 4 {
			t.Fatalf("%d connections", got)
		}
	})
}

func TestCounterOnLoopback(t *testing.T) {
	counter, ln := NewCounter(CounterConfig{CallsPerSecond: 1e5, Shards: 4}), nettest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- counter.Serve(ln) }()
	const callers, calls = 8, 200
	done := make(chan error, callers)
	for range callers {
		go func() { done <- addMany(ln.Addr().String(), calls) }()
	}
	for range callers {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if got := counter.Total("a"); got != callers*calls {
		t.Errorf("total %v, want %d", got, callers*calls)
	}
	counter.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connected after the end")
	}
}

// addMany pipelines calls that add one each, and returns an error unless the totals rise.
func addMany(addr string, calls int) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, strings.Repeat("tally a 1 60000\r\n", calls)); err != nil {
		return err
	}
	in, last := bufio.NewReader(nc), 0.0
	for range calls {
		text, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		var total float64
		if _, err := fmt.Sscanf(text, "ok %g\r\n", &total); err != nil || total <= last {
			return fmt.Errorf("%q after %v: %v", text, last, err)
		}
		last = total
	}
	return nil
}
