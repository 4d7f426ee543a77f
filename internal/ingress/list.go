package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// heading is what an object of discovery says besides its entries.
type heading struct {
	Rev    *int64
	All    bool
	listed bool // it has entries, or says that there are none
}

// readList reads one list or change as a stream, so that its length costs no memory: each is told before every entry and
// take of every entry, in the order of the object, also where the heading stands behind them. An error may come after some
// entries.
func readList(objects *json.Decoder, each func(), take func(Target)) (heading, error) {
	var h heading
	if err := open(objects, '{'); err != nil {
		return h, err
	}
	for objects.More() {
		key, err := objects.Token()
		if err != nil {
			return h, fmt.Errorf("list: %w", err)
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "rev"):
			err = objects.Decode(&h.Rev)
		case strings.EqualFold(name, "all"):
			err = objects.Decode(&h.All)
		case strings.EqualFold(name, "targets"):
			h.listed, err = readEntries(objects, each, take)
		default:
			err = objects.Decode(new(json.RawMessage))
		}
		if err != nil {
			return h, fmt.Errorf("list: %w", err)
		}
	}
	_, err := objects.Token()
	if err != nil {
		return h, fmt.Errorf("list: %w", err)
	}
	return h, nil
}

// open reads the beginning of an object or array.
func open(objects *json.Decoder, want json.Delim) error {
	got, err := objects.Token()
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if got != want {
		return fmt.Errorf("list: %v where %v is wanted", got, want)
	}
	return nil
}

// readEntries reads the entries of a list; it says whether there is an array of them.
func readEntries(objects *json.Decoder, each func(), take func(Target)) (bool, error) {
	begin, err := objects.Token()
	switch {
	case err != nil:
		return false, err
	case begin == nil: // null
		return false, nil
	case begin != json.Delim('['):
		return false, errors.New("targets are no array")
	}
	for objects.More() {
		each()
		var t Target
		if err := objects.Decode(&t); err != nil {
			return false, err
		}
		take(t)
	}
	_, err = objects.Token()
	return err == nil, err
}
