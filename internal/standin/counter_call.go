package standin

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	maxNameBytes      = 64     // of a counter's name
	maxLifetimeMillis = 60_000 // of a name; longer ones are cut to it
	maxIncrement      = 1e9    // of one call, up or down
)

// Replies of the counter, as they stand on the wire.
const (
	counterReplyPong  = "pong\r\n"
	counterReplyBusy  = "busy\r\n"
	counterReplyError = "error\r\n"
)

// errMalformedCall says that a line is no call of the counter.
var errMalformedCall = errors.New("malformed call")

// counterCall is one "tally NAME ADD MILLISECONDS".
type counterCall struct {
	name     string
	delta    float64
	lifetime time.Duration
}

// parseCounterCall reads a call without its line's end. It is strict, since what is no call must add nothing.
func parseCounterCall(text string) (counterCall, error) {
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "tally" {
		return counterCall{}, fmt.Errorf("%q: %w", text, errMalformedCall)
	}
	name := words[1]
	if name == "" || len(name) > maxNameBytes {
		return counterCall{}, fmt.Errorf("name %q: %w", name, errMalformedCall)
	}
	delta, err := parseDecimal(words[2])
	if err != nil || math.Abs(delta) > maxIncrement {
		return counterCall{}, fmt.Errorf("increment %q: %w", words[2], errMalformedCall)
	}
	millis, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil || millis < 1 {
		return counterCall{}, fmt.Errorf("lifetime %q: %w", words[3], errMalformedCall)
	}
	lifetime := time.Duration(min(millis, maxLifetimeMillis)) * time.Millisecond
	return counterCall{name, delta, lifetime}, nil
}

// parseDecimal reads a plain decimal number: no exponent, no infinity, not hexadecimal.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.0123456789") != "" {
		return 0, errMalformedCall
	}
	return strconv.ParseFloat(text, 64)
}

// formatTotal writes a total to the seven significant digits that callers may count on.
func formatTotal(total float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(total, 'e', 6, 64), 64)
	if err != nil {
		rounded = total
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
