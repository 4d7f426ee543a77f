package resp

import (
	"bytes"
	"slices"
	"strconv"
)

const (
	// lineEnd ends each line and each value.
	lineEnd = "\r\n"
	// elidedValue is an empty bulk string. It takes the place of a value for which there is no memory.
	elidedValue = "$0" + lineEnd + lineEnd
)

// bulkSpan is the place of a bulk string in a buffer.
type bulkSpan struct {
	start, end int // bounds of its header and of that part of its value and line end that the buffer holds
	missing    int // bytes of its value and line end that the buffer does not hold
}

// length returns the length of the bulk string with its header and its line end.
func (span bulkSpan) length() int { return span.end - span.start + span.missing }

// largestBulk returns the place of the largest bulk string in an array that begins at the start of b and may be incomplete. It
// returns false if b does not begin with an array, or if another kind of value comes before any bulk string.
func largestBulk(b []byte) (largest bulkSpan, found bool) {
	elements, position, ok := parseHeader(b, 0, '*')
	for ok && elements > 0 {
		elements--
		start := position
		var valueLength int
		if valueLength, position, ok = parseHeader(b, start, '$'); !ok || valueLength < 0 {
			break
		}
		position += valueLength + len(lineEnd)
		span := bulkSpan{start: start, end: min(position, len(b)), missing: max(0, position-len(b))}
		if span.length() > largest.length() {
			largest, found = span, true
		}
		ok = span.missing == 0
	}
	return largest, found
}

// parseHeader reads the line with the type byte and the length at a position of b, and returns the length and the position
// behind the line. It returns false if there is no whole line of this kind.
func parseHeader(b []byte, position int, typeByte byte) (length, next int, ok bool) {
	end := bytes.IndexByte(b[position:], '\n')
	if end < 2 || b[position] != typeByte {
		return 0, 0, false
	}
	length, err := strconv.Atoi(string(b[position+1 : position+end-1]))
	return length, position + end + 1, err == nil
}

// elide replaces the largest values of the incomplete frame in the buffer by empty ones until the rest fits into the initial
// buffer, and returns the reserved memory. It returns false if that does not make room, or if a complete frame is in front of
// that one: Next has to return it first.
func (buffer *FrameBuffer) elide() bool {
	if length, err := FrameLength(buffer.Buffered()); length > 0 || err != nil {
		return false
	}
	for buffer.end >= InitialBufferSize {
		if !buffer.elideLargest() {
			return false
		}
	}
	data := make([]byte, InitialBufferSize)
	buffer.end = copy(data, buffer.Buffered())
	buffer.data, buffer.start = data, 0
	buffer.Close()
	return true
}

// elideLargest replaces the largest value of the frame at the start of the buffer by an empty one, and makes Fill drop what is
// still missing of it. It returns false if that would not make the input shorter.
func (buffer *FrameBuffer) elideLargest() bool {
	input := buffer.Buffered()
	span, found := largestBulk(input)
	if !found || span.end-span.start <= len(elidedValue) {
		return false
	}
	if span.missing == 1 && input[len(input)-1] != lineEnd[0] { // dropValue checks only what is missing
		return false
	}
	rest := slices.Replace(input, span.start, span.end, []byte(elidedValue)...)
	buffer.end = buffer.start + len(rest)
	buffer.elidedBytes += span.length() - len(elidedValue)
	buffer.toDrop += span.missing
	return true
}

// dropValue returns how many bytes of the input that was read last belong to an elided value. If the value does not end with a
// line end, Next returns ErrMalformed from then on.
func (buffer *FrameBuffer) dropValue(input []byte) int {
	dropped := min(len(input), buffer.toDrop)
	for i := range lineEnd {
		position := buffer.toDrop - len(lineEnd) + i
		if position >= 0 && position < dropped && input[position] != lineEnd[i] {
			buffer.isMalformed = true
		}
	}
	buffer.toDrop -= dropped
	return dropped
}
