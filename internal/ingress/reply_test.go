package ingress

import (
	"testing"

	"lemontack/policy"
)

// The figures on use tell the true units of a request; what cannot be read tells nothing, and the answer stays good.
func TestSettledUnitsOfAReply(t *testing.T) {
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
		rep := parseReply([]byte("*3\r\n$2\r\nok\r\n" + c.use + "$7\r\nqueue=2\r\n"))
		if rep.outcome != policy.Succeeded || string(rep.value) != "ok" || rep.load["queue"] != 2 || rep.settled != c.want {
			t.Errorf("use %q: outcome %v, value %q, load %v, settled %v; want %v settled",
				c.use, rep.outcome, rep.value, rep.load, rep.settled, c.want)
		}
	}
}
