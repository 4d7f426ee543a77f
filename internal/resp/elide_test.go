package resp

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

// encodeArray encodes an array of bulk strings.
func encodeArray(values ...string) string {
	b := redcon.AppendArray(nil, len(values))
	for _, value := range values {
		b = redcon.AppendBulkString(b, value)
	}
	return string(b)
}

// elidedFrame is a frame that a buffer has returned.
type elidedFrame struct {
	text     string
	isElided bool
}

// readFrames reads all frames of a text that arrives in pieces of the given lengths, in turn.
func readFrames(buffer *FrameBuffer, text string, pieces []int) (frames []elidedFrame, err error) {
	for turn := 0; ; {
		frame, err := buffer.Next()
		switch {
		case err != nil:
			return frames, err
		case frame != nil:
			frames = append(frames, elidedFrame{string(frame), buffer.IsElided()})
			continue
		case text == "":
			return frames, nil
		}
		err = buffer.Fill(func(b []byte) (int, error) {
			n := copy(b[:min(len(b), pieces[turn%len(pieces)])], text)
			text, turn = text[n:], turn+1
			return n, nil
		})
		if err != nil {
			return frames, err
		}
	}
}

// A frame for which there is no memory lost all frames behind it. Now it loses only its largest value, however it is split.
func TestFramesBehindOneWithoutMemoryAreRead(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	small, next := encodeArray("PING"), encodeArray("Q.ASK", "customer", "id", "c=read")
	text := small + encodeArray("Q.DO", "customer", "id", "c=write", long) + next +
		encodeArray("Q.DO", long, "in front") + next
	want := []elidedFrame{{small, false}, {encodeArray("Q.DO", "customer", "id", "c=write", ""), true}, {next, false},
		{encodeArray("Q.DO", "", "in front"), true}, {next, false}}
	for _, pieces := range [][]int{{1 << 20}, {1}, {7, 1, 2048}, {len(small) + 3, 5000}} {
		budget := NewMemoryBudget(0)
		buffer := FrameBuffer{Budget: budget, ElidesValues: true}
		got, err := readFrames(&buffer, text, pieces)
		if err != nil || len(got) != len(want) {
			t.Fatalf("pieces %v: got %d frames, error %v, want %d", pieces, len(got), err, len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("pieces %v: got frame %d %.80q, elided %v, want %.80q, %v", pieces, i, got[i].text, got[i].isElided,
					want[i].text, want[i].isElided)
			}
		}
	}
}

// Whatever the frames, the pieces and the memory, each frame is read whole or without some of its values, in its place.
func TestElidedFramesKeepTheirPlaces(t *testing.T) {
	const seeds, framesPerSeed, mostValues = 300, 30, 6
	elided := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var text strings.Builder
		var sent [][]string
		for range framesPerSeed {
			values := make([]string, 1+rng.IntN(mostValues))
			for i := range values {
				size := rng.IntN(100)
				if rng.IntN(4) == 0 {
					size = rng.IntN(MaxFrameLength / mostValues)
				}
				values[i] = strings.Repeat(string(rune('a'+rng.IntN(26))), size)
			}
			sent = append(sent, values)
			text.WriteString(encodeArray(values...))
		}
		pieces := []int{1 + rng.IntN(10), 1 + rng.IntN(3000), 1 + rng.IntN(30_000)}
		budget := NewMemoryBudget(rng.IntN(20_000))
		buffer := FrameBuffer{Budget: budget, ElidesValues: true}
		got, err := readFrames(&buffer, text.String(), pieces)
		if err != nil || len(got) != len(sent) {
			t.Fatalf("seed %d: got %d frames, error %v, want %d", seed, len(got), err, len(sent))
		}
		for i, frame := range got {
			checkElidedFrame(t, seed, frame, sent[i])
			if frame.isElided {
				elided++
			}
		}
		available := budget.available.Load() + int64(buffer.reserved)
		buffer.Close()
		if budget.available.Load() != available {
			t.Fatalf("seed %d: got %d bytes available at the end, want %d", seed, budget.available.Load(), available)
		}
	}
	if elided == 0 {
		t.Fatal("got no elided frame, want some")
	}
}

