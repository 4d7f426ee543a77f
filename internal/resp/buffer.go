package resp

import "sync/atomic"

// InitialBufferSize is the size in bytes of the buffer that each connection has without a reservation from the budget.
const InitialBufferSize = 2 << 10

// MemoryBudget is an amount of memory, in bytes, that the buffers of many connections share. A nil budget is unlimited. It is
// safe for concurrent use.
type MemoryBudget struct {
	available atomic.Int64
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(bytes int) *MemoryBudget {
	budget := &MemoryBudget{}
	budget.available.Store(int64(bytes))
	return budget
}

// Reserve takes n bytes from the budget. If fewer are available it takes none and returns false.
func (budget *MemoryBudget) Reserve(n int) bool {
	if budget == nil || budget.available.Add(-int64(n)) >= 0 {
		return true
	}
	budget.Release(n)
	return false
}

// Release returns n bytes to the budget.
func (budget *MemoryBudget) Release(n int) {
	if budget != nil {
		budget.available.Add(int64(n))
	}
}

// FrameBuffer buffers the input of a connection until a frame is complete. It reserves memory beyond InitialBufferSize from
// the budget. It is used only by the goroutine that reads the connection. The zero value is ready for use and has an unlimited
// budget.
type FrameBuffer struct {
	Budget *MemoryBudget
	// ElidesValues makes the buffer drop the largest value of an array, and keep the rest, if there is no memory for the whole
	// frame. The frames behind it can then be read. IsElided tells such a frame from a complete one.
	ElidesValues bool

	data        []byte
	start, end  int  // bounds of the input that Next has not returned
	reserved    int  // bytes reserved from the budget
	toDrop      int  // bytes of an elided value that have not been read
	elidedBytes int  // bytes by which the frame that begins at start is shorter than the peer sent it
	isElided    bool // the frame that Next returned last lacks a value
	isMalformed bool // an elided value had no line end
}

// Close returns the reserved memory to the budget.
func (buffer *FrameBuffer) Close() {
	buffer.Budget.Release(buffer.reserved)
	buffer.reserved = 0
}

// Buffered returns the input that Next has not returned. It is valid until the next call of Fill.
func (buffer *FrameBuffer) Buffered() []byte { return buffer.data[buffer.start:buffer.end] }

// Next returns the next complete frame, or nil if more input is needed. The frame is valid until the next call of Fill.
func (buffer *FrameBuffer) Next() ([]byte, error) {
	switch {
	case buffer.isMalformed:
		return nil, ErrMalformed
	case buffer.toDrop > 0:
		return nil, nil
	}
	length, err := FrameLength(buffer.Buffered())
	if length == 0 || err != nil {
		return nil, err
	}
	if length+buffer.elidedBytes > MaxFrameLength {
		return nil, ErrTooLong
	}
	frame := buffer.data[buffer.start : buffer.start+length]
	buffer.start += length
	buffer.isElided, buffer.elidedBytes = buffer.elidedBytes > 0, 0
	return frame, nil
}

// IsElided reports whether the frame that Next returned last has an empty value in place of one for which there was no memory.
func (buffer *FrameBuffer) IsElided() bool { return buffer.isElided }

// Discard drops the input that Next has not returned.
func (buffer *FrameBuffer) Discard() { buffer.start = buffer.end }

// HasRoom reports whether Fill can read without reserving more memory.
func (buffer *FrameBuffer) HasRoom() bool { return buffer.end-buffer.start < InitialBufferSize }

// HasPartialFrame reports whether the buffer holds input that Next has not returned; after Next has returned nil this is part of
// a frame.
func (buffer *FrameBuffer) HasPartialFrame() bool { return buffer.end > buffer.start }

// Fill calls read once and appends its input to the buffer, which grows to the size of one frame at most. It returns
// ErrTooLong or ErrNoMemory if the buffer cannot grow, and the error of read if that returned no input.
func (buffer *FrameBuffer) Fill(read func([]byte) (int, error)) error {
	buffer.compact()
	if err := buffer.makeRoom(); err != nil {
		return err
	}
	n, err := read(buffer.data[buffer.end:])
	if n <= 0 {
		return err
	}
	input := buffer.data[buffer.end : buffer.end+n]
	buffer.end += copy(input, input[buffer.dropValue(input):])
	return nil
}

// compact moves the input that Next has not returned to the start of the buffer.
func (buffer *FrameBuffer) compact() {
	if buffer.start > 0 {
		buffer.end = copy(buffer.data, buffer.Buffered())
		buffer.start = 0
	}
}

// makeRoom ensures that the buffer has at least one byte to read into.
func (buffer *FrameBuffer) makeRoom() error {
	if buffer.end == 0 && len(buffer.data) != InitialBufferSize {
		buffer.data = make([]byte, InitialBufferSize) // releases the memory of a large frame
		buffer.Close()
		return nil
	}
	if buffer.end < len(buffer.data) {
		return nil
	}
	const limit = MaxFrameLength + MaxLineLength
	if buffer.end+buffer.elidedBytes >= limit {
		return ErrTooLong
	}
	growth := min(len(buffer.data), limit-buffer.end)
	if !buffer.Budget.Reserve(growth) {
		if buffer.ElidesValues && buffer.elide() {
			return nil
		}
		return ErrNoMemory
	}
	buffer.reserved += growth
	buffer.data = append(buffer.data, make([]byte, growth)...)
	return nil
}
