package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

// The command, customer, ID, fields and body are forwarded unchanged, except that d becomes the remaining time.
func TestCommandIsForwardedWithRemainingTime(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41",
		"c=keyed,t=p,d=9000,k=5c0f,units=2,spread=1,first=0,r=1", "BODY\r\n"))
	nettest.WantValue(t, in)
	got := endpoint.received()[0]
	var remaining int
	if _, err := fmt.Sscanf(got[3], "c=keyed,t=p,d=%d,k=5c0f,units=2,spread=1,first=0,r=1", &remaining); err != nil {
		t.Fatalf("fields %q: %v", got[3], err)
	}
	if remaining < 1 || remaining > 9000 {
		t.Fatalf("d=%d, want 1 to 9000", remaining)
	}
	got[3] = ""
	if fmt.Sprint(got) != fmt.Sprint([]string{"Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41", "", "BODY\r\n"}) {
		t.Fatalf("command %q, want the client's command", got)
	}
}

// An invalid command gets one error line and is not forwarded. The connection remains open unless its framing is lost.
func TestInvalidCommandGetsOneErrorAndReachesNoEndpoint(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	addr := startIngressFor(t, endpoint)
	long := strings.Repeat("x", resp.MaxValueLength+1)
	for name, c := range map[string]struct {
		in         string
		wantClosed bool
	}{
		"unknown command":            {nettest.Command("HELLO", "3"), false},
		"no fields":                  {nettest.Command("Q.ASK"), false},
		"bad customer":               {nettest.Command("Q.ASK", "zz", "9b1f03aa5c7e2d41", nettest.ReadFields), false},
		"large customer":             {nettest.Command("Q.ASK", "ffffffffb4d65521", "9b1f03aa5c7e2d41", nettest.ReadFields), false},
		"bad id":                     {nettest.Command("Q.ASK", "00000000b4d65521", "9", nettest.ReadFields), false},
		"no d":                       {nettest.Ask(1, "c=read,t=p,units=1,spread=1,first=0"), false},
		"bad d":                      {nettest.Ask(1, "c=read,t=p,d=-1,units=1,spread=1,first=0"), false},
		"huge d":                     {nettest.Ask(1, "c=read,t=p,d=99999999999,units=1,spread=1,first=0"), false},
		"many units":                 {nettest.Ask(1, "c=read,t=p,d=9,units=5,spread=1,first=0"), false},
		"hexadecimal units":          {nettest.Ask(1, "c=read,t=p,d=9,units=0x1p1,spread=1,first=0"), false},
		"span over all gateways":     {nettest.Ask(1, "c=read,t=p,d=9,units=1,spread=2,first=0"), false},
		"first gateway out of range": {nettest.Ask(1, "c=read,t=p,d=9,units=1,spread=1,first=1"), false},
		"long key": {nettest.Command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41",
			"c=keyed,t=p,d=9,units=1,spread=1,first=0,k="+strings.Repeat("k", 300)), false},
		"empty array":    {"*0\r\n", false},
		"null array":     {"*-1\r\n", false},
		"60 MB":          {"*5\r\n$4\r\nQ.DO\r\n$60000000\r\n", true},
		"bad units":      {nettest.Ask(1, "c=read,t=p,d=9,units=NaN,spread=1,first=0"), false},
		"no value":       {nettest.Ask(1, "c=read,t=p,d"), false},
		"repeated field": {nettest.Ask(1, nettest.ReadFields+",d=7"), false},
		"unknown class":  {nettest.Ask(1, "c=odd,t=p,d=9,units=1,spread=1,first=0"), false},
		"unknown plan":   {nettest.Ask(1, "c=read,t=odd,d=9,units=1,spread=1,first=0"), false},
		"wrong command":  {nettest.Ask(1, "c=write,t=p,d=9,units=1,spread=1,first=0"), false},
		"no key": {nettest.Command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41",
			"c=keyed,t=p,d=9,units=1,spread=1,first=0"), false},
		"not an array":     {"PING\r\n", true},
		"negative bulk":    {"*1\r\n$-5\r\n", true},
		"null bulk":        {"*1\r\n$-1\r\n", false},
		"overflowing bulk": {"*1\r\n$9223372036854775807\r\n", true},
		"many elements":    {"*1000000\r\n", true},
		"oversized":        {nettest.Command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=write", long), true},
		"endless line":     {"*" + strings.Repeat("1", 4000), true},
	} {
		t.Run(name, func(t *testing.T) {
			nc, in := nettest.Dial(t, addr)
			go io.WriteString(nc, c.in)
			if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, "-ERR ") {
				t.Fatalf("reply %q, want -ERR", got)
			}
			if c.wantClosed {
				if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
					t.Fatalf("after the error: %q, %v; want the end of the connection", rest, err)
				}
				return
			}
			io.WriteString(nc, nettest.Command("PING"))
			if got := nettest.ReadLine(t, in); got != "+PONG" {
				t.Fatalf("reply %q to PING after the error, want +PONG", got)
			}
		})
	}
	if got := endpoint.received(); len(got) > 0 {
		t.Fatalf("sent to the endpoint: %q, want nothing", got)
	}
}

// Replies are written in the order of the commands, even if the endpoints reply in another order.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	endpoint := startEndpoint(t, func(_ int, args []string, _ net.Conn) string {
		if strings.HasSuffix(args[2], "1") {
			<-second // the first command is answered last
		} else {
			close(second)
		}
		return "*3\r\n$1\r\n" + args[2][15:] + "\r\n$-1\r\n$-1\r\n"
	})
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields)+nettest.Ask(2, nettest.ReadFields)+nettest.Command("PING"))
	for _, want := range []string{"$1", "1", "$1", "2", "+PONG"} {
		if got := nettest.ReadLine(t, in); got != want {
			t.Fatalf("reply line %q, want %q", got, want)
		}
	}
}

// A request's ID remains in use until its deadline, even after the answer. Another request with the same ID is not served.
func TestDuplicateRequestIDGetsAnError(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	nettest.WantValue(t, in)
	other, otherIn := nettest.Dial(t, addr)
	io.WriteString(other, nettest.Ask(1, nettest.ReadFields))
	if got := nettest.ReadLine(t, otherIn); !strings.HasPrefix(got, "-ERR") {
		t.Fatalf("reply %q, want -ERR", got)
	}
}
