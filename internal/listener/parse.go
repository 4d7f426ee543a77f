package listener

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lemontack/policy"
)

const (
	// maxKeyLength is the maximum length of an idempotency key, in bytes.
	maxKeyLength = 256
	// customerNumberLimit is one more than the greatest customer number.
	customerNumberLimit = 1 << 33
	// answerMargin is the time reserved for an answer to reach the client before its timeout, also on a busy machine. It is limited
	// to a quarter of the timeout.
	answerMargin = 20 * time.Millisecond
	// maxTimeoutFactor is the maximum timeout of a request, as a multiple of the deadline of its class. A client that claims to
	// wait for longer, or forever, is not believed.
	maxTimeoutFactor = 2
)

// Errors of invalid requests. Their texts are sent to clients.
var (
	errInvalidCustomer   = errors.New("the customer is not 16 hex digits below 2^33")
	errInvalidID         = errors.New("the id is not 16 hex digits")
	errInvalidFields     = errors.New("the fields are not a list of different names and values")
	errUnitsFormat       = errors.New("field units is not a plain number")
	errUnknownClass      = errors.New("unknown class")
	errUnknownPlan       = errors.New("unknown plan")
	errClassMismatch     = errors.New("the class does not go with the command")
	errIdempotencyKey    = errors.New("field k is missing or too long")
	errMissingField      = errors.New("field d or first is missing")
	errInvalidGatewaySet = errors.New("there is no such set of gateways")
	errUnitsRange        = errors.New("field units is missing or out of range")
	errNot16Digits       = errors.New("not 16 digits")
	errFieldValue        = errors.New("cannot be read")
	errArgumentCount     = errors.New("wants a customer, an id, fields and at most a body")
)

// fields holds the values of a request's fields.
type fields struct {
	class, plan, key         string
	timeout                  uint64 // ms
	timeoutStart, timeoutEnd int    // offsets of the value of timeout in the text
	hasTimeout, hasFirst     bool
	span, first              uint64
	units                    float64
	isRetry                  bool
}

// parseRequest parses and validates a request; arrivedAt is the earliest time at which it may have arrived. It returns an
// error for a request that a backend would refuse.
func (cfg *Config) parseRequest(args [][]byte, arrivedAt time.Time) (*Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s %w", args[0], errArgumentCount)
	}
	customer, err := parseHex16(args[1])
	if err != nil || customer >= customerNumberLimit {
		return nil, errInvalidCustomer
	}
	id, err := parseHex16(args[2])
	if err != nil {
		return nil, errInvalidID
	}
	values, err := parseFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	class, found := cfg.Classes[values.class]
	if !found {
		return nil, errUnknownClass
	}
	if err := cfg.checkFields(values, class, string(args[0])); err != nil {
		return nil, err
	}
	request := &Request{
		Request: policy.Request{
			Class:        values.class,
			Plan:         values.plan,
			Customer:     string(args[1]),
			Units:        values.units,
			GatewaySpan:  int(values.span),
			FirstGateway: int(values.first),
			IsRetry:      values.isRetry,
		},
		ExternalID:   id,
		TimeoutStart: values.timeoutStart,
		TimeoutEnd:   values.timeoutEnd,
	}
	request.setTimes(cfg.Clock(arrivedAt), values.timeout, class)
	request.copyArgs(args)
	return request, nil
}

// checkFields validates the values against the settings. The policy takes a customer's plan and gateways from the customer's
// first request, so invalid values must not reach it.
func (cfg *Config) checkFields(values fields, class policy.Class, command string) error {
	gateways := uint64(cfg.GatewayCount)
	switch {
	case !cfg.Plans[values.plan]:
		return errUnknownPlan
	case (command == commandDo) == (class.Idempotency == policy.Idempotent):
		return errClassMismatch
	case class.Idempotency == policy.IdempotencyKey && (values.key == "" || len(values.key) > maxKeyLength):
		return errIdempotencyKey
	case !values.hasTimeout || !values.hasFirst:
		return errMissingField
	case values.span == 0 || values.span > gateways || values.first >= gateways:
		return errInvalidGatewaySet
	case !(values.units > 0) || values.units > cfg.MaxUnits: // the negated form also rejects NaN
		return errUnitsRange
	}
	return nil
}

// setTimes derives the request's times from the client's timeout in ms, limited to maxTimeoutFactor deadlines.
func (request *Request) setTimes(readAt time.Duration, timeout uint64, class policy.Class) {
	wait := min(time.Duration(timeout)*time.Millisecond, maxTimeoutFactor*class.Deadline)
	request.ReadAt = readAt
	request.GiveUpAt = readAt + wait
	request.Deadline = request.GiveUpAt - min(answerMargin, wait/4)
}

// copyArgs copies the command, because the connection reuses the buffer that holds it.
func (request *Request) copyArgs(args [][]byte) {
	for _, arg := range args {
		request.Args = append(request.Args, append(make([]byte, 0, len(arg)), arg...))
		request.Size += len(arg)
	}
}

// parseFields parses "name=value,name=value". It accepts unknown fields, which the backend interprets.
func parseFields(text string) (fields, error) {
	var values fields
	seen := map[string]bool{}
	for start := 0; start <= len(text); {
		part, _, _ := strings.Cut(text[start:], ",")
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] {
			return fields{}, errInvalidFields
		}
		seen[name] = true
		if err := values.setField(name, value); err != nil {
			return fields{}, err
		}
		end := start + len(part)
		if name == "d" {
			values.timeoutStart, values.timeoutEnd = end-len(value), end
		}
		start = end + 1
	}
	values.hasTimeout, values.hasFirst = seen["d"], seen["first"]
	return values, nil
}

// setField parses and stores the value of a field; it ignores unknown fields.
func (values *fields) setField(name, value string) (err error) {
	switch name {
	case "c":
		values.class = value
	case "t":
		values.plan = value
	case "d":
		values.timeout, err = strconv.ParseUint(value, 10, 31)
	case "r":
		values.isRetry = value == "1"
	case "k":
		values.key = value
	case "units":
		if strings.Trim(value, "0123456789.") != "" {
			return errUnitsFormat
		}
		values.units, err = strconv.ParseFloat(value, 64)
	case "spread":
		values.span, err = strconv.ParseUint(value, 10, 31)
	case "first":
		values.first, err = strconv.ParseUint(value, 10, 31)
	}
	if err != nil {
		return fmt.Errorf("field %s %w", name, errFieldValue)
	}
	return nil
}

func parseHex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errNot16Digits
	}
	return strconv.ParseUint(string(b), 16, 64)
}
