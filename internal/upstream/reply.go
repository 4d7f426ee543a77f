package upstream

import (
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"lemontack/policy"
)

// maxLoadValue is the largest figure of a load report; one beyond is taken for a fault of the endpoint.
const maxLoadValue = 1e9

// Result is what became of an attempt: an endpoint's reply, or an outcome without one.
type Result struct {
	Outcome      policy.Outcome
	Value        []byte            // nil: none
	SettledUnits float64           // the units that the request has cost, where the reply tells; else 0
	LoadReport   policy.LoadReport // nil: none

	// reusable reports that the reply is of a known form and nothing stands behind it: the connection is in order.
	reusable bool
}

// parseReply reads a whole frame from an endpoint. Whatever is not of a known form has failed and may have been executed, and
// the connection that brought it is not trusted any further.
func parseReply(frame []byte) Result {
	_, value := redcon.ReadNextRESP(frame)
	switch value.Type {
	case redcon.Error:
		return parseErrorReply(string(value.Data))
	case redcon.String:
		if string(value.Data) == "PONG" {
			return Result{Outcome: policy.Succeeded, reusable: true}
		}
	case redcon.Bulk:
		if value.Data != nil {
			return Result{Outcome: policy.Succeeded, reusable: true, LoadReport: parseLoadReport(string(value.Data))}
		}
	case redcon.Array:
		if value.Count == 3 {
			return parseValueReply(value)
		}
	}
	return Result{Outcome: policy.Failed}
}

// parseErrorReply reads an error; its last word may be a load report.
func parseErrorReply(text string) Result {
	code, rest, _ := strings.Cut(text, " ")
	result := Result{Outcome: policy.Failed, reusable: code == "ERR" || code == "BUSY"}
	if code == "BUSY" {
		result.Outcome = policy.Rejected
	}
	if i := strings.LastIndexByte(rest, ' '); i >= 0 {
		rest = rest[i+1:]
	}
	result.LoadReport = parseLoadReport(rest)
	return result
}

// parseValueReply reads the reply to a request: the value, the figures on use, the load report. The latter two may be
// unreadable.
func parseValueReply(array redcon.RESP) Result {
	result := Result{Outcome: policy.Failed}
	i := 0
	array.ForEach(func(element redcon.RESP) bool {
		bulk := element.Type == redcon.Bulk
		switch {
		case i == 0 && bulk && element.Data != nil:
			result.Outcome, result.reusable = policy.Succeeded, true
			result.Value = append(make([]byte, 0, len(element.Data)), element.Data...)
		case i == 1 && bulk:
			result.SettledUnits = parseLoadReport(string(element.Data))["cost"]
		case i == 2 && bulk:
			result.LoadReport = parseLoadReport(string(element.Data))
		}
		i++
		return true
	})
	return result
}

// parseLoadReport reads figures such as inflight=7,queue=2; nil where it is none. One unreadable figure discards them all: the
// policy averages what it is told, and would not forget a figure that is no number.
func parseLoadReport(text string) policy.LoadReport {
	report := policy.LoadReport{}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || name == "" || !(value >= 0 && value <= maxLoadValue) {
			return nil
		}
		report[name] = value
	}
	return report
}
