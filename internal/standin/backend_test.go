package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/nettest"
)

func constantServiceTime(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

const requestFieldsText = "c=lookup,t=team,d=480,units=2,spread=3,first=1"

func encodeCommand(w ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(w))
	for _, a := range w {
		s += BulkString(a)
	}
	return s
}

func requestID(n int) string { return fmt.Sprintf("%016x", n) }

func encodeLookup(n int) string {
	return encodeCommand("Q.ASK", "00000000b4d65521", requestID(n), requestFieldsText)
}

// sendAttempt sends one request on a connection of its own, which it returns.
func sendAttempt(t *testing.T, ln *PipeListener, n int) *testClient {
	t.Helper()
	c := dialClient(t, ln)
	if _, err := io.WriteString(c, encodeLookup(n)); err != nil {
		t.Fatal(err)
	}
	return c
}

// readReply returns "value" for an answer that holds one, and else its first line; "" at the end of the connection.
func readReply(c *testClient) string {
	first := <-c.lines
	if first != "*3" {
		return first
	}
	for range 4 { // the value's length, the value, no settled units, no load report
		<-c.lines
	}
	return "value"
}

func TestBackendAnswersCommandsByTheirForm(t *testing.T) {
	order := encodeCommand("Q.DO", "00000000b4d65521", requestID(7),
		"c=order,t=team,d=0,k=5c0f,units=2.5,spread=3,first=1,r=1", "A\r\nB")
	for _, c := range []struct{ in, want string }{
		{encodeLookup(7), "*3 $16 " + requestID(7) + " $-1 $-1"},
		{order, "*3 $16 " + requestID(7) + " $-1 $-1"},
		{encodeCommand("CLIENT", "SETNAME", "x"), "+OK"},
		{encodeCommand("SELECT", "0"), "+OK"},
		{encodeCommand("HELLO", "3"), "-ERR unknown command"},
		{encodeCommand("PING"), "-ERR unknown command"},
		{encodeLookup(1) + encodeCommand("Q.ASK"), "*3 $16 " + requestID(1) + " $-1 $-1 -SYNTAX"},
		{"PING\r\n", "-SYNTAX"},
		{"*0\r\n", "-SYNTAX"},
		{"*-1\r\n", "-SYNTAX"},
		{"*1\r\n$65537\r\n", "-SYNTAX"},
		{"*1\r\n$4\r\nPINGxx", "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", requestID(7), requestFieldsText, "BODY"), "-SYNTAX"},
		{encodeCommand("Q.DO", "00000000b4d65521", requestID(7), requestFieldsText), "-SYNTAX"},
		{encodeCommand("Q.ASK", "b4d65521", requestID(7), requestFieldsText), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000002b4d65521", requestID(7), requestFieldsText), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", "7", requestFieldsText), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", requestID(7), requestFieldsText+",d=1"), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", requestID(7), requestFieldsText+",r"), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", requestID(7),
			strings.Replace(requestFieldsText, "d=480", "d=-1", 1)), "-SYNTAX"},
		{encodeCommand("Q.ASK", "00000000b4d65521", requestID(7),
			strings.Replace(requestFieldsText, "d=480,", "", 1)), "-SYNTAX"},
	} {
		t.Run(fmt.Sprintf("%q", c.in), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, ln := startBackend(t, BackendConfig{})
				nc := dialClient(t, ln)
				if _, err := io.WriteString(nc, c.in); err != nil {
					t.Fatal(err)
				}
				if got := strings.Join(receivedLines(nc.lines), " "); got != c.want {
					t.Errorf("%q: %q, want %q", c.in, got, c.want)
				}
				odd := strings.HasSuffix(c.want, "-SYNTAX")
				if _, err := nc.Write(nil); odd != (err != nil) {
					t.Errorf("%q: closed %v, want %v", c.in, err, odd)
				}
				if s := b.Stats(); (s.Malformed == 1) != odd || s.Served != strings.Count(c.want, "*3") || s.Connections != 1 {
					t.Errorf("%q: %+v", c.in, s)
				}
			})
		})
	}
}

// attemptOutcomes sends attempts at once, each on a connection of its own, and returns for each its number, its outcome
// and its time.
func attemptOutcomes(t *testing.T, ln *PipeListener, attempts int) []string {
	t.Helper()
	began, done := time.Now(), make(chan string)
	for n := range attempts {
		c := sendAttempt(t, ln, n)
		synctest.Wait()
		go func() { done <- fmt.Sprint(n, " ", readReply(c), " ", time.Since(began).Round(time.Millisecond)) }()
	}
	var all []string
	for range attempts {
		all = append(all, <-done)
	}
	slices.Sort(all)
	return all
}

func TestAttemptsShareCoresThenQueueThenAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  BackendConfig
		want []string
		most int
	}{
		"no bound":     {BackendConfig{}, []string{"0 value 1s", "1 value 1s", "2 value 1s"}, 3},
		"shared core":  {BackendConfig{Cores: 1}, []string{"0 value 3s", "1 value 3s", "2 value 3s"}, 3},
		"enough cores": {BackendConfig{Cores: 3}, []string{"0 value 1s", "1 value 1s", "2 value 1s"}, 3},
		"one waits": {BackendConfig{Cores: 2, Slots: 2, MaxQueued: 1},
			[]string{"0 value 1s", "1 value 1s", "2 value 2s"}, 3},
		"no place": {BackendConfig{Cores: 1, Slots: 1, MaxQueued: 1},
			[]string{"0 value 1s", "1 value 2s", "2 -BUSY 0s"}, 2},
		"no queue": {BackendConfig{Cores: 2, Slots: 1},
			[]string{"0 value 1s", "1 -BUSY 0s", "2 -BUSY 0s"}, 1},
		"more slots than cores": {BackendConfig{Cores: 1, Slots: 2, MaxQueued: 9},
			[]string{"0 value 2s", "1 value 2s", "2 value 3s"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.cfg.ServiceTime = constantServiceTime(time.Second)
				b, ln := startBackend(t, c.cfg)
				if got := attemptOutcomes(t, ln, 3); !slices.Equal(got, c.want) {
					t.Errorf("%q, want %q", got, c.want)
				}
				away := strings.Count(strings.Join(c.want, " "), "BUSY")
				want := BackendStats{Connections: 3, Attempts: 3, Served: 3 - away, Rejected: away, MaxInFlight: c.most}
				if s := b.Stats(); s != want {
					t.Errorf("%+v, want %+v", s, want)
				}
			})
		})
	}
}

func TestLaterAttemptSlowsTheFirstWhileTheyShareACore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1})
		began := time.Now()
		first := sendAttempt(t, ln, 1)
		time.Sleep(500 * time.Millisecond)
		second := sendAttempt(t, ln, 2)
		readReply(first)
		if took := time.Since(began).Round(time.Millisecond); took != 1500*time.Millisecond {
			t.Errorf("the first took %v", took)
		}
		readReply(second)
		if took := time.Since(began).Round(time.Millisecond); took != 2*time.Second {
			t.Errorf("the second ended after %v", took)
		}
	})
}

// Pipelined commands start at once, whatever the order in which they end.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		works := []time.Duration{0, time.Second, 0} // the first draws are for the mean
		draws := 0
		_, ln := startBackend(t, BackendConfig{LoadReports: true, Slots: 2, Cores: 2, ServiceTime: func(*rand.Rand) time.Duration {
			draws++
			return works[max(0, draws-meanServiceTimeSamples)]
		}})
		nc := dialClient(t, ln)
		if _, err := io.WriteString(nc, encodeLookup(1)+encodeLookup(2)); err != nil {
			t.Fatal(err)
		}
		got := receivedLines(nc.lines)
		if len(got) > 0 {
			t.Fatalf("%q before the first one's end", got)
		}
		time.Sleep(time.Second + time.Millisecond)
		answer := func(n int, report string) []string {
			return []string{"*3", "$16", requestID(n), "$-1", fmt.Sprint("$", len(report)), report}
		}
		want := append(answer(1, "inflight=0,queue=0,util=0.00"), answer(2, "inflight=1,queue=0,util=0.50")...)
		if got := receivedLines(nc.lines); !slices.Equal(got, want) {
			t.Fatalf("%q, want %q", got, want)
		}
	})
}

// One in service goes on.
func TestQueuedAttemptLeavesWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1, Slots: 1, MaxQueued: 9})
		first, second, third := sendAttempt(t, ln, 1), sendAttempt(t, ln, 2), sendAttempt(t, ln, 3)
		synctest.Wait()
		first.Close()
		second.Close()
		began := time.Now()
		if got := readReply(third); got != "value" || time.Since(began).Round(time.Millisecond) != 2*time.Second {
			t.Fatalf("%s after %v", got, time.Since(began))
		}
		if s := b.Stats(); s.Served != 2 || s.Attempts != 3 {
			t.Fatalf("%+v", s)
		}
	})
}

func TestColdBackendIsSlowerTheYoungerItIs(t *testing.T) {
	for _, c := range []struct {
		age, want time.Duration // of the backend when the attempt comes; time that this takes
	}{
		// At 0.25 + 0.075/s an attempt of 1 s takes 2.82 s: 0.25x + 0.0375x² is 1.
		{0, 2805 * time.Millisecond},
		{5 * time.Second, 1505 * time.Millisecond}, // 0.625x + 0.0375x² is 1
		{10 * time.Second, time.Second},
		{time.Hour, time.Second},
	} {
		t.Run(c.age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 4,
					WarmUp: WarmUp{MinSpeed: 0.25, Duration: 10 * time.Second}, StartedAt: time.Now()})
				time.Sleep(c.age)
				began := time.Now()
				readReply(sendAttempt(t, ln, 1))
				if took := time.Since(began); took < c.want-50*time.Millisecond || took > c.want+50*time.Millisecond {
					t.Errorf("at %v: %v, want %v", c.age, took, c.want)
				}
			})
		})
	}
}

