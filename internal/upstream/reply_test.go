package upstream

import (
	"reflect"
	"testing"

	"lemontack/policy"
)

func TestParseReply(t *testing.T) {
	load := policy.LoadReport{"qps": 7}
	value := Result{Outcome: policy.Succeeded, Value: []byte("x"), reusable: true}
	valueWithLoad := value
	valueWithLoad.LoadReport = load
	for in, want := range map[string]Result{
		"*3\r\n$1\r\nx\r\n$-1\r\n$5\r\nqps=7\r\n":         valueWithLoad,
		"*3\r\n$1\r\nx\r\n$-1\r\n$7\r\nqps=NaN\r\n":       value,
		"*3\r\n$1\r\nx\r\n$-1\r\n$12\r\nqps=7,a=+Inf\r\n": value,
		"*3\r\n$1\r\nx\r\n:7\r\n+ok\r\n":                  value,
		"*2\r\n$1\r\nx\r\n$-1\r\n":                        {Outcome: policy.Failed},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                      {Outcome: policy.Failed},
		"-ERR failed\r\n":                                 {Outcome: policy.Failed, reusable: true},
		"-ERR failed qps=7\r\n":                           {Outcome: policy.Failed, LoadReport: load, reusable: true},
		"-BUSY qps=7\r\n":                                 {Outcome: policy.Rejected, LoadReport: load, reusable: true},
		"-BUSYBODY\r\n":                                   {Outcome: policy.Failed},
		"-SYNTAX\r\n":                                     {Outcome: policy.Failed},
		"+PONG\r\n":                                       {Outcome: policy.Succeeded, reusable: true},
		"+OK\r\n":                                         {Outcome: policy.Failed},
		"$6\r\nqps=-1\r\n":                                {Outcome: policy.Succeeded, reusable: true},
	} {
		if got := parseReply([]byte(in)); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, want %+v", in, got, want)
		}
	}
}

// The usage figures of a reply contain the settled units of its request. Invalid figures are ignored, and the reply remains
// valid.
func TestParseReplySettledUnits(t *testing.T) {
	for _, c := range []struct {
		use  string
		want float64
	}{
		{"$6\r\ncost=3\r\n", 3},
		{"$16\r\nused=37,cost=2.5\r\n", 2.5},
		{"$7\r\nused=37\r\n", 0},
		{"$8\r\ncost=abc\r\n", 0},
		{"$7\r\ncost=-1\r\n", 0},
		{"$-1\r\n", 0},
	} {
		reply := parseReply([]byte("*3\r\n$2\r\nok\r\n" + c.use + "$7\r\nqueue=2\r\n"))
		if reply.Outcome != policy.Succeeded || string(reply.Value) != "ok" || reply.LoadReport["queue"] != 2 ||
			reply.SettledUnits != c.want {
			t.Errorf("use %q: outcome %v, value %q, load %v, settled %v; want %v settled",
				c.use, reply.Outcome, reply.Value, reply.LoadReport, reply.SettledUnits, c.want)
		}
	}
}
