package resp

import "testing"

// The buffers of all connections together cannot reserve more memory than the budget has.
func TestMemoryBudgetIsSharedByBuffers(t *testing.T) {
	budget := NewMemoryBudget(InitialBufferSize + 10)
	fill := func(buffer *FrameBuffer) error {
		return buffer.Fill(func(p []byte) (int, error) { return len(p), nil })
	}
	first, second := FrameBuffer{Budget: budget}, FrameBuffer{Budget: budget}
	for _, step := range []struct {
		buffer *FrameBuffer
		want   error
	}{{&first, nil}, {&second, nil}, {&first, nil}, {&second, ErrNoMemory}} {
		if err := fill(step.buffer); err != step.want {
			t.Fatalf("got error %v, want %v", err, step.want)
		}
	}
	first.Close()
	if err := fill(&second); err != nil {
		t.Fatal(err)
	}
}
