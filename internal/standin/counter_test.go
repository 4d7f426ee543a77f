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

func TestCounterRepliesToValidAndMalformedCalls(t *testing.T) {
	longestName := strings.Repeat("n", 64)
	for _, c := range []struct{ call, want string }{
		{"tally a 2.5 1000", "ok 2.5"},
		{"tally a -4 1000", "ok -4"},
		{"tally a 0 1000", "ok 0"},
		{"tally a 1000000000 1000", "ok 1000000000"},
		{"tally a 12345678.9 1000", "ok 12345680"}, // totals have seven significant digits
		{"tally a 0.000012345678 1000", "ok 0.00001234568"},
		{"tally " + longestName + " 1 60001", "ok 1"},
		{"ping", "pong"},
		{"tally " + longestName + "n 1 1000", "error"},
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
				client := dialClient(t, ln)
				client.sendLines(t, c.call)
				if got := <-client.lines; got != c.want {
					t.Errorf("%q: got %q, want %q", c.call, got, c.want)
				}
				synctest.Wait()
				want := CounterStats{Connections: 1, BytesIn: int64(len(c.call) + 2), BytesOut: int64(len(c.want) + 2)}
				if strings.HasPrefix(c.want, "ok") {
					want.Names, want.Calls = 1, 1
				}
				if stats := counter.Stats(); stats != want {
					t.Errorf("%q: got stats %+v, want %+v", c.call, stats, want)
				}
			})
		})
	}
}

func TestNameExpiresAfterLifetimeOfFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{})
		client := dialClient(t, ln)
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
			client.sendLines(t, c.call)
			if got := <-client.lines; got != c.want {
				t.Fatalf("%s: got %q, want %q", c.call, got, c.want)
			}
		}
		if got := counter.Total("a"); got != 2 {
			t.Fatalf("got total %v, want 2", got)
		}
		time.Sleep(55*time.Second - time.Millisecond)
		if got := counter.Stats().Names; got != 1 {
			t.Fatalf("before 60 s: got %d names, want 1", got)
		}
		time.Sleep(time.Millisecond)
		if got := counter.Stats().Names; got != 0 || counter.Total("a") != 0 {
			t.Fatalf("after 60 s: got %d names, total %v, want 0, 0", got, counter.Total("a"))
		}
	})
}

// Guards against a memory leak through names that are no longer used.
func TestExpiredNamesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := NewCounter(CounterConfig{})
		for i := range 10 * minSweepSize {
			counter.add(counterCall{fmt.Sprint(i), 1, time.Millisecond})
			time.Sleep(time.Millisecond)
		}
		if n := len(counter.table.entries); n > minSweepSize {
			t.Fatalf("got %d names in the table, want at most minSweepSize", n)
		}
	})
}

// The order holds even if the shard of a later call is idle, and for malformed lines.
func TestCounterAnswersInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := startCounter(t, CounterConfig{CallsPerSecond: 2, Shards: 2})
		busyName, otherName := namesInTwoShards()
		client := dialClient(t, ln)
		start := time.Now()
		busyCall := "tally " + busyName + " 1 9000"
		client.sendLines(t, busyCall, busyCall, busyCall, "tally "+otherName+" 5 9000", "ping", "?")
		for i, want := range []string{"ok 1", "ok 2", "ok 3", "ok 5", "pong", "error"} {
			if got := <-client.lines; got != want {
				t.Fatalf("answer %d: got %q, want %q", i, got, want)
			}
			if elapsed := time.Since(start); elapsed != time.Duration(min(i+1, 3))*time.Second {
				t.Fatalf("answer %d: got it after %v, want the first three after 1s, 2s and 3s and the rest after 3s", i, elapsed)
			}
		}
	})
}

// namesInTwoShards returns names that belong to the first and the second of two shards.
func namesInTwoShards() (first, second string) {
	for i := 0; first == "" || second == ""; i++ {
		name := fmt.Sprint("n", i)
		hash := fnv.New32a()
		hash.Write([]byte(name))
		if hash.Sum32()%2 == 0 {
			first = name
		} else {
			second = name
		}
	}
	return first, second
}

// Calls for a single name cannot use the capacity of the other shards.
func TestEachShardServesEqualShareOfCapacity(t *testing.T) {
	first, second := namesInTwoShards()
	for _, c := range []struct {
		names []string
		want  time.Duration
	}{{[]string{first, first, first, first}, 4 * time.Second}, {[]string{first, second, first, second}, 2 * time.Second}} {
		t.Run(strings.Join(c.names, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 2, Shards: 2})
				start, clients := time.Now(), []*testClient{}
				for _, name := range c.names {
					client := dialClient(t, ln)
					client.sendLines(t, "tally "+name+" 1 9000")
					clients = append(clients, client)
				}
				for _, client := range clients {
					<-client.lines
				}
				if elapsed := time.Since(start); elapsed != c.want {
					t.Errorf("%v: got replies after %v, want %v", c.names, elapsed, c.want)
				}
				wantNames := len(slices.Compact(slices.Sorted(slices.Values(c.names))))
				if stats := counter.Stats(); stats.MaxWait != c.want || stats.Calls != 4 || stats.Names != wantNames {
					t.Errorf("%v: got stats %+v, want 4 calls and the wait and names of the case", c.names, stats)
				}
			})
		})
	}
}

func TestCallsAreRejectedWhenQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 1, MaxQueued: 2})
		client := dialClient(t, ln)
		call := "tally a 1 9000"
		client.sendLines(t, call, call, call, call, call)
		for i, want := range []string{"ok 1", "ok 2", "ok 3", "busy", "busy"} {
			if got := <-client.lines; got != want {
				t.Fatalf("answer %d: got %q, want %q", i, got, want)
			}
		}
		if stats := counter.Stats(); stats.Calls != 5 || stats.Rejected != 2 || stats.MaxQueued != 2 || counter.Total("a") != 3 {
			t.Fatalf("got stats %+v, total %v, want 5 calls, 2 rejected, 2 queued, total 3", stats, counter.Total("a"))
		}
	})
}

// Connections that open after the Silent state get answers.
func TestSilentCounterAddsNothingAndNeverAnswersItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{CallsPerSecond: 1})
		before := dialClient(t, ln)
		before.sendLines(t, "tally a 1 60000", "tally a 1 60000", "tally a 1 60000")
		if got := <-before.lines; got != "ok 1" {
			t.Fatalf("before state Silent: got %q, want \"ok 1\"", got)
		}
		counter.SetState(Silent)
		during := dialClient(t, ln)
		during.sendLines(t, "tally a 1 60000", "ping")
		time.Sleep(5 * time.Second)
		counter.SetState(Up)
		after := dialClient(t, ln)
		after.sendLines(t, "tally a 1 60000")
		if got := <-after.lines; got != "ok 2" {
			t.Fatalf("after state Silent: got %q, want \"ok 2\"", got)
		}
		before.sendLines(t, "tally a 1 60000")
		time.Sleep(30 * time.Second)
		if len(before.lines) > 0 || len(during.lines) > 0 || counter.Total("a") != 2 {
			t.Fatalf("got %d and %d answers on silenced connections, total %v, want 0, 0 and 2",
				len(before.lines), len(during.lines), counter.Total("a"))
		}
		counter.SetState(Down)
		for _, client := range []*testClient{before, during, after, dialClient(t, ln)} {
			if got, open := <-client.lines; open {
				t.Fatalf("in state Down: got answer %q, want a closed connection", got)
			}
		}
		counter.SetState(Up)
		after = dialClient(t, ln)
		after.sendLines(t, "tally a 1 60000")
		if got := <-after.lines; got != "ok 3" {
			t.Fatalf("after state Down: got %q, want \"ok 3\"", got)
		}
	})
}

func TestExcessAndIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter, ln := startCounter(t, CounterConfig{MaxConnectionsPerClient: 2, CallsPerSecond: 0.05})
		first, second := dialClient(t, ln), dialClient(t, ln)
		synctest.Wait()
		third := dialClient(t, ln)
		if got, open := <-third.lines; open {
			t.Fatalf("third connection: got %q, want it closed", got)
		}
		first.Close()
		synctest.Wait()
		fourth := dialClient(t, ln)
		fourth.sendLines(t, "ping")
		if got := <-fourth.lines; got != "pong" {
			t.Fatalf("connection after one has closed: got %q, want \"pong\"", got)
		}
		start := time.Now()
		second.sendLines(t, "tally a 1 60000") // queued for longer than the idle timeout
		if _, open := <-fourth.lines; open || time.Since(start) != 10*time.Second {
			t.Fatalf("idle connection: got open %v after %v, want it closed after 10s", open, time.Since(start))
		}
		if got := <-second.lines; got != "ok 1" {
			t.Fatalf("connection with a queued call: got %q, want \"ok 1\"", got)
		}
		if got := counter.Stats().Connections; got != 4 {
			t.Fatalf("got %d connections, want 4", got)
		}
	})
}

func TestCounterServesOverLoopback(t *testing.T) {
	counter, ln := NewCounter(CounterConfig{CallsPerSecond: 1e5, Shards: 4}), nettest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- counter.Serve(ln) }()
	const clientCount, callsPerClient = 8, 200
	errs := make(chan error, clientCount)
	for range clientCount {
		go func() { errs <- sendCalls(ln.Addr().String(), callsPerClient) }()
	}
	for range clientCount {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if got := counter.Total("a"); got != clientCount*callsPerClient {
		t.Errorf("got total %v, want %d", got, clientCount*callsPerClient)
	}
	counter.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		conn.Close()
		t.Error("dial after Close: got no error, want an error")
	}
}

// sendCalls pipelines calls that add one each. It returns an error if a total is not greater than the one before.
func sendCalls(address string, count int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, strings.Repeat("tally a 1 60000\r\n", count)); err != nil {
		return err
	}
	reader, lastTotal := bufio.NewReader(conn), 0.0
	for range count {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		var total float64
		if _, err := fmt.Sscanf(line, "ok %g\r\n", &total); err != nil || total <= lastTotal {
			return fmt.Errorf("got reply %q after total %v, want a greater total; parse error %v", line, lastTotal, err)
		}
		lastTotal = total
	}
	return nil
}