// It resets the connections that are open and refuses new ones.
func TestColdBackendCrashesBeyondItsLimit(t *testing.T) {
	cold := BackendConfig{ServiceTime: constantServiceTime(100 * time.Millisecond), Cores: 2,
		WarmUp:   WarmUp{MinSpeed: 0.5, Duration: 1e6 * time.Hour},
		Overload: OverloadLimit{CapacityMultiple: 1.6, Window: time.Second}} // 16 in a second
	slack, warm, spaced := cold, cold, cold
	slack.Overload.Slack = 2 // 16 + 2 x 4 + 2
	warm.WarmUp.Duration = time.Nanosecond
	for name, c := range map[string]struct {
		cfg   BackendConfig
		pause time.Duration
		limit int // attempts that it bears; 0: any number
	}{
		"cold":   {cold, 0, 16},
		"slack":  {slack, 0, 26},
		"spaced": {spaced, time.Second / 16, 0},
		"warm":   {warm, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.cfg.StartedAt = time.Now()
				time.Sleep(time.Millisecond)
				b, ln := startBackend(t, c.cfg)
				nc := dialClient(t, ln)
				for n := 1; n <= 100; n++ {
					if _, err := io.WriteString(nc, encodeLookup(n)); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
					s := b.Stats()
					if s.Attempts != n || s.Crashed != (n == c.limit+1 && c.limit > 0) {
						t.Fatalf("after %d: %+v", n, s)
					}
					if s.Crashed {
						break
					}
					time.Sleep(c.pause)
				}
				if c.limit == 0 {
					return
				}
				if _, err := nc.Write([]byte("*")); err == nil {
					t.Error("the connection stays")
				}
				if _, err := ln.Dial(t.Context()); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Errorf("a new connection: %v", err)
				}
			})
		})
	}
}

// Whether an attempt came before Drain is decided by its first byte.
func TestDrainingBackendFinishesAndRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1, Slots: 1, MaxQueued: 9})
		working, waiting := sendAttempt(t, ln, 1), sendAttempt(t, ln, 2)
		begun := dialClient(t, ln)
		begin, end := encodeLookup(3)[:9], encodeLookup(3)[9:]
		io.WriteString(begun, begin)
		time.Sleep(time.Millisecond)
		b.Drain()
		time.Sleep(time.Millisecond)
		io.WriteString(begun, end)
		late := sendAttempt(t, ln, 4)
		if got := readReply(late); got != "-BUSY" {
			t.Errorf("the late one: %s", got)
		}
		for i, c := range []*testClient{working, waiting, begun} {
			if got := readReply(c); got != "value" {
				t.Errorf("attempt %d: %s", i+1, got)
			}
		}
		if s := b.Stats(); s.ArrivedAfterDrain != 1 || s.Attempts != 4 || s.Served != 3 || s.Rejected != 1 {
			t.Errorf("%+v", s)
		}
	})
}

func TestServiceTimesFollowTheSeed(t *testing.T) {
	draw := func(seed uint64) (got []string) {
		synctest.Test(t, func(t *testing.T) {
			_, ln := startBackend(t, BackendConfig{Seed: seed, ServiceTime: func(rng *rand.Rand) time.Duration {
				return time.Duration(rng.ExpFloat64() * float64(time.Second))
			}})
			got = attemptOutcomes(t, ln, 4)
		})
		return got
	}
	one, again, other := draw(1), draw(1), draw(2)
	if !slices.Equal(one, again) || slices.Equal(one, other) {
		t.Fatalf("%v, %v, %v", one, again, other)
	}
}

func TestBackendOnLoopback(t *testing.T) {
	b := NewBackend(BackendConfig{Cores: 2, Slots: 4, MaxQueued: 1 << 10,
		ServiceTime: constantServiceTime(100 * time.Microsecond)})
	ln := nettest.Listen(t)
	done := make(chan error, 1)
	go func() { done <- b.Serve(ln) }()
	const conns, requests = 4, 50
	results := make(chan error, conns)
	for c := range conns {
		go func() { results <- requestMany(ln.Addr().String(), c*requests, requests) }()
	}
	for range conns {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if s := b.Stats(); s.Served != conns*requests || s.Connections != conns || s.Rejected != 0 || s.MaxInFlight > conns {
		t.Errorf("%+v", s)
	}
	b.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connected after the end")
	}
}

// requestMany sends one request after another on one connection, and returns an error unless each gets its own answer.
func requestMany(addr string, first, requests int) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	for n := first; n < first+requests; n++ {
		if _, err := io.WriteString(nc, encodeLookup(n)); err != nil {
			return err
		}
		want := "*3\r\n" + BulkString(requestID(n)) + "$-1\r\n$-1\r\n"
		got := make([]byte, len(want))
		if _, err := io.ReadFull(in, got); err != nil || string(got) != want {
			return fmt.Errorf("request %d: %q, %v", n, got, err)
		}
	}
	return nil
}
