package counterclient

import (
	"math"
	"strconv"
	"strings"

	"lemontack/policy"
)

// maxTotal is the maximum of a total, positive or negative; an answer beyond it is an error of the counter.
const maxTotal = 1e12

// appendCall appends the line of a call. The time for which the counter keeps the name is in whole milliseconds, from 1.
func appendCall(buffer []byte, increment policy.IncrementCounter) []byte {
	buffer = append(buffer, "tally "...)
	buffer = append(buffer, increment.Name...)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendFloat(buffer, increment.Delta, 'f', -1, 64)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendInt(buffer, max(1, increment.TTL.Milliseconds()), 10)
	return append(buffer, '\r', '\n')
}

// parseAnswer parses one line of the counter. The outcome is policy.Failed if it cannot be read.
func parseAnswer(line string) (outcome policy.Outcome, total float64) {
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	switch line {
	case "busy":
		return policy.Rejected, 0
	case "error": // no such call: nothing was added
		return policy.NotSent, 0
	}
	number, isTotal := strings.CutPrefix(line, "ok ")
	if !isTotal {
		return policy.Failed, 0
	}
	total, err := strconv.ParseFloat(number, 64)
	if err != nil || !(math.Abs(total) <= maxTotal) { // neither too large nor NaN
		return policy.Failed, 0
	}
	return policy.Succeeded, total
}
