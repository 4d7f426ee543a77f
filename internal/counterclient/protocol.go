package counterclient

import (
	"math"
	"strconv"
	"strings"

	"lemontack/policy"
)

// maxTotal is the maximum absolute value of a total; an answer with a greater one is malformed.
const maxTotal = 1e12

// appendCall appends the protocol line of a call. The time for which the counter keeps the name is in whole milliseconds, at
// least 1.
func appendCall(buffer []byte, increment policy.IncrementCounter) []byte {
	buffer = append(buffer, "tally "...)
	buffer = append(buffer, increment.Name...)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendFloat(buffer, increment.Delta, 'f', -1, 64)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendInt(buffer, max(1, increment.TTL.Milliseconds()), 10)
	return append(buffer, '\r', '\n')
}

// parseAnswer parses one line from the counter. The outcome is policy.Failed if the line is malformed.
func parseAnswer(line string) (outcome policy.Outcome, total float64) {
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	switch line {
	case "busy":
		return policy.Rejected, 0
	case "error": // the counter found the call invalid; nothing was added
		return policy.NotSent, 0
	}
	number, ok := strings.CutPrefix(line, "ok ")
	if !ok {
		return policy.Failed, 0
	}
	total, err := strconv.ParseFloat(number, 64)
	if err != nil || !(math.Abs(total) <= maxTotal) { // the negated form also rejects NaN
		return policy.Failed, 0
	}
	return policy.Succeeded, total
}
