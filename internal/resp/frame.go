// Package resp bounds and gathers the frames of the RESP protocol (REdis Serialization Protocol) that peers send. It finds
// where a frame ends and limits the memory that incoming ones may take; the values in a frame are read by package redcon.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds on what a peer may send, in bytes unless said otherwise. A whole frame is held in memory before it is read, so they
// also bound the buffer of a connection.
const (
	MaxValueLength = 64 << 10               // one bulk string
	MaxFrameLength = MaxValueLength + 4<<10 // one command or reply
	MaxLineLength  = 1 << 10                // one line: a type byte with a length or a simple value
	maxElements    = 16                     // elements of an array
	maxDepth       = 3                      // arrays within arrays
	typeBytes      = "+-:$*"                // the first bytes of the RESP types
)

// Errors that a frame, or the lack of memory for it, can cause. Their texts are sent to clients.
var (
	ErrMalformed = errors.New("malformed RESP")
	ErrTooLong   = errors.New("value too long")
	ErrNoMemory  = errors.New("no memory for this now")
)

// FrameLength returns the length in bytes of the RESP value that b begins with, or 0 while its end has not come. It guards
// redcon's parser, which trusts lengths: a huge or negative one makes it panic.
func FrameLength(b []byte) (int, error) { return frameLength(b, 0) }

// frameLength is FrameLength for a value inside so many arrays.
func frameLength(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), MaxLineLength)], '\n')
	switch {
	case end < 0 && len(b) >= MaxLineLength:
		return 0, ErrTooLong
	case bytes.IndexByte([]byte(typeBytes), b[0]) < 0 || depth > maxDepth:
		return 0, ErrMalformed
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, ErrMalformed
	}
	header := end + 1
	if b[0] != '$' && b[0] != '*' {
		return header, nil
	}
	count, err := strconv.Atoi(string(b[1 : end-1]))
	switch {
	case err != nil || count < -1:
		return 0, ErrMalformed
	case b[0] == '$' && count > MaxValueLength || b[0] == '*' && count > maxElements:
		return 0, ErrTooLong
	case count < 0:
		return header, nil
	case b[0] == '$':
		return bulkLength(b, header, count)
	}
	return arrayLength(b, header, count, depth)
}

// bulkLength is the length of a bulk string whose header and value have these lengths.
func bulkLength(b []byte, header, value int) (int, error) {
	size := header + value + len("\r\n")
	if len(b) < size {
		return 0, nil
	}
	if b[size-2] != '\r' || b[size-1] != '\n' {
		return 0, ErrMalformed
	}
	return size, nil
}

// arrayLength is the length of an array with a header of this length and so many elements.
func arrayLength(b []byte, header, elements, depth int) (int, error) {
	size := header
	for range elements {
		length, err := frameLength(b[size:], depth+1)
		if length == 0 || err != nil {
			return 0, err
		}
		if size += length; size > MaxFrameLength {
			return 0, ErrTooLong
		}
	}
	return size, nil
}
