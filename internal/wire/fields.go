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
	idBits           = 32 // of a request's id
	countBits        = 31 // of counts and numbers of instances
	microsecondsBits = 53 // of times: what a float64 holds exactly, since the simulator's are such
	maxNumber        = 1e300
)

// Faults of a field; a ParseError wraps them.
var (
	errMissing   = errors.New("missing")
	errNotFinite = errors.New("not a finite number")
)

// lineFields are the name=value parts of a line.
type lineFields map[string]string

// splitLine cuts a line into its name and its fields. The value of facts runs to the end of the line.
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

// fieldParser reads the fields of a line and keeps the first fault, so that callers check it once, at the end. A field
// that is absent reads as the zero value.
type fieldParser struct {
	fields lineFields
	field  string // that the fault is in; empty where no single one is
	err    error
}

func (p *fieldParser) fail(field string, err error) {
	if p.err == nil {
		p.field, p.err = field, err
	}
}

// parseError returns the fault, if there is one, as a *ParseError.
func (p *fieldParser) parseError(line int, message string) error {
	if p.err == nil {
		return nil
	}
	return &ParseError{Line: line, Message: message, Field: p.field, Err: p.err}
}

// require fails where one of the fields is absent.
func (p *fieldParser) require(names ...string) {
	for _, name := range names {
		if _, ok := p.fields[name]; !ok {
			p.fail(name, errMissing)
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
		p.fail(name, err)
	}
	return n
}

func (p *fieldParser) int(name string) int { return int(p.uint(name, countBits)) }

// bool is true for 1 only.
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
	if err == nil && (math.IsNaN(n) || math.Abs(n) > maxNumber) {
		err = errNotFinite
	}
	if err != nil {
		p.fail(name, err)
	}
	return n
}

func (p *fieldParser) requestID() policy.RequestID {
	return policy.RequestID(p.uint("call", idBits))
}

func (p *fieldParser) endpointID() policy.EndpointID {
	return policy.EndpointID(p.fields["backend"])
}

// loadReport reads pairs of name:number, separated by commas; nil where there is no report.
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
			p.fail(name, fmt.Errorf("pair %q", pair))
			return nil
		}
		report[key] = n
	}
	return report
}

// base64 reads bytes; nil where there are none.
func (p *fieldParser) base64(name string) []byte {
	text := p.fields[name]
	if isAbsent(text) {
		return nil
	}
	bytes, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		p.fail(name, err)
	}
	return bytes
}

// absent stands for a value that is not there.
const absent = "-"

func isAbsent(text string) bool { return text == "" || text == absent }
