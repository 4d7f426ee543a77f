package wire

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lemontack/policy"
)

const (
	requestIDBits    = 32    // size of a request id
	countBits        = 31    // size of a count or an instance number
	microsecondsBits = 53    // size of a time; the simulator uses float64, which is exact up to 53 bits
	maxMagnitude     = 1e300 // largest absolute value of a number
)

// Errors of a field; a ParseError wraps them.
var (
	errMissing   = errors.New("missing")
	errNotFinite = errors.New("not a finite number")
)

// lineFields holds the values of the name=value fields of a line, by name.
type lineFields map[string]string

// splitLine splits a line into its name and its fields. The value of the field facts extends to the end of the line.
func splitLine(text string) (name string, fields lineFields) {
	name, rest, _ := strings.Cut(text, "\t")
	fields = make(lineFields, 8)
	for rest != "" {
		if facts, ok := strings.CutPrefix(rest, "facts="); ok {
			fields["facts"] = facts
			break
		}
		var pair string
		pair, rest, _ = strings.Cut(rest, "\t")
		if key, value, ok := strings.Cut(pair, "="); ok {
			fields[key] = value
		}
	}
	return name, fields
}

// fieldParser parses the fields of a line. It keeps the first error, so that callers check for it only once, at the end. A
// missing field is parsed as the zero value.
type fieldParser struct {
	fields      lineFields
	faultyField string // field with the error; empty if the error is not in a single field
	err         error  // first error
}

// recordError keeps the error if it is the first one.
func (p *fieldParser) recordError(field string, err error) {
	if p.err == nil {
		p.faultyField, p.err = field, err
	}
}

// parseError returns the recorded error, if there is one, as a *ParseError.
func (p *fieldParser) parseError(line int, messageName string) error {
	if p.err == nil {
		return nil
	}
	return &ParseError{Line: line, MessageName: messageName, Field: p.faultyField, Err: p.err}
}

// require records an error if one of the fields is missing.
func (p *fieldParser) require(names ...string) {
	for _, name := range names {
		if _, ok := p.fields[name]; !ok {
			p.recordError(name, errMissing)
		}
	}
}

func (p *fieldParser) text(name string) string { return p.fields[name] }

func (p *fieldParser) uint(name string, bits int) uint64 {
	text, ok := p.fields[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		p.recordError(name, err)
	}
	return n
}

func (p *fieldParser) int(name string) int { return int(p.uint(name, countBits)) }

// bool returns true only for the value 1.
func (p *fieldParser) bool(name string) bool { return p.fields[name] == "1" }

func (p *fieldParser) microseconds(name string) time.Duration {
	return time.Duration(p.uint(name, microsecondsBits)) * time.Microsecond
}

func (p *fieldParser) float(name string) float64 {
	text, ok := p.fields[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(n) || math.Abs(n) > maxMagnitude) {
		err = errNotFinite
	}
	if err != nil {
		p.recordError(name, err)
	}
	return n
}

func (p *fieldParser) requestID() policy.RequestID {
	return policy.RequestID(p.uint("call", requestIDBits))
}

func (p *fieldParser) endpointID() policy.EndpointID {
	return policy.EndpointID(p.fields["backend"])
}

// loadReport parses name:number pairs separated by commas. It returns nil if there is no report.
func (p *fieldParser) loadReport(name string) policy.LoadReport {
	text := p.fields[name]
	if isAbsent(text) {
		return nil
	}
	report := policy.LoadReport{}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			p.recordError(name, fmt.Errorf("got pair %q, want name:number", pair))
			return nil
		}
		report[key] = n
	}
	return report
}

// base64 decodes a value in base64. It returns nil if there is none.
func (p *fieldParser) base64(name string) []byte {
	text := p.fields[name]
	if isAbsent(text) {
		return nil
	}
	bytes, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		p.recordError(name, err)
	}
	return bytes
}

// absentValue is sent in place of an absent value.
const absentValue = "-"

func isAbsent(text string) bool { return text == "" || text == absentValue }
