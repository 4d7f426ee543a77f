package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors of objects that are no list.
var (
	errUnexpectedToken = errors.New("unexpected JSON token")
	errEntriesNoArray  = errors.New("targets are not an array")
)

// header is what an object of discovery says besides its entries.
type header struct {
	Revision   *int64
	Snapshot   bool
	hasEntries bool // it has an array of entries, which may be empty
}

// isComplete reports whether the object is a list: it has a revision and entries.
func (h header) isComplete() bool { return h.Revision != nil && h.hasEntries }

// entryHandlers are called while a list is decoded.
type entryHandlers struct {
	before func()      // each entry
	take   func(Entry) // each entry, decoded
}

// decodeList decodes one list or change as a stream, so that its length costs no memory. It calls the handlers for every
// entry in the order of the object, also where the header stands behind the entries. An error may come after some entries.
func decodeList(objects *json.Decoder, handlers entryHandlers) (header, error) {
	var h header
	if err := expectDelimiter(objects, '{'); err != nil {
		return h, err
	}
	for objects.More() {
		if err := h.decodeMember(objects, handlers); err != nil {
			return h, fmt.Errorf("decoding an endpoint list: %w", err)
		}
	}
	if _, err := objects.Token(); err != nil {
		return h, fmt.Errorf("decoding an endpoint list: %w", err)
	}
	return h, nil
}

// decodeMember decodes one key of the object and its value. Unknown keys are ignored.
func (h *header) decodeMember(objects *json.Decoder, handlers entryHandlers) error {
	token, err := objects.Token()
	if err != nil {
		return err
	}
	key, _ := token.(string)
	switch {
	case strings.EqualFold(key, "rev"):
		return objects.Decode(&h.Revision)
	case strings.EqualFold(key, "all"):
		return objects.Decode(&h.Snapshot)
	case strings.EqualFold(key, "targets"):
		h.hasEntries, err = decodeEntries(objects, handlers)
		return err
	}
	return objects.Decode(new(json.RawMessage))
}

// expectDelimiter reads the beginning of an object or array.
func expectDelimiter(objects *json.Decoder, want json.Delim) error {
	got, err := objects.Token()
	if err != nil {
		return fmt.Errorf("decoding an endpoint list: %w", err)
	}
	if got != want {
		return fmt.Errorf("decoding an endpoint list: %w: %v in place of %v", errUnexpectedToken, got, want)
	}
	return nil
}

// decodeEntries decodes the entries of a list. It reports whether there is an array of them; null is none.
func decodeEntries(objects *json.Decoder, handlers entryHandlers) (isArray bool, err error) {
	begin, err := objects.Token()
	switch {
	case err != nil:
		return false, err
	case begin == nil: // null
		return false, nil
	case begin != json.Delim('['):
		return false, errEntriesNoArray
	}
	for objects.More() {
		handlers.before()
		var entry Entry
		if err := objects.Decode(&entry); err != nil {
			return false, err
		}
		handlers.take(entry)
	}
	_, err = objects.Token()
	return err == nil, err
}
