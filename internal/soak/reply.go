package soak

import (
	"bufio"
	"strings"
)

// ReplyKind is the kind of an ingress's reply.
type ReplyKind string

// The kinds of replies.
const (
	ReplyValue   ReplyKind = "value"
	ReplyBusy    ReplyKind = "busy" // rejection without execution
	ReplyError   ReplyKind = "error"
	ReplyInvalid ReplyKind = "invalid" // text that is not a reply of the protocol
)

// readReply reads one reply. It returns the kind and the value, or the line of a reply that has no value.
func readReply(in *bufio.Reader) (kind ReplyKind, text string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		return ReplyBusy, line, nil
	case strings.HasPrefix(line, "-ERR"):
		return ReplyError, line, nil
	case !strings.HasPrefix(line, "$"):
		return ReplyInvalid, line, nil
	}
	value, err := in.ReadString('\n')
	return ReplyValue, strings.TrimRight(value, "\r\n"), err
}
