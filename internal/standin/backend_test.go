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

func encodeCommand(arguments ...string) string {
	encoded := fmt.Sprintf("*%d\r\n", len(arguments))
	for _, argument := range arguments {
		encoded += BulkString(argument)
	}
	return encoded
}

func requestID(n int) string { return fmt.Sprintf("%016x", n) }

func encodeLookup(n int) string {
	return encodeCommand("Q.ASK", "00000000b4d65521", requestID(n), requestFieldsText)
}

// sendAttempt sends one request on a new connection and returns the connection.
func sendAttempt(t *testing.T, ln *PipeListener, requestNumber int) *testClient {
	t.Helper()
	client := dialClient(t, ln)
	if _, err := io.WriteString(client, encodeLookup(requestNumber)); err != nil {
		t.Fatal(err)
	}
	return client
}

// readReply returns "value" for a reply that holds a value, the first line of any other reply, and "" if the connection is
// closed.
func readReply(client *testClient) string {
	firstLine := <-client.lines
	if firstLine != "*3" {
		return firstLine
	}
	for range 4 { // length of the value, value, null for the settled units, null for the load report
		<-client.lines
	}
	return "value"
}

func TestBackendRepliesToValidAndMalformedCommands(t *testing.T) {
	order := encodeCommand("Q.DO", "00000000b4d65521", requestID(7),
		"c=order,t=team,d=0,k=5c0f,units=2.5,spread=3,first=1,r=1", "A\r\nB")
	for _, c := range []struct{ input, want string }{
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
		t.Run(fmt.Sprintf("%q", c.input), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, ln := startBackend(t, BackendConfig{})
				client := dialClient(t, ln)
				if _, err := io.WriteString(client, c.input); err != nil {
					t.Fatal(err)
				}
				if got := strings.Join(receivedLines(client.lines), " "); got != c.want {
					t.Errorf("%q: got replies %q, want %q", c.input, got, c.want)
				}
				wantMalformed := strings.HasSuffix(c.want, "-SYNTAX")
				if _, err := client.Write(nil); wantMalformed != (err != nil) {
					t.Errorf("%q: got write error %v, want connection closed %v", c.input, err, wantMalformed)
				}
				if stats := b.Stats(); (stats.Malformed == 1) != wantMalformed || stats.Served != strings.Count(c.want, "*3") ||
					stats.Connections != 1 {
					t.Errorf("%q: got stats %+v, want one connection and the attempts of the replies", c.input, stats)
				}
			})
		})
	}
}

// attemptOutcomes sends attempts at the same time, each on its own connection. It returns the number, the reply and the
// response time of each attempt.
func attemptOutcomes(t *testing.T, ln *PipeListener, count int) []string {
	t.Helper()
	start, results := time.Now(), make(chan string)
	for i := range count {
		client := sendAttempt(t, ln, i)
		synctest.Wait()
		go func() {
			results <- fmt.Sprint(i, " ", readReply(client), " ", time.Since(start).Round(time.Millisecond))
		}()
	}
	var outcomes []string
	for range count {
		outcomes = append(outcomes, <-results)
	}
	slices.Sort(outcomes)
	return outcomes
}

func TestAttemptsShareCoresThenQueueThenAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		config          BackendConfig
		want            []string
		wantMaxInFlight int
	}{
		"no limits":    {BackendConfig{}, []string{"0 value 1s", "1 value 1s", "2 value 1s"}, 3},
		"shared core":  {BackendConfig{Cores: 1}, []string{"0 value 3s", "1 value 3s", "2 value 3s"}, 3},
		"enough cores": {BackendConfig{Cores: 3}, []string{"0 value 1s", "1 value 1s", "2 value 1s"}, 3},
		"one queued": {BackendConfig{Cores: 2, Slots: 2, MaxQueued: 1},
			[]string{"0 value 1s", "1 value 1s", "2 value 2s"}, 3},
		"queue full": {BackendConfig{Cores: 1, Slots: 1, MaxQueued: 1},
			[]string{"0 value 1s", "1 value 2s", "2 -BUSY 0s"}, 2},
		"no queue": {BackendConfig{Cores: 2, Slots: 1},
			[]string{"0 value 1s", "1 -BUSY 0s", "2 -BUSY 0s"}, 1},
		"more slots than cores": {BackendConfig{Cores: 1, Slots: 2, MaxQueued: 9},
			[]string{"0 value 2s", "1 value 2s", "2 value 3s"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.config.ServiceTime = constantServiceTime(time.Second)
				b, ln := startBackend(t, c.config)
				if got := attemptOutcomes(t, ln, 3); !slices.Equal(got, c.want) {
					t.Errorf("got outcomes %q, want %q", got, c.want)
				}
				wantRejected := strings.Count(strings.Join(c.want, " "), "BUSY")
				want := BackendStats{Connections: 3, Attempts: 3, Served: 3 - wantRejected, Rejected: wantRejected,
					MaxInFlight: c.wantMaxInFlight}
				if stats := b.Stats(); stats != want {
					t.Errorf("got stats %+v, want %+v", stats, want)
				}
			})
		})
	}
}

