// Package resp buffers the frames of RESP (REdis Serialization Protocol) that a peer sends. It finds the end of each frame and
// limits the memory of incoming frames; package redcon parses the values in a frame.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on the input from a peer, in bytes unless stated otherwise. A whole frame is buffered before it is parsed, so they also
// limit the buffer of a connection.
const (
	MaxValueLength = 64 << 10               // maximum length of a bulk string
	MaxFrameLength = MaxValueLength + 4<<10 // maximum length of a command or reply
	MaxLineLength  = 1 << 10                // maximum length of a line: a type byte with a length or a simple value
	maxElements    = 16                     // maximum number of elements of an array
	maxDepth       = 3                      // maximum nesting depth of arrays
	typeBytes      = "+-:$*"                // first bytes of the RESP types
)

// Errors for a malformed or too long frame and for a lack of memory. Their texts are sent to clients.
var (
	ErrMalformed = errors.New("malformed RESP")
	ErrTooLong   = errors.New("value too long")
	ErrNoMemory  = errors.New("no memory for this now")
)

// FrameLength returns the length in bytes of the RESP value at the start of b, or 0 if b does not contain its end. It validates
// the lengths in the value, because redcon's parser panics on huge or negative ones.
func FrameLength(b []byte) (int, error) { return frameLength(b, 0) }

// frameLength is FrameLength for a value inside depth nested arrays.
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
	headerLength := end + 1
	if b[0] != '$' && b[0] != '*' {
		return headerLength, nil
	}
	count, err := strconv.Atoi(string(b[1 : end-1]))
	switch {
	case err != nil || count < -1:
		return 0, ErrMalformed
	case b[0] == '$' && count > MaxValueLength || b[0] == '*' && count > maxElements:
		return 0, ErrTooLong
	case count < 0:
		return headerLength, nil
	case b[0] == '$':
		return bulkLength(b, headerLength, count)
	}
	return arrayLength(b, headerLength, count, depth)
}

// bulkLength returns the length of a bulk string whose header and value have the given lengths, or 0 if b does not contain its
// end.
func bulkLength(b []byte, headerLength, valueLength int) (int, error) {
	length := headerLength + valueLength + len("\r\n")
	if len(b) < length {
		return 0, nil
	}
	if b[length-2] != '\r' || b[length-1] != '\n' {
		return 0, ErrMalformed
	}
	return length, nil
}

// arrayLength returns the length of an array with the given header length and number of elements, or 0 if b does not contain its
// end.
func arrayLength(b []byte, headerLength, elements, depth int) (int, error) {
	length := headerLength
	for range elements {
		elementLength, err := frameLength(b[length:], depth+1)
		if elementLength == 0 || err != nil {
			return 0, err
		}
		if length += elementLength; length > MaxFrameLength {
			return 0, ErrTooLong
		}
	}
	return length, nil
}
