package subset

import (
	"strconv"
	"testing"
)

// newTestMembers returns the members of one gateway's subset of a target size.
func newTestMembers(targetSize int) *Members {
	return NewMembers(New(Config{Index: 37, GatewayCount: 6400, Zone: "z2", CrossZonePrice: 1, TargetSize: targetSize,
		MaxSize: targetSize}), "z2")
}

// Evicting narrows the subset until the members fit, and exactly those that no longer belong to it go.
func TestEvictRemovesWhatTheNarrowedSubsetDoesNotContain(t *testing.T) {
	members := newTestMembers(100)
	for i := range 1000 {
		members.Add(listEntry(i))
	}
	evicted := map[string]bool{}
	for _, id := range members.Evict() {
		evicted[id] = true
	}
	if members.Len() > 100 || members.Len()+len(evicted) != 1000 {
		t.Errorf("%d cached and %d evicted of 1000", members.Len(), len(evicted))
	}
	for i := range 1000 {
		id, zone := listEntry(i)
		contained := members.Subset().Contains(id, zone)
		if members.IsCached(id) != contained || evicted[id] == contained || members.IsWanted(id, zone) != contained {
			t.Fatalf("%s: cached %v, evicted %v, contained %v", id, members.IsCached(id), evicted[id], contained)
		}
	}
	if again := members.Evict(); again != nil {
		t.Errorf("%v evicted again", again)
	}
}

// When nearly all members are removed they need one resync, until a snapshot resets them; the wider subset then contains more.
func TestSparseMembersNeedAResyncUntilTheSnapshot(t *testing.T) {
	members := newTestMembers(100)
	for i := range 1000 {
		members.Add(listEntry(i))
	}
	members.Evict()
	if members.WidenIfSparse() || members.NeedsResync() {
		t.Fatal("full members need a resync")
	}
	before := members.Subset().RingShare(false)
	for i := range 1000 {
		if id, _ := listEntry(i); i > 30 {
			members.Remove(id)
		}
	}
	if !members.WidenIfSparse() || !members.NeedsResync() {
		t.Fatal("sparse members need no resync")
	}
	share := members.Subset().RingShare(false)
	if share <= before {
		t.Errorf("arcs of %v widened to %v", before, share)
	}
	if !members.WidenIfSparse() || members.Subset().RingShare(false) != share {
		t.Error("widened twice before the resync")
	}
	members.Reset()
	if members.NeedsResync() || members.Len() != 0 {
		t.Errorf("after a snapshot: resync %v, %d cached", members.NeedsResync(), members.Len())
	}
}

// A removed member is no longer cached; removing one that is not cached changes nothing.
func TestRemovedMemberIsNoLongerCached(t *testing.T) {
	members := newTestMembers(100)
	for i := range 3 {
		members.Add(strconv.Itoa(i), "z2")
	}
	members.Remove("1")
	members.Remove("unknown")
	if members.Len() != 2 || members.IsCached("1") || !members.IsCached("2") {
		t.Errorf("%d cached, the removed one: %v", members.Len(), members.IsCached("1"))
	}
}
