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
	maxHeaderLineBytes = 64       // maximum length of the first line of an array or a bulk string
	maxBulkBytes       = 64 << 10 // maximum length of a bulk string, as the protocol defines it
	maxCommandElements = 8        // maximum number of array elements in a command that a client sends
	customerIDLimit    = 1 << 33  // customer IDs are less than this
	hexIDDigits        = 16       // number of digits in a customer ID and in a request ID
)

// errMalformedCommand reports a command that violates the syntax of the protocol.
var errMalformedCommand = errors.New("malformed command")

// readCommand reads an array of bulk strings. Its error wraps errMalformedCommand if the syntax is wrong, and otherwise
// the read error of the connection.
func readCommand(reader *bufio.Reader) ([]string, error) {
	elementCount, err := readLengthHeader(reader, '*', maxCommandElements)
	if err != nil {
		return nil, err
	}
	if elementCount == 0 {
		return nil, fmt.Errorf("empty array: %w", errMalformedCommand)
	}
	command := make([]string, elementCount)
	for i := range command {
		if command[i], err = readBulkString(reader); err != nil {
			return nil, err
		}
	}
	return command, nil
}

func readBulkString(reader *bufio.Reader) (string, error) {
	size, err := readLengthHeader(reader, '$', maxBulkBytes)
	if err != nil {
		return "", err
	}
	content := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, content); err != nil {
		return "", fmt.Errorf("read bulk string: %w", err)
	}
	text, ok := strings.CutSuffix(string(content), "\r\n")
	if !ok {
		return "", fmt.Errorf("bulk string does not end with CRLF: %w", errMalformedCommand)
	}
	return text, nil
}

// readLengthHeader reads the first line of an array or a bulk string, which is a type byte and a length.
func readLengthHeader(reader *bufio.Reader, typeByte byte, maxLength int) (int, error) {
	var header []byte
	for len(header) < maxHeaderLineBytes {
		char, err := reader.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("read length header: %w", err)
		}
		header = append(header, char)
		if char == '\n' {
			break
		}
	}
	text, ok := strings.CutSuffix(string(header), "\r\n")
	if !ok || text == "" || text[0] != typeByte {
		return 0, fmt.Errorf("length header %q: %w", header, errMalformedCommand)
	}
	length, err := strconv.ParseUint(text[1:], 10, 31)
	if err != nil || length > uint64(maxLength) {
		return 0, fmt.Errorf("length in header %q: %w", header, errMalformedCommand)
	}
	return int(length), nil
}

// validateRequest returns an error that wraps errMalformedCommand if the command is not a well-formed request.
func validateRequest(command []string) error {
	elementCount := 4
	if command[0] == "Q.DO" {
		elementCount = 5 // a Q.DO request has a body
	}
	if len(command) != elementCount {
		return fmt.Errorf("%s with %d array elements: %w", command[0], len(command), errMalformedCommand)
	}
	customer, ok := parseHexID(command[1])
	if !ok || customer >= customerIDLimit {
		return fmt.Errorf("customer ID %q: %w", command[1], errMalformedCommand)
	}
	if _, ok := parseHexID(command[2]); !ok {
		return fmt.Errorf("request ID %q: %w", command[2], errMalformedCommand)
	}
	fields, err := parseRequestFields(command[3])
	if err != nil {
		return err
	}
	return fields.validate()
}

// parseHexID parses a hexadecimal number of exactly hexIDDigits digits.
func parseHexID(text string) (uint64, bool) {
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil && len(text) == hexIDDigits
}

// requestFields holds the name=value pairs of a request.
type requestFields map[string]string

func parseRequestFields(text string) (requestFields, error) {
	fields := requestFields{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if _, duplicate := fields[name]; !ok || value == "" || duplicate {
			return nil, fmt.Errorf("field %q: %w", pair, errMalformedCommand)
		}
		fields[name] = value
	}
	return fields, nil
}

// validate checks that the mandatory fields of a request are present and well-formed.
func (f requestFields) validate() error {
	for _, name := range []string{"c", "t", "d", "units", "spread", "first"} {
		if f[name] == "" {
			return fmt.Errorf("missing field %s: %w", name, errMalformedCommand)
		}
	}
	for _, name := range []string{"d", "spread", "first"} {
		if _, err := strconv.ParseUint(f[name], 10, 31); err != nil {
			return fmt.Errorf("field %s=%s: %w", name, f[name], errMalformedCommand)
		}
	}
	return nil
}
