package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors of objects that are not an endpoint list.
var (
	errUnexpectedToken = errors.New("unexpected JSON token")
	errEntriesNotArray = errors.New("targets is not an array")
)

// listHeader holds the members of a list or change other than its entries.
type listHeader struct {
	Revision   *int64
	IsSnapshot bool
	hasEntries bool // the object has an array of entries, possibly empty
}

// isComplete reports whether the object has both a revision and an array of entries.
func (h listHeader) isComplete() bool { return h.Revision != nil && h.hasEntries }

// entryHandlers holds the functions that decodeList calls for each entry.
type entryHandlers struct {
	beforeEntry func()      // called before each entry
	onEntry     func(Entry) // called with each decoded entry
}

// decodeList decodes one list or change as a stream, so that memory does not grow with its length. It calls the handlers for
// each entry in order, even if the header follows the entries. Handlers may have been called before it returns an error.
func decodeList(decoder *json.Decoder, handlers entryHandlers) (listHeader, error) {
	var header listHeader
	if err := expectDelimiter(decoder, '{'); err != nil {
		return header, err
	}
	for decoder.More() {
		if err := header.decodeMember(decoder, handlers); err != nil {
			return header, fmt.Errorf("decoding an endpoint list: %w", err)
		}
	}
	if _, err := decoder.Token(); err != nil {
		return header, fmt.Errorf("decoding an endpoint list: %w", err)
	}
	return header, nil
}

// decodeMember decodes one key of the object and its value. Unknown keys are ignored.
func (h *listHeader) decodeMember(decoder *json.Decoder, handlers entryHandlers) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	key, _ := token.(string)
	switch {
	case strings.EqualFold(key, "rev"):
		return decoder.Decode(&h.Revision)
	case strings.EqualFold(key, "all"):
		return decoder.Decode(&h.IsSnapshot)
	case strings.EqualFold(key, "targets"):
		h.hasEntries, err = decodeEntries(decoder, handlers)
		return err
	}
	return decoder.Decode(new(json.RawMessage))
}

// expectDelimiter reads a token that has to be the given delimiter.
func expectDelimiter(decoder *json.Decoder, want json.Delim) error {
	got, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("decoding an endpoint list: %w", err)
	}
	if got != want {
		return fmt.Errorf("decoding an endpoint list: %w: got %v, want %v", errUnexpectedToken, got, want)
	}
	return nil
}

// decodeEntries decodes the entries of a list, and reports whether the value is an array. The value null is not an error.
func decodeEntries(decoder *json.Decoder, handlers entryHandlers) (isArray bool, err error) {
	start, err := decoder.Token()
	switch {
	case err != nil:
		return false, err
	case start == nil: // null
		return false, nil
	case start != json.Delim('['):
		return false, errEntriesNotArray
	}
	for decoder.More() {
		handlers.beforeEntry()
		var entry Entry
		if err := decoder.Decode(&entry); err != nil {
			return false, err
		}
		handlers.onEntry(entry)
	}
	_, err = decoder.Token()
	return err == nil, err
}
