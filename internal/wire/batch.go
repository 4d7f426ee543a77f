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

// bufferBytes is the size of the buffers for input and output: a batch of usual size fits.
const bufferBytes = 1 << 20

// Faults of a batch's frame; a ParseError wraps them.
var (
	errTruncatedLine  = errors.New("cut off without an end of line")
	errTruncatedBatch = errors.New("input ends inside a batch")
	errNestedBatch    = errors.New("a batch begins inside a batch")
)

// ParseError says where the input breaks the form of the wire.
type ParseError struct {
	Line    int    // from 1
	Message string // the name of the message; empty where the frame of a batch is at fault
	Field   string // empty where no single field is at fault
	Err     error
}

// Error names the line, the message and the field, as far as they are known.
func (e *ParseError) Error() string {
	text := fmt.Sprintf("line %d: ", e.Line)
	if e.Message != "" {
		text += e.Message + ": "
	}
	if e.Field != "" {
		text += "field " + e.Field + ": "
	}
	return text + e.Err.Error()
}

// Unwrap returns what is wrong.
func (e *ParseError) Unwrap() error { return e.Err }

// Batch is what one exchange brings.
type Batch struct {
	Now      time.Duration // time of the simulation
	Messages []Message
}

// Message is one line of a batch, for one instance. At most one of its other fields is set.
type Message struct {
	Instance  int
	Start     *InstanceStart // the instance starts
	Destroyed bool           // the instance ends
	Event     policy.Event   // nil where there is nothing to tell
}

// InstanceStart is what an instance starts with.
type InstanceStart struct {
	Seed     uint64 // of its random draws
	Settings *policy.Settings
}

// BatchReader reads batches.
type BatchReader struct {
	in   *bufio.Reader
	line int // number of the last line that was read
}

// NewBatchReader returns a BatchReader on r.
func NewBatchReader(r io.Reader) *BatchReader {
	return &BatchReader{in: bufio.NewReaderSize(r, bufferBytes)}
}

// Read returns the next batch. Its error is io.EOF where input ended between batches, and a *ParseError where the form
// is wrong.
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
			message, known, err := r.readMessage(name, fields)
			if err != nil {
				return nil, err
			}
			if known {
				batch.Messages = append(batch.Messages, message)
			}
		}
	}
}

// readStart reads the line that a batch begins with.
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
			return nil, &ParseError{Line: r.line, Err: fmt.Errorf("%q before a batch has begun", name)}
		}
		p := fieldParser{fields: fields}
		batch := &Batch{Now: p.microseconds("wallUs")}
		p.require("wallUs")
		return batch, p.parseError(r.line, "")
	}
}

// nextLine returns the next line without its end.
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
