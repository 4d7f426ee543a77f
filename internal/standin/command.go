package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxHeaderBytes  = 64       // of the line that an array or a bulk string begins with
	maxBulkBytes    = 64 << 10 // of a bulk string; the protocol's
	maxCommandWords = 8        // no client sends more
	customerLimit   = 1 << 33  // customers are numbers below it
	hexDigits       = 16       // of a customer and of a request's id
)

// errMalformed says that a command has a form that no client sends.
var errMalformed = errors.New("malformed command")

// readCommand reads an array of bulk strings. Its error wraps errMalformed where the form is wrong, and else the error
// of the connection.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readHeader(in, '*', maxCommandWords)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("empty array: %w", errMalformed)
	}
	command := make([]string, n)
	for i := range command {
		if command[i], err = readBulkString(in); err != nil {
			return nil, err
		}
	}
	return command, nil
}

func readBulkString(in *bufio.Reader) (string, error) {
	size, err := readHeader(in, '$', maxBulkBytes)
	if err != nil {
		return "", err
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return "", fmt.Errorf("read bulk string: %w", err)
	}
	text, ok := strings.CutSuffix(string(body), "\r\n")
	if !ok {
		return "", fmt.Errorf("end of bulk string: %w", errMalformed)
	}
	return text, nil
}

// readHeader reads the length that an array or a bulk string begins with, after its type's first byte.
func readHeader(in *bufio.Reader, kind byte, maxLength int) (int, error) {
	var header []byte
	for len(header) < maxHeaderBytes {
		c, err := in.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("read header: %w", err)
		}
		header = append(header, c)
		if c == '\n' {
			break
		}
	}
	text, ok := strings.CutSuffix(string(header), "\r\n")
	if !ok || text == "" || text[0] != kind {
		return 0, fmt.Errorf("header %q: %w", header, errMalformed)
	}
	n, err := strconv.ParseUint(text[1:], 10, 31)
	if err != nil || n > uint64(maxLength) {
		return 0, fmt.Errorf("length %q: %w", header, errMalformed)
	}
	return int(n), nil
}

// validateRequest returns an error that wraps errMalformed where a command is not a request in the protocol's form.
func validateRequest(command []string) error {
	words := 4
	if command[0] == "Q.DO" {
		words = 5 // with a body
	}
	if len(command) != words {
		return fmt.Errorf("%s of %d words: %w", command[0], len(command), errMalformed)
	}
	customer, ok := parseHex(command[1])
	if !ok || customer >= customerLimit {
		return fmt.Errorf("customer %q: %w", command[1], errMalformed)
	}
	if _, ok := parseHex(command[2]); !ok {
		return fmt.Errorf("id %q: %w", command[2], errMalformed)
	}
	fields, err := parseRequestFields(command[3])
	if err != nil {
		return err
	}
	return fields.validate()
}

// parseHex reads a number that is written with hexDigits digits.
func parseHex(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil && len(text) == hexDigits
}

// requestFields are the name=value pairs of a request.
type requestFields map[string]string

func parseRequestFields(text string) (requestFields, error) {
	fields := requestFields{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if _, duplicate := fields[name]; !ok || value == "" || duplicate {
			return nil, fmt.Errorf("field %q: %w", pair, errMalformed)
		}
		fields[name] = value
	}
	return fields, nil
}

// validate checks that the fields which every request has are there and have their form.
func (f requestFields) validate() error {
	for _, name := range []string{"c", "t", "d", "units", "spread", "first"} {
		if f[name] == "" {
			return fmt.Errorf("no field %s: %w", name, errMalformed)
		}
	}
	for _, name := range []string{"d", "spread", "first"} {
		if _, err := strconv.ParseUint(f[name], 10, 31); err != nil {
			return fmt.Errorf("field %s=%s: %w", name, f[name], errMalformed)
		}
	}
	return nil
}
