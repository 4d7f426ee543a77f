package discovery

import (
	"encoding/json"
	"log/slog"

	"lemontack/internal/subset"
	"lemontack/policy"
)

// DecodeKnownList decodes the list of a configuration as a stream, and returns the part of it that a gateway of these settings
// caches, with the subset that it was chosen by. Both go into Config.
func DecodeKnownList(objects *json.Decoder, settings policy.Settings, log *slog.Logger) (EndpointList, *subset.Subset, error) {
	cache := NewCache(settings, log)
	h, list, err := cache.decode(objects, func() {})
	if h.Revision != nil {
		list.Revision = *h.Revision
	}
	return list, cache.members.Subset(), err
}

// SkipKnownList reads past the list of a configuration, and fails where DecodeKnownList does.
func SkipKnownList(objects *json.Decoder) error {
	_, err := decodeList(objects, entryHandlers{before: func() {}, take: func(Entry) {}})
	return err
}