func TestSecondAttemptSlowsFirstOnSharedCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1})
		start := time.Now()
		first := sendAttempt(t, ln, 1)
		time.Sleep(500 * time.Millisecond)
		second := sendAttempt(t, ln, 2)
		readReply(first)
		if elapsed := time.Since(start).Round(time.Millisecond); elapsed != 1500*time.Millisecond {
			t.Errorf("got reply to the first attempt after %v, want 1.5s", elapsed)
		}
		readReply(second)
		if elapsed := time.Since(start).Round(time.Millisecond); elapsed != 2*time.Second {
			t.Errorf("got reply to the second attempt after %v, want 2s", elapsed)
		}
	})
}

// Pipelined commands start at the same time and may complete in another order than that of their replies.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serviceTimes := []time.Duration{0, time.Second, 0} // the first element is used for all draws that compute the mean
		draws := 0
		_, ln := startBackend(t, BackendConfig{LoadReports: true, Slots: 2, Cores: 2, ServiceTime: func(*rand.Rand) time.Duration {
			draws++
			return serviceTimes[max(0, draws-meanServiceTimeSamples)]
		}})
		client := dialClient(t, ln)
		if _, err := io.WriteString(client, encodeLookup(1)+encodeLookup(2)); err != nil {
			t.Fatal(err)
		}
		got := receivedLines(client.lines)
		if len(got) > 0 {
			t.Fatalf("got replies %q before the first command completed, want none", got)
		}
		time.Sleep(time.Second + time.Millisecond)
		wantReply := func(requestNumber int, report string) []string {
			return []string{"*3", "$16", requestID(requestNumber), "$-1", fmt.Sprint("$", len(report)), report}
		}
		want := append(wantReply(1, "inflight=0,queue=0,util=0.00"), wantReply(2, "inflight=1,queue=0,util=0.50")...)
		if got := receivedLines(client.lines); !slices.Equal(got, want) {
			t.Fatalf("got replies %q, want %q", got, want)
		}
	})
}

// An attempt that is in service continues after its connection closes.
func TestQueuedAttemptIsRemovedWhenConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1, Slots: 1, MaxQueued: 9})
		first, second, third := sendAttempt(t, ln, 1), sendAttempt(t, ln, 2), sendAttempt(t, ln, 3)
		synctest.Wait()
		first.Close()
		second.Close()
		start := time.Now()
		if got := readReply(third); got != "value" || time.Since(start).Round(time.Millisecond) != 2*time.Second {
			t.Fatalf("got reply %s after %v, want value after 2s", got, time.Since(start))
		}
		if stats := b.Stats(); stats.Served != 2 || stats.Attempts != 3 {
			t.Fatalf("got stats %+v, want 3 attempts, 2 served", stats)
		}
	})
}

func TestColdBackendSpeedIncreasesWithAge(t *testing.T) {
	for _, c := range []struct {
		age, want time.Duration // age of the backend when the attempt arrives, response time
	}{
		// The speed at age t seconds is 0.25 + 0.075t. An attempt with 1 s of work takes x seconds.
		{0, 2805 * time.Millisecond},               // 0.25x + 0.0375x² = 1
		{5 * time.Second, 1505 * time.Millisecond}, // 0.625x + 0.0375x² = 1
		{10 * time.Second, time.Second},
		{time.Hour, time.Second},
	} {
		t.Run(c.age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 4,
					WarmUp: WarmUp{MinSpeed: 0.25, Duration: 10 * time.Second}, StartedAt: time.Now()})
				time.Sleep(c.age)
				start := time.Now()
				readReply(sendAttempt(t, ln, 1))
				if elapsed := time.Since(start); elapsed < c.want-50*time.Millisecond || elapsed > c.want+50*time.Millisecond {
					t.Errorf("age %v: got response time %v, want %v", c.age, elapsed, c.want)
				}
			})
		})
	}
}

