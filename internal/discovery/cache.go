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
func newCache(chosen *subset.Subset, settings policy.Settings, log *slog.Logger) *Cache {
	if chosen == nil {
		chosen = subset.New(subset.Config{
			Index:          settings.GatewayIndex,
			GatewayCount:   settings.GatewayCount,
			Zone:           settings.Zone,
			CrossZonePrice: settings.CrossZonePrice,
			TargetSize:     targetCacheSize,
			MaxSize:        maxCacheSize,
		})
	}
	return &Cache{members: subset.NewMembers(chosen, settings.Zone), log: log}
}

// Apply takes over a list or a change that is in memory already, and returns the part of it to publish.
func (c *Cache) Apply(list EndpointList) EndpointList {
	wanted := newBatch()
	for _, entry := range list.Entries {
		c.collect(wanted, entry)
	}
	list.Entries = wanted.entries
	return c.apply(list)
}

// decode decodes the next list or change. However long it is, no more of its entries are returned than the cache can hold,
// besides those of endpoints that are cached, of which every change counts. It calls beforeEntry before each entry.
func (c *Cache) decode(objects *json.Decoder, beforeEntry func()) (header, EndpointList, error) {
	wanted := newBatch()
	take := func(entry Entry) { c.collect(wanted, entry) }
	h, err := decodeList(objects, entryHandlers{before: beforeEntry, take: take})
	if err != nil || !h.isComplete() {
		return h, EndpointList{}, err
	}
	return h, EndpointList{Revision: *h.Revision, Snapshot: h.Snapshot, Entries: wanted.entries}, nil
}

// collect adds an entry to the batch if it is valid and wanted, and narrows the subset if the batch gets too long.
func (c *Cache) collect(wanted *batch, entry Entry) {
	if !c.isValid(entry) || !c.isWanted(entry) {
		return
	}
	wanted.add(entry)
	for c.members.NarrowIfOverfull(len(wanted.entries) - c.members.Len()) {
		wanted.filter(c.isWanted)
	}
}

// apply takes over what decode or collect returned, and returns the part of it to publish. Endpoints that the subset no
// longer contains by then are left out, or published as removed if they were cached.
func (c *Cache) apply(list EndpointList) EndpointList {
	if list.Snapshot {
		c.members.Reset()
	}
	for _, entry := range list.Entries {
		if entry.isRemoved() {
			c.members.Remove(entry.UID)
		} else {
			c.members.Add(entry.UID, entry.Zone)
		}
	}
	evicted := c.members.Evict()
	if len(evicted) > 0 {
		list.Entries = slices.DeleteFunc(list.Entries, func(entry Entry) bool {
			return !entry.isRemoved() && !c.members.IsCached(entry.UID)
		})
	}
	if !list.Snapshot {
		for _, uid := range evicted {
			list.Entries = append(list.Entries, Entry{UID: uid, State: stateDeleted})
		}
	}
	list.GatewaysPerEndpoint = c.members.GatewaysPerEndpoint()
	return list
}

// needsResync reports whether the whole list has to be read again.
func (c *Cache) needsResync() bool { return c.members.NeedsResync() }

// widenIfSparse makes room for more endpoints if the list has become short, and reports whether the whole list has to be
// read again.
func (c *Cache) widenIfSparse() bool { return c.members.WidenIfSparse() }

func (c *Cache) isWanted(entry Entry) bool { return c.members.IsWanted(entry.UID, entry.Zone) }

// isValid reports whether an entry can be used, and logs why not.
func (c *Cache) isValid(entry Entry) bool {
	err := entry.validate()
	if err != nil {
		c.log.Warn("discovery ignores an invalid entry", "err", err)
	}
	return err == nil
}

// batch holds the wanted entries of one list, the latest of each endpoint.
type batch struct {
	entries []Entry
	index   map[string]int // in entries, by uid
}

func newBatch() *batch { return &batch{index: map[string]int{}} }

// add appends an entry, or replaces the earlier one of its endpoint.
func (b *batch) add(entry Entry) {
	if i, exists := b.index[entry.UID]; exists {
		b.entries[i] = entry
		return
	}
	b.index[entry.UID] = len(b.entries)
	b.entries = append(b.entries, entry)
}

// filter removes the entries that are not wanted.
func (b *batch) filter(isWanted func(Entry) bool) {
	old := b.entries
	b.entries = old[:0]
	clear(b.index)
	for _, entry := range old {
		if isWanted(entry) {
			b.add(entry)
		}
	}
	clear(old[len(b.entries):])
}
