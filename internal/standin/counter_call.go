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
	maxNameBytes      = 64     // maximum length of a name
	maxLifetimeMillis = 60_000 // maximum lifetime of a name; a longer one is reduced to this
	maxIncrement      = 1e9    // maximum absolute value of the increment of one call
)

// Replies of the counter on the wire.
const (
	counterReplyPong  = "pong\r\n"
	counterReplyBusy  = "busy\r\n"
	counterReplyError = "error\r\n"
)

// errMalformedCall reports a line that is not a valid call of the counter.
var errMalformedCall = errors.New("malformed call")

// counterCall is a call "tally NAME ADD MILLISECONDS".
type counterCall struct {
	name      string
	increment float64
	lifetime  time.Duration
}

// parseCounterCall parses a call without its line ending. It is strict because a malformed call must add nothing.
func parseCounterCall(text string) (counterCall, error) {
	words := strings.Split(text, " ")
	if len(words) != 4 || words[0] != "tally" {
		return counterCall{}, fmt.Errorf("call %q: %w", text, errMalformedCall)
	}
	name := words[1]
	if name == "" || len(name) > maxNameBytes {
		return counterCall{}, fmt.Errorf("name %q: %w", name, errMalformedCall)
	}
	increment, err := parseDecimal(words[2])
	if err != nil || math.Abs(increment) > maxIncrement {
		return counterCall{}, fmt.Errorf("increment %q: %w", words[2], errMalformedCall)
	}
	lifetimeMillis, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil || lifetimeMillis < 1 {
		return counterCall{}, fmt.Errorf("lifetime %q: %w", words[3], errMalformedCall)
	}
	lifetime := time.Duration(min(lifetimeMillis, maxLifetimeMillis)) * time.Millisecond
	return counterCall{name, increment, lifetime}, nil
}

// parseDecimal parses a decimal number. It rejects exponents, infinities, NaN and hexadecimal numbers.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.0123456789") != "" {
		return 0, errMalformedCall
	}
	return strconv.ParseFloat(text, 64)
}

// formatTotal formats a total with seven significant digits, the precision that the protocol guarantees.
func formatTotal(total float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(total, 'e', 6, 64), 64)
	if err != nil {
		rounded = total
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
