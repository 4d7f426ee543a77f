package resp

import "sync/atomic"

// InitialBufferSize is the size in bytes of the buffer that each connection has without asking the budget.
const InitialBufferSize = 2 << 10

// MemoryBudget is memory, in bytes, that the buffers of many connections share. A nil budget has no limit. It is safe for
// concurrent use.
type MemoryBudget struct {
	left atomic.Int64
}

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int) *MemoryBudget {
	budget := &MemoryBudget{}
	budget.left.Store(int64(bytes))
	return budget
}

// Reserve takes n bytes, and reports false, taking none, where fewer are left.
func (budget *MemoryBudget) Reserve(n int) bool {
	if budget == nil || budget.left.Add(-int64(n)) >= 0 {
		return true
	}
	budget.Release(n)
	return false
}

// Release gives back n bytes.
func (budget *MemoryBudget) Release(n int) {
	if budget != nil {
		budget.left.Add(int64(n))
	}
}

// FrameBuffer gathers what a connection brings until a frame is complete. What it needs beyond InitialBufferSize comes from
// the budget. It belongs to the goroutine that reads the connection; its zero value is ready for use, without a limit.
type FrameBuffer struct {
	Budget *MemoryBudget

	bytes      []byte
	start, end int // what has been read and not returned by Next
	reserved   int // bytes of the budget
}

// Close gives back what was taken from the budget.
func (buffer *FrameBuffer) Close() {
	buffer.Budget.Release(buffer.reserved)
	buffer.reserved = 0
}

// Buffered returns what has been read and not returned by Next. It is valid until Fill.
func (buffer *FrameBuffer) Buffered() []byte { return buffer.bytes[buffer.start:buffer.end] }

// Next returns the next complete frame, or nil when more must be read. The frame is valid until Fill.
func (buffer *FrameBuffer) Next() ([]byte, error) {
	length, err := FrameLength(buffer.Buffered())
	if length == 0 || err != nil {
		return nil, err
	}
	frame := buffer.bytes[buffer.start : buffer.start+length]
	buffer.start += length
	return frame, nil
}

// HasRoom reports whether a read fits without more memory.
func (buffer *FrameBuffer) HasRoom() bool { return buffer.end-buffer.start < InitialBufferSize }

// HasPartialFrame reports whether a frame has begun and has not been returned.
func (buffer *FrameBuffer) HasPartialFrame() bool { return buffer.end > buffer.start }

// Fill calls read once for more bytes, growing the buffer to one frame at most. It returns ErrTooLong or ErrNoMemory where
// the frame cannot be held, and the error of read where that brought nothing.
func (buffer *FrameBuffer) Fill(read func([]byte) (int, error)) error {
	buffer.compact()
	if err := buffer.makeRoom(); err != nil {
		return err
	}
	n, err := read(buffer.bytes[buffer.end:])
	buffer.end += n
	if n > 0 {
		return nil
	}
	return err
}

// compact moves what is buffered to the beginning.
func (buffer *FrameBuffer) compact() {
	if buffer.start > 0 {
		buffer.end = copy(buffer.bytes, buffer.Buffered())
		buffer.start = 0
	}
}

// makeRoom leaves at least one byte to read into.
func (buffer *FrameBuffer) makeRoom() error {
	if buffer.end == 0 && len(buffer.bytes) != InitialBufferSize {
		buffer.bytes = make([]byte, InitialBufferSize) // a large frame's memory does not stay with the connection
		buffer.Close()
		return nil
	}
	if buffer.end < len(buffer.bytes) {
		return nil
	}
	const limit = MaxFrameLength + MaxLineLength
	if buffer.end >= limit {
		return ErrTooLong
	}
	more := min(len(buffer.bytes), limit-buffer.end)
	if !buffer.Budget.Reserve(more) {
		return ErrNoMemory
	}
	buffer.reserved += more
	buffer.bytes = append(buffer.bytes, make([]byte, more)...)
	return nil
}