// A crash resets the open connections and refuses new ones.
func TestColdBackendCrashesAboveOverloadLimit(t *testing.T) {
	cold := BackendConfig{ServiceTime: constantServiceTime(100 * time.Millisecond), Cores: 2,
		WarmUp:   WarmUp{MinSpeed: 0.5, Duration: 1e6 * time.Hour},
		Overload: OverloadLimit{CapacityMultiple: 1.6, Window: time.Second}} // limit of 16 attempts per second
	withSlack, warm, spaced := cold, cold, cold
	withSlack.Overload.Slack = 2 // limit of 16 + 2*(√16 + 1) attempts
	warm.WarmUp.Duration = time.Nanosecond
	for name, c := range map[string]struct {
		config    BackendConfig
		interval  time.Duration
		wantLimit int // attempts before the crash; zero means no crash
	}{
		"cold":   {cold, 0, 16},
		"slack":  {withSlack, 0, 26},
		"spaced": {spaced, time.Second / 16, 0},
		"warm":   {warm, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.config.StartedAt = time.Now()
				time.Sleep(time.Millisecond)
				b, ln := startBackend(t, c.config)
				client := dialClient(t, ln)
				for attempts := 1; attempts <= 100; attempts++ {
					if _, err := io.WriteString(client, encodeLookup(attempts)); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
					stats := b.Stats()
					if stats.Attempts != attempts || stats.Crashed != (attempts == c.wantLimit+1 && c.wantLimit > 0) {
						t.Fatalf("after %d attempts: got stats %+v, want a crash only above the limit", attempts, stats)
					}
					if stats.Crashed {
						break
					}
					time.Sleep(c.interval)
				}
				if c.wantLimit == 0 {
					return
				}
				if _, err := client.Write([]byte("*")); err == nil {
					t.Error("got no error writing to a connection of a crashed backend")
				}
				if _, err := ln.Dial(t.Context()); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Errorf("dial: got error %v, want ECONNREFUSED", err)
				}
			})
		})
	}
}

// An attempt arrives before Drain if its first byte does.
func TestDrainingBackendCompletesAdmittedAndRejectsNewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, ln := startBackend(t, BackendConfig{ServiceTime: constantServiceTime(time.Second), Cores: 1, Slots: 1, MaxQueued: 9})
		inService, queued := sendAttempt(t, ln, 1), sendAttempt(t, ln, 2)
		partial := dialClient(t, ln)
		head, tail := encodeLookup(3)[:9], encodeLookup(3)[9:]
		io.WriteString(partial, head)
		time.Sleep(time.Millisecond)
		b.Drain()
		time.Sleep(time.Millisecond)
		io.WriteString(partial, tail)
		late := sendAttempt(t, ln, 4)
		if got := readReply(late); got != "-BUSY" {
			t.Errorf("attempt after Drain: got %s, want -BUSY", got)
		}
		for i, client := range []*testClient{inService, queued, partial} {
			if got := readReply(client); got != "value" {
				t.Errorf("attempt %d: got %s, want value", i+1, got)
			}
		}
		if stats := b.Stats(); stats.ArrivedAfterDrain != 1 || stats.Attempts != 4 || stats.Served != 3 || stats.Rejected != 1 {
			t.Errorf("got stats %+v, want 4 attempts, 3 served, 1 rejected, 1 arrived after Drain", stats)
		}
	})
}

func TestServiceTimesDependOnSeed(t *testing.T) {
	drawOutcomes := func(seed uint64) (got []string) {
		synctest.Test(t, func(t *testing.T) {
			_, ln := startBackend(t, BackendConfig{Seed: seed, ServiceTime: func(rng *rand.Rand) time.Duration {
				return time.Duration(rng.ExpFloat64() * float64(time.Second))
			}})
			got = attemptOutcomes(t, ln, 4)
		})
		return got
	}
	first, repeated, otherSeed := drawOutcomes(1), drawOutcomes(1), drawOutcomes(2)
	if !slices.Equal(first, repeated) || slices.Equal(first, otherSeed) {
		t.Fatalf("got %v, %v with the same seed and %v with another, want the first two equal and the third different",
			first, repeated, otherSeed)
	}
}

func TestBackendServesOverLoopback(t *testing.T) {
	b := NewBackend(BackendConfig{Cores: 2, Slots: 4, MaxQueued: 1 << 10,
		ServiceTime: constantServiceTime(100 * time.Microsecond)})
	ln := nettest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- b.Serve(ln) }()
	const connections, requests = 4, 50
	errs := make(chan error, connections)
	for i := range connections {
		go func() { errs <- sendRequests(ln.Addr().String(), i*requests, requests) }()
	}
	for range connections {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if stats := b.Stats(); stats.Served != connections*requests || stats.Connections != connections || stats.Rejected != 0 ||
		stats.MaxInFlight > connections {
		t.Errorf("got stats %+v, want 4 connections, 200 attempts served, none rejected and at most 4 in flight", stats)
	}
	b.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		conn.Close()
		t.Error("dial after Close: got no error, want an error")
	}
}

// sendRequests sends requests one after another on one connection. It returns an error if a reply does not hold the ID of
// its request.
func sendRequests(address string, firstNumber, count int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for requestNumber := firstNumber; requestNumber < firstNumber+count; requestNumber++ {
		if _, err := io.WriteString(conn, encodeLookup(requestNumber)); err != nil {
			return err
		}
		want := "*3\r\n" + BulkString(requestID(requestNumber)) + "$-1\r\n$-1\r\n"
		got := make([]byte, len(want))
		if _, err := io.ReadFull(reader, got); err != nil || string(got) != want {
			return fmt.Errorf("request %d: got reply %q, error %v", requestNumber, got, err)
		}
	}
	return nil
}