// checkElidedFrame checks that a frame has the values that were sent, or empty ones in place of some if it is elided.
func checkElidedFrame(t *testing.T, seed uint64, frame elidedFrame, sent []string) {
	t.Helper()
	_, values, _, _, err := redcon.ReadNextCommand([]byte(frame.text), nil)
	if err != nil || len(values) != len(sent) {
		t.Fatalf("seed %d: got %d values, error %v, want %d", seed, len(values), err, len(sent))
	}
	lacking := 0
	for i, value := range values {
		switch {
		case string(value) == sent[i]:
		case len(value) == 0:
			lacking++
		default:
			t.Fatalf("seed %d: got a value that begins with %.20q, want %.20q or none", seed, value, sent[i])
		}
	}
	if frame.isElided != (lacking > 0) {
		t.Fatalf("seed %d: got elided %v with %d values lacking", seed, frame.isElided, lacking)
	}
}

// Input that cannot be read without its values, and input beyond the limits, is refused as with memory.
func TestElidingKeepsTheLimits(t *testing.T) {
	long := strings.Repeat("x", 40<<10)
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"value without a line end":      {"*2\r\n$4\r\nQ.DO\r\n$5000\r\n" + strings.Repeat("x", 5010), ErrMalformed},
		"value with half a line end":    {"*2\r\n$4\r\nQ.DO\r\n$5000\r\n" + strings.Repeat("x", 5000) + "\rx", ErrMalformed},
		"two long values":               {encodeArray("Q.DO", long, long, "end"), ErrTooLong},
		"value beyond the limit":        {"*2\r\n$4\r\nQ.DO\r\n$60000000\r\n" + strings.Repeat("x", 5000), ErrTooLong},
		"long value outside of arrays":  {"$5000\r\n" + strings.Repeat("x", 5000), ErrNoMemory},
		"long value in an inner array":  {"*1\r\n*1\r\n$5000\r\n" + strings.Repeat("x", 5000), ErrNoMemory},
		"line without an end":           {"*1\r\n$" + strings.Repeat("1", 5000), ErrTooLong},
		"with a whole frame before it":  {encodeArray("PING") + "$5000\r\n" + strings.Repeat("x", 5000), ErrNoMemory},
		"number of bytes is no number":  {"*2\r\n$4\r\nQ.DO\r\n$x\r\n" + strings.Repeat("x", 5000), ErrMalformed},
		"negative length, then nothing": {"*2\r\n$-1\r\n" + encodeArray("PING"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			buffer := FrameBuffer{Budget: NewMemoryBudget(0), ElidesValues: true}
			_, err := readFrames(&buffer, test.text, []int{1500})
			if !errors.Is(err, test.want) {
				t.Fatalf("got error %v, want %v", err, test.want)
			}
		})
	}
}

// While a complete frame is in the buffer it stays as it is, and nothing behind it is dropped.
func TestCompleteFramesAreNotElided(t *testing.T) {
	first := encodeArray("Q.ASK", strings.Repeat("a", 500))
	text := strings.NewReader(first + encodeArray("Q.DO", strings.Repeat("x", 5000)))
	buffer := FrameBuffer{Budget: NewMemoryBudget(0), ElidesValues: true}
	for err := error(nil); !errors.Is(err, ErrNoMemory); err = buffer.Fill(text.Read) {
		if errors.Is(err, io.EOF) {
			t.Fatal("got all input read, want no memory for it")
		}
	}
	if frame, err := buffer.Next(); string(frame) != first || buffer.IsElided() {
		t.Fatalf("got frame %.80q, elided %v, error %v, want the first one whole", frame, buffer.IsElided(), err)
	}
	rest, err := readFrames(&buffer, "", []int{1})
	if err != nil || len(rest) > 0 {
		t.Fatalf("got %d frames, error %v, want none before the rest is read", len(rest), err)
	}
}

// Without ElidesValues a frame is never returned without a value: an answer that lacks it would be passed on.
func TestValuesAreElidedOnRequestOnly(t *testing.T) {
	buffer := FrameBuffer{Budget: NewMemoryBudget(0)}
	text := strings.NewReader(encodeArray("value", strings.Repeat("x", 5000)))
	for {
		err := buffer.Fill(text.Read)
		if errors.Is(err, ErrNoMemory) {
			return
		}
		if frame, _ := buffer.Next(); frame != nil || errors.Is(err, io.EOF) {
			t.Fatalf("got a frame of %d bytes, error %v, want %v", len(frame), err, ErrNoMemory)
		}
	}
}
