package wire

import (
	"testing"
	"time"

	"lemontack/policy"
)

func TestActionsAreEncodedAsLines(t *testing.T) {
	for want, action := range map[string]policy.Action{
		"TRANSMIT\ti=1\tcall=2\tbackend=b\tstopAtUs=7\n": policy.Send{
			ID: 2, Endpoint: "b", AttemptDeadline: 7 * time.Microsecond},
		"REVOKE\ti=1\tcall=2\ttry=1\n":                     policy.Cancel{ID: 2, Attempt: 1},
		"BUSY\ti=1\tcall=2\n":                              policy.Reject{ID: 2},
		"DROP_REQUEST\ti=1\tcall=2\n":                      policy.Fail{ID: 2},
		"INCR\ti=1\tcounter=c\tadd=-1.5\tkeepForUs=1000\n": policy.IncrementCounter{Name: "c", Delta: -1.5, TTL: time.Millisecond},
		"NOTIFY\ti=1\tdest=all\tmsg=aGkgNw==\n":            policy.Gossip{To: -1, Body: []byte("hi 7")},
		"NOTIFY\ti=1\tdest=2\tmsg=-\n":                     policy.Gossip{To: 2},
		"EMIT\ti=1\ttext=a b\n":                            policy.Log{Message: "a\nb"},
		"TEST\ti=1\tbackend=b\n":                           policy.CheckHealth{Endpoint: "b"},
		"LET_GO\ti=1\tbackend=b\n":                         policy.CloseIdleConnections{Endpoint: "b"},
		"KEEP_INFORMED\ti=1\ton=1\n":                       policy.WatchEndpoints{},
		"QUERY_ALL\ti=1\n":                                 policy.FetchEndpoints{},
		"TIMER\ti=1\tspanUs=10\tref=t\n":                   policy.SetTimer{Delay: 10 * time.Microsecond},
	} {
		if got := string(AppendAction(nil, 1, action)); got != want {
			t.Errorf("%T: got %q, want %q", action, got, want)
		}
	}
}
