package discovery

import (
	"encoding/json"
	"log/slog"
	"slices"

	"lemontack/internal/subset"
	"lemontack/policy"
)

// Sizes of the cache, in endpoints. A gateway caches the whole of a list of up to targetCacheSize endpoints. If a cache
// of the target size would leave too few gateways for each endpoint, the cache is larger, up to maxCacheSize. With 1,024 of
// 200,000 endpoints at each of 6,400 gateways, the busiest endpoint carries less than 1.5 times the mean (see
// internal/subsetcompare).
const (
	targetCacheSize = 1024
	maxCacheSize    = 4096
)

// Cache selects the part of discovery's list that a gateway caches: the whole of a short list, a subset of a long one. It
// keeps the ids only; the entries are returned to the caller for publishing. Only the goroutine that reads the lists may use
// it.
type Cache struct {
	members *subset.Members
	log     *slog.Logger
}

// NewCache returns an empty cache.
func NewCache(settings policy.Settings, log *slog.Logger) *Cache { return newCache(nil, settings, log) }

// newCache returns an empty cache for the given subset. If it is nil, the cache starts with the widest subset.
func newCache(gatewaySubset *subset.Subset, settings policy.Settings, log *slog.Logger) *Cache {
	if gatewaySubset == nil {
		gatewaySubset = subset.New(subset.Config{
			Index:          settings.GatewayIndex,
			GatewayCount:   settings.GatewayCount,
			Zone:           settings.Zone,
			CrossZonePrice: settings.CrossZonePrice,
			TargetSize:     targetCacheSize,
			MaxSize:        maxCacheSize,
		})
	}
	return &Cache{members: subset.NewMembers(gatewaySubset, settings.Zone), log: log}
}

// Apply updates the cache with a decoded list or change, and returns the part to publish.
func (cache *Cache) Apply(list EndpointList) EndpointList {
	batch := newEntryBatch()
	for _, entry := range list.Entries {
		cache.collect(batch, entry)
	}
	list.Entries = batch.entries
	return cache.applyDecoded(list)
}

// decode decodes the next list or change, and returns the entries of cached endpoints and of those that the subset contains.
// For a list of any length, at most as many entries of uncached endpoints are returned as the cache can hold. It calls
// beforeEntry before each entry.
func (cache *Cache) decode(decoder *json.Decoder, beforeEntry func()) (listHeader, EndpointList, error) {
	batch := newEntryBatch()
	onEntry := func(entry Entry) { cache.collect(batch, entry) }
	header, err := decodeList(decoder, entryHandlers{beforeEntry: beforeEntry, onEntry: onEntry})
	if err != nil || !header.isComplete() {
		return header, EndpointList{}, err
	}
	return header, EndpointList{Revision: *header.Revision, IsSnapshot: header.IsSnapshot, Entries: batch.entries}, nil
}

// collect adds an entry to the batch if it is valid and its endpoint is cached or in the subset. If the batch gets too long,
// collect narrows the subset and removes the entries that it no longer contains.
func (cache *Cache) collect(batch *entryBatch, entry Entry) {
	if !cache.isValid(entry) || !cache.isWanted(entry) {
		return
	}
	batch.add(entry)
	for cache.members.NarrowIfOverfull(len(batch.entries) - cache.members.Len()) {
		batch.filter(cache.isWanted)
	}
}

// applyDecoded updates the cache with a list or change that decode or collect has filtered, and returns the part to publish.
// Endpoints that the subset no longer contains are left out. A change also gets a removal for each of them that was cached.
func (cache *Cache) applyDecoded(list EndpointList) EndpointList {
	if list.IsSnapshot {
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
	if !list.IsSnapshot {
		for _, uid := range evicted {
			list.Entries = append(list.Entries, Entry{UID: uid, State: stateDeleted})
		}
	}
	list.GatewaysPerEndpoint = cache.members.GatewaysPerEndpoint()
	return list
}

// needsResync reports whether the whole list has to be read again.
func (cache *Cache) needsResync() bool { return cache.members.NeedsResync() }

// widenIfSparse widens the subset if the list has become short, and reports whether the whole list has to be read again.
func (cache *Cache) widenIfSparse() bool { return cache.members.WidenIfSparse() }

func (cache *Cache) isWanted(entry Entry) bool { return cache.members.IsWanted(entry.UID, entry.Zone) }

// isValid reports whether an entry can be used, and logs the reason if not.
func (cache *Cache) isValid(entry Entry) bool {
	err := entry.validate()
	if err != nil {
		cache.log.Warn("ignoring an invalid entry from discovery", "err", err)
	}
	return err == nil
}

// entryBatch holds the collected entries of one list or change, only the latest entry of each endpoint.
type entryBatch struct {
	entries   []Entry
	positions map[string]int // index in entries, by uid
}

func newEntryBatch() *entryBatch { return &entryBatch{positions: map[string]int{}} }

// add appends an entry, or replaces the earlier entry of the same endpoint.
func (batch *entryBatch) add(entry Entry) {
	if i, exists := batch.positions[entry.UID]; exists {
		batch.entries[i] = entry
		return
	}
	batch.positions[entry.UID] = len(batch.entries)
	batch.entries = append(batch.entries, entry)
}

// filter removes the entries for which isWanted returns false, and frees them for garbage collection.
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
