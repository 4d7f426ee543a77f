package wire

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"lemontack/policy"
)

// lineBuilder appends one line to a buffer: its name and its fields, separated by tabs.
type lineBuilder struct{ buf []byte }

func newLine(buf []byte, name string, instance int) *lineBuilder {
	l := &lineBuilder{buf: append(buf, name...)}
	return l.integer("i", int64(instance))
}

func (l *lineBuilder) text(name, value string) *lineBuilder {
	l.buf = append(l.buf, '\t')
	l.buf = append(l.buf, name...)
	l.buf = append(l.buf, '=')
	l.buf = append(l.buf, value...)
	return l
}

func (l *lineBuilder) integer(name string, value int64) *lineBuilder {
	return l.text(name, strconv.FormatInt(value, 10))
}

// float appends a number without an exponent, in as few digits as identify it.
func (l *lineBuilder) float(name string, value float64) *lineBuilder {
	return l.text(name, strconv.FormatFloat(value, 'f', -1, 64))
}

func (l *lineBuilder) microseconds(name string, d time.Duration) *lineBuilder {
	return l.integer(name, d.Microseconds())
}

func (l *lineBuilder) requestID(id policy.RequestID) *lineBuilder {
	return l.integer("call", int64(id))
}

func (l *lineBuilder) endpoint(id policy.EndpointID) *lineBuilder {
	return l.text("backend", string(id))
}

// end ends the line and returns the buffer.
func (l *lineBuilder) end() []byte { return append(l.buf, '\n') }

// AppendAction appends the line for one action of an instance.
func AppendAction(buf []byte, instance int, action policy.Action) []byte {
	switch a := action.(type) {
	case policy.Send:
		return appendSend(buf, instance, a)
	case policy.Cancel:
		return newLine(buf, "REVOKE", instance).
			requestID(a.ID).
			integer("try", int64(a.Attempt)).
			end()
	case policy.Reject:
		return appendReject(buf, instance, a)
	case policy.Fail:
		return newLine(buf, "DROP_REQUEST", instance).
			requestID(a.ID).
			end()
	case policy.SetTimer:
		return newLine(buf, "TIMER", instance).
			microseconds("spanUs", a.Delay).
			text("ref", "t").
			end()
	case policy.CheckHealth:
		return newLine(buf, "TEST", instance).
			endpoint(a.Endpoint).
			end()
	case policy.CloseIdleConnections:
		return newLine(buf, "LET_GO", instance).
			endpoint(a.Endpoint).
			end()
	case policy.Gossip:
		return appendGossip(buf, instance, a)
	case policy.IncrementCounter:
		return newLine(buf, "INCR", instance).
			text("counter", a.Name).
			float("add", a.Delta).
			microseconds("keepForUs", a.TTL).
			end()
	case policy.WatchEndpoints:
		return newLine(buf, "KEEP_INFORMED", instance).
			text("on", "1").
			end()
	case policy.FetchEndpoints:
		return newLine(buf, "QUERY_ALL", instance).
			end()
	case policy.Log:
		return newLine(buf, "EMIT", instance).
			text("text", oneLine(a.Message)).
			end()
	}
	return buf
}

func appendSend(buf []byte, instance int, a policy.Send) []byte {
	line := newLine(buf, "TRANSMIT", instance).
		requestID(a.ID).
		endpoint(a.Endpoint)
	if a.AttemptDeadline > 0 {
		line.microseconds("stopAtUs", a.AttemptDeadline)
	}
	return line.end()
}

func appendReject(buf []byte, instance int, a policy.Reject) []byte {
	line := newLine(buf, "BUSY", instance).
		requestID(a.ID)
	if a.RetryAfter > 0 {
		line.microseconds("retryInUs", a.RetryAfter)
	}
	return line.end()
}

func appendGossip(buf []byte, instance int, a policy.Gossip) []byte {
	destination := "all"
	if a.To >= 0 {
		destination = strconv.Itoa(a.To)
	}
	body := absentValue
	if len(a.Body) > 0 {
		body = base64.StdEncoding.EncodeToString(a.Body)
	}
	return newLine(buf, "NOTIFY", instance).
		text("dest", destination).
		text("msg", body).
		end()
}

// AppendFault appends the line that reports that an instance has failed.
func AppendFault(buf []byte, instance int, text string) []byte {
	return newLine(buf, "PANIC", instance).
		text("text", oneLine(text)).
		end()
}

// oneLine replaces each character that separates lines or fields by a space.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' || r == '\t' {
			return ' '
		}
		return r
	}, text)
}
