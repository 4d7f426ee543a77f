package ingress

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemontack/internal/listener"
)

// The fault soak matches this text in the logs of ingresses to find violated invariants (internal/soak/processlog.go).
func TestViolationLogMatchesSoakPatterns(t *testing.T) {
	var log bytes.Buffer
	o := newObserver(slog.New(slog.NewTextHandler(&log, nil)))
	for violated, want := range map[invariant]string{
		invariantAnswerInTime:    "invariant=in_time ",
		invariantClientConnected: "invariant=client_left ",
		invariantEndpointServing: "invariant=drain ",
		invariantTimeLimit:       "invariant=deadline ",
	} {
		log.Reset()
		o.reportViolation(violated, &listener.Request{}, time.Second, "a reason")
		if got := log.String(); !strings.Contains(got, `msg="invariant violated" `+want) {
			t.Errorf("logged %q, want it to contain %q", got, want)
		}
	}
}
