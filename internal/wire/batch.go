package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"lemontack/policy"
)

const bufferBytes = 1 << 20 // size of the input and the output buffer; holds a batch of usual size

// Errors in the lines that start and end a batch; a ParseError wraps them.
var (
	errTruncatedLine  = errors.New("cut off before the line feed")
	errTruncatedBatch = errors.New("end of input inside a batch")
	errNestedBatch    = errors.New("got SYNC inside a batch, want YOUR_TURN first")
)

// ParseError reports where the input is malformed.
type ParseError struct {
	Line        int    // line number, from 1
	MessageName string // name of the message; empty if the error is in the lines that start and end a batch
	Field       string // name of the field; empty if the error is not in a single field
	Err         error
}

// Error returns the line, the message and the field as far as they are known, and the cause.
func (e *ParseError) Error() string {
	text := fmt.Sprintf("line %d: ", e.Line)
	if e.MessageName != "" {
		text += e.MessageName + ": "
	}
	if e.Field != "" {
		text += "field " + e.Field + ": "
	}
	return text + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// Batch is one batch of messages, which gets one reply.
type Batch struct {
	Now      time.Duration // simulated time
	Messages []Message
}

// Message is one message of a batch, for one instance. At most one of the fields other than Instance is set.
type Message struct {
	Instance  int
	Start     *InstanceStart // set if the instance starts
	Destroyed bool           // whether the instance ends
	Event     policy.Event   // event for the gateway of the instance; may be nil
}

// InstanceStart holds the parameters with which an instance starts.
type InstanceStart struct {
	Seed     uint64 // seed of the random number generator
	Settings *policy.Settings
}

// BatchReader reads batches and counts their lines, so that errors contain line numbers.
type BatchReader struct {
	in   *bufio.Reader
	line int // number of the last line read
}

// NewBatchReader returns a BatchReader on r.
func NewBatchReader(r io.Reader) *BatchReader {
	return &BatchReader{in: bufio.NewReaderSize(r, bufferBytes)}
}

// Read returns the next batch. It returns io.EOF if the input ends between batches, and a *ParseError for malformed input.
func (r *BatchReader) Read() (*Batch, error) {
	batch, err := r.readStart()
	if err != nil {
		return nil, err
	}
	for {
		text, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return nil, &ParseError{Line: r.line, Err: errTruncatedBatch}
		}
		if err != nil {
			return nil, err
		}
		name, fields := splitLine(text)
		switch name {
		case "":
		case "YOUR_TURN":
			return batch, nil
		case "SYNC":
			return nil, &ParseError{Line: r.line, Err: errNestedBatch}
		default:
			message, isKnown, err := r.readMessage(name, fields)
			if err != nil {
				return nil, err
			}
			if isKnown {
				batch.Messages = append(batch.Messages, message)
			}
		}
	}
}

// readStart reads the SYNC line that starts a batch.
func (r *BatchReader) readStart() (*Batch, error) {
	for {
		text, err := r.nextLine()
		if err != nil {
			return nil, err
		}
		if text == "" {
			continue
		}
		name, fields := splitLine(text)
		if name != "SYNC" {
			return nil, &ParseError{Line: r.line, Err: fmt.Errorf("got %q before a batch, want SYNC", name)}
		}
		p := fieldParser{fields: fields}
		batch := &Batch{Now: p.microseconds("wallUs")}
		p.require("wallUs")
		return batch, p.parseError(r.line, "")
	}
}

// nextLine returns the next line without its line ending.
func (r *BatchReader) nextLine() (string, error) {
	text, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text != "" {
		return "", &ParseError{Line: r.line + 1, Err: errTruncatedLine}
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}
