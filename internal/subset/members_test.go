package subset

import (
	"strconv"
	"testing"
)

// newTestMembers returns the empty members of one gateway's subset with the given target and maximum size.
func newTestMembers(targetSize int) *Members {
	return NewMembers(New(Config{Index: 37, GatewayCount: 6400, Zone: "z2", CrossZonePrice: 1, TargetSize: targetSize,
		MaxSize: targetSize}), "z2")
}

// Evict narrows the subset until the members fit, and removes exactly those that no longer belong to it.
func TestEvictRemovesEndpointsOutsideTheNarrowedSubset(t *testing.T) {
	members := newTestMembers(100)
	for i := range 1000 {
		members.Add(newListEntry(i))
	}
	evicted := map[string]bool{}
	for _, id := range members.Evict() {
		evicted[id] = true
	}
	if members.Len() > 100 || members.Len()+len(evicted) != 1000 {
		t.Errorf("got %d cached and %d evicted, want at most 100 cached and 1000 in total", members.Len(), len(evicted))
	}
	for i := range 1000 {
		id, zone := newListEntry(i)
		contained := members.Subset().Contains(id, zone)
		if members.IsCached(id) != contained || evicted[id] == contained || members.IsWanted(id, zone) != contained {
			t.Fatalf("%s: got cached %v, evicted %v, wanted %v; subset contains it: %v", id, members.IsCached(id), evicted[id],
				members.IsWanted(id, zone), contained)
		}
	}
	if evictedAgain := members.Evict(); evictedAgain != nil {
		t.Errorf("second eviction: got %v, want none", evictedAgain)
	}
}

// When nearly all members are removed, the subset is widened once, and a resync is needed until a snapshot resets the members.
func TestSparseMembersNeedOneResyncUntilReset(t *testing.T) {
	members := newTestMembers(100)
	for i := range 1000 {
		members.Add(newListEntry(i))
	}
	members.Evict()
	if members.WidenIfSparse() || members.NeedsResync() {
		t.Fatal("full subset: got a resync, want none")
	}
	shareBefore := members.Subset().RingShare(false)
	for i := range 1000 {
		if id, _ := newListEntry(i); i > 30 {
			members.Remove(id)
		}
	}
	if !members.WidenIfSparse() || !members.NeedsResync() {
		t.Fatal("sparse subset: got no resync, want one")
	}
	share := members.Subset().RingShare(false)
	if share <= shareBefore {
		t.Errorf("ring share: got %v after widening, want more than %v", share, shareBefore)
	}
	if !members.WidenIfSparse() || members.Subset().RingShare(false) != share {
		t.Error("subset was widened twice before the resync, want once")
	}
	members.Reset()
	if members.NeedsResync() || members.Len() != 0 {
		t.Errorf("after reset: got resync needed %v, %d cached; want no resync, 0 cached", members.NeedsResync(), members.Len())
	}
}

// A removed member is no longer cached. Removing an endpoint that is not cached changes nothing.
func TestRemovedMemberIsNotCached(t *testing.T) {
	members := newTestMembers(100)
	for i := range 3 {
		members.Add(strconv.Itoa(i), "z2")
	}
	members.Remove("1")
	members.Remove("unknown")
	if members.Len() != 2 || members.IsCached("1") || !members.IsCached("2") {
		t.Errorf("got %d cached, the removed one %v, the other %v; want 2, false, true", members.Len(), members.IsCached("1"),
			members.IsCached("2"))
	}
}
