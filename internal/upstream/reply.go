package upstream

import (
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"lemontack/policy"
)

// maxLoadValue is the largest valid value in a load report. A report with a larger one is ignored.
const maxLoadValue = 1e9

// Result is the result of an attempt: the endpoint's reply, or an outcome without a reply.
type Result struct {
	Outcome      policy.Outcome
	Value        []byte            // nil if there is none
	SettledUnits float64           // units that the request has cost according to the reply; zero if not reported
	LoadReport   policy.LoadReport // nil if there is none

	// reusable reports whether the connection may be reused: the reply has a known form, and no further data follows it.
	reusable bool
}

// parseReply parses a complete RESP frame from an endpoint. A reply of unknown form has the outcome Failed, so that its
// command may have been executed, and its connection is not reused.
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

// parseErrorReply parses an error reply, whose last word may be a load report.
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

// parseValueReply parses the reply to a request: the value, the usage figures and the load report. Invalid usage figures and load
// reports are ignored.
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

// parseLoadReport parses a list such as inflight=7,queue=2. It returns nil if any entry is invalid, because the policy
// averages the values, and a single NaN or infinity would make the average unusable permanently.
func parseLoadReport(text string) policy.LoadReport {
	report := policy.LoadReport{}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(pair, "=")
		loadValue, err := strconv.ParseFloat(number, 64)
		if err != nil || name == "" || !(loadValue >= 0 && loadValue <= maxLoadValue) {
			return nil
		}
		report[name] = loadValue
	}
	return report
}
