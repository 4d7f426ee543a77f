package scale

import (
	"errors"
	"fmt"

	"github.com/tidwall/redcon"

	"lemontack/internal/resp"
)

// maxReplyElements limits the array that answers a request: a value and the data on its cost.
const maxReplyElements = 7

// errUnexpectedReply reports a reply of a type or length that no command returns.
var errUnexpectedReply = errors.New("unexpected reply")

type replyKind int

const (
	replyValue  replyKind = iota // a bulk string, or the first element of an array
	replyNull                    // a null bulk string
	replySimple                  // a simple string
	replyError
)

// reply is the answer of an ingress, or of a backend, to one command.
type reply struct {
	kind replyKind
	text string // without the type byte and line ends of the protocol
}

// readReply reads one reply, with as many calls of read as necessary.
func readReply(in *resp.FrameBuffer, read func([]byte) (int, error)) (reply, error) {
	for {
		frame, err := in.Next()
		if err != nil {
			return reply{}, fmt.Errorf("reading a reply: %w", err)
		}
		if frame != nil {
			_, value := redcon.ReadNextRESP(frame)
			return parseReply(value)
		}
		if err := in.Fill(read); err != nil {
			return reply{}, fmt.Errorf("reading a reply: %w", err)
		}
	}
}

func parseReply(value redcon.RESP) (reply, error) {
	switch {
	case value.Type == redcon.String:
		return reply{replySimple, string(value.Data)}, nil
	case value.Type == redcon.Error:
		return reply{replyError, string(value.Data)}, nil
	case value.Type == redcon.Bulk && value.Data == nil:
		return reply{kind: replyNull}, nil
	case value.Type == redcon.Bulk:
		return reply{replyValue, string(value.Data)}, nil
	case value.Type == redcon.Array && value.Count >= 1 && value.Count <= maxReplyElements:
		_, first := redcon.ReadNextRESP(value.Data)
		return parseReply(first)
	}
	return reply{}, fmt.Errorf("%w: %q", errUnexpectedReply, value.Raw)
}
