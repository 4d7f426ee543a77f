package discovery

import (
	"encoding/json"
	"log/slog"
	"slices"

	"lemontack/internal/subset"
	"lemontack/policy"
)

// Sizes of the cache, in endpoints. A gateway caches all of a list of up to targetCacheSize. With 1,024 the busiest of
// 200,000 endpoints before 6,400 gateways carries less than one and a half times the mean (see internal/subsets).
// maxCacheSize bounds the cache where it takes more than the target for each endpoint to be shared by enough gateways.
const (
	targetCacheSize = 1024
	maxCacheSize    = 4096
)

// Cache selects which part of discovery's list a gateway caches: all of a short one, a subset of a long one. It tracks the
// ids only; the entries go to whoever the lists are published to. It belongs to the goroutine that reads the lists.
type Cache struct {
	members *subset.Members
	log     *slog.Logger
}

// NewCache returns an empty cache.
func NewCache(settings policy.Settings, log *slog.Logger) *Cache { return newCache(nil, settings, log) }

// newCache returns an empty cache for that subset; nil: the widest one.
func newCache(gatewaySubset *subset.Subset, settings policy.Settings, log *slog.Logger) *Cache {
	if gatewaySubset == nil {
		gatewaySubset = subset.New(subset.Config{
			Index:          settings.Index,
			GatewayCount:   settings.GatewayCount,
			Zone:           settings.Zone,
			CrossZonePrice: settings.CrossZonePrice,
			TargetSize:     targetCacheSize,
			MaxSize:        maxCacheSize,
		})
	}
	return &Cache{members: subset.NewMembers(gatewaySubset, settings.Zone), log: log}
}

// Apply takes over a list or a change that is in memory already, and returns the part of it to publish.
func (cache *Cache) Apply(list EndpointList) EndpointList {
	collected := newEntryBatch()
	for _, entry := range list.Entries {
		cache.collect(collected, entry)
	}
	list.Entries = collected.entries
	return cache.applyDecoded(list)
}

// decode decodes the next list or change. However long it is, no more of its entries are returned than the cache can hold,
// besides those of endpoints that are cached, of which every change counts. It calls beforeEntry before each entry.
func (cache *Cache) decode(decoder *json.Decoder, beforeEntry func()) (listHeader, EndpointList, error) {
	collected := newEntryBatch()
	onEntry := func(entry Entry) { cache.collect(collected, entry) }
	header, err := decodeList(decoder, entryHandlers{beforeEntry: beforeEntry, onEntry: onEntry})
	if err != nil || !header.isComplete() {
		return header, EndpointList{}, err
	}
	return header, EndpointList{Revision: *header.Revision, Snapshot: header.Snapshot, Entries: collected.entries}, nil
}

// collect adds an entry to the batch if it is valid and wanted, and narrows the subset if the batch gets too long.
func (cache *Cache) collect(collected *entryBatch, entry Entry) {
	if !cache.isValid(entry) || !cache.isWanted(entry) {
		return
	}
	collected.add(entry)
	for cache.members.NarrowIfOverfull(len(collected.entries) - cache.members.Len()) {
		collected.filter(cache.isWanted)
	}
}

// applyDecoded takes over what decode or collect returned, and returns the part of it to publish. Endpoints that the subset no
// longer contains by then are left out, or published as removed if they were cached.
func (cache *Cache) applyDecoded(list EndpointList) EndpointList {
	if list.Snapshot {
		cache.members.Reset()
	}
	for _, entry := range list.Entries {
		if entry.isRemoved() {
			cache.members.Remove(entry.UID)
		} else {
			cache.members.Add(entry.UID, entry.Zone)
		}
	}
	evicted := cache.members.Evict()
	if len(evicted) > 0 {
		list.Entries = slices.DeleteFunc(list.Entries, func(entry Entry) bool {
			return !entry.isRemoved() && !cache.members.IsCached(entry.UID)
		})
	}
	if !list.Snapshot {
		for _, uid := range evicted {
			list.Entries = append(list.Entries, Entry{UID: uid, State: stateDeleted})
		}
	}
	list.GatewaysPerEndpoint = cache.members.GatewaysPerEndpoint()
	return list
}

// needsResync reports whether the whole list has to be read again.
func (cache *Cache) needsResync() bool { return cache.members.NeedsResync() }

// widenIfSparse makes room for more endpoints if the list has become short, and reports whether the whole list has to be
// read again.
func (cache *Cache) widenIfSparse() bool { return cache.members.WidenIfSparse() }

func (cache *Cache) isWanted(entry Entry) bool { return cache.members.IsWanted(entry.UID, entry.Zone) }

// isValid reports whether an entry can be used, and logs why not.
func (cache *Cache) isValid(entry Entry) bool {
	err := entry.validate()
	if err != nil {
		cache.log.Warn("discovery ignores an invalid entry", "err", err)
	}
	return err == nil
}

// entryBatch holds the wanted entries of one list, the latest of each endpoint.
type entryBatch struct {
	entries   []Entry
	positions map[string]int // in entries, by uid
}

func newEntryBatch() *entryBatch { return &entryBatch{positions: map[string]int{}} }

// add appends an entry, or replaces the earlier one of its endpoint.
func (batch *entryBatch) add(entry Entry) {
	if i, exists := batch.positions[entry.UID]; exists {
		batch.entries[i] = entry
		return
	}
	batch.positions[entry.UID] = len(batch.entries)
	batch.entries = append(batch.entries, entry)
}

// filter removes the entries that are not wanted.
func (batch *entryBatch) filter(isWanted func(Entry) bool) {
	previous := batch.entries
	batch.entries = previous[:0]
	clear(batch.positions)
	for _, entry := range previous {
		if isWanted(entry) {
			batch.add(entry)
		}
	}
	clear(previous[len(batch.entries):])
}
