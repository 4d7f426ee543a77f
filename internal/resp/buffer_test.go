package resp

import "testing"

// The memory of commands that are coming in is bounded over all connections.
func TestMemoryBudgetIsSharedByBuffers(t *testing.T) {
	b := NewMemoryBudget(InitialBufferSize + 10)
	fill := func(in *FrameBuffer) error {
		return in.Fill(func(p []byte) (int, error) { return len(p), nil })
	}
	one, two := FrameBuffer{Budget: b}, FrameBuffer{Budget: b}
	for _, step := range []struct {
		in   *FrameBuffer
		want error
	}{{&one, nil}, {&two, nil}, {&one, nil}, {&two, ErrNoMemory}} {
		if err := fill(step.in); err != step.want {
			t.Fatalf("%v, want %v", err, step.want)
		}
	}
	one.Close()
	if err := fill(&two); err != nil {
		t.Fatal(err)
	}
}
