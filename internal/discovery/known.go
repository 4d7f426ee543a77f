package discovery

import (
	"encoding/json"
	"log/slog"

	"lemontack/internal/subset"
	"lemontack/policy"
)

// DecodeKnownList decodes the endpoint list of a configuration file as a stream. It returns the part that a gateway with these
// settings caches, and the subset that selected it. Both are meant for Config.
func DecodeKnownList(decoder *json.Decoder, settings policy.Settings, log *slog.Logger) (EndpointList, *subset.Subset, error) {
	cache := NewCache(settings, log)
	header, list, err := cache.decode(decoder, func() {})
	if header.Revision != nil {
		list.Revision = *header.Revision
	}
	return list, cache.members.Subset(), err
}

// SkipKnownList decodes the endpoint list of a configuration file and discards it. It returns an error for the same input as
// DecodeKnownList.
func SkipKnownList(decoder *json.Decoder) error {
	_, err := decodeList(decoder, entryHandlers{beforeEntry: func() {}, onEntry: func(Entry) {}})
	return err
}
