package discovery

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"lemontack/internal/standin"
	"lemontack/policy"
)

// longSnapshot is a snapshot of n endpoints, written as it is read.
func longSnapshot(n int) io.Reader {
	reader, writer := io.Pipe()
	go func() {
		fmt.Fprint(writer, `{"rev":5,"all":true,"targets":[`)
		for i := range n {
			if i > 0 {
				io.WriteString(writer, ",\n")
			}
			text, _ := json.Marshal(entryOf(i, stateServing))
			writer.Write(text)
		}
		fmt.Fprint(writer, "]}")
		writer.Close()
	}()
	return reader
}

// A list of 200,000 is decoded to its end, and no more than the subset of it is ever cached; each cached endpoint belongs to
// the subset, and the estimate of how many gateways share it is near the truth.
func TestCacheDecodesALongListAsAStream(t *testing.T) {
	const listed = 200_000
	cache := NewCache(manyGateways(), quiet)
	entries := 0
	h, list, err := cache.decode(json.NewDecoder(longSnapshot(listed)), func() { entries++ })
	if err != nil || !h.Snapshot || *h.Revision != 5 || entries != listed {
		t.Fatalf("%d entries, %+v, %v", entries, h, err)
	}
	if n := len(list.Entries); n > maxCacheSize || n < targetCacheSize/2 || cap(list.Entries) > 2*maxCacheSize {
		t.Errorf("%d of %d cached, room for %d; want up to %d", n, listed, cap(list.Entries), targetCacheSize)
	}
	list = cache.apply(list)
	own := 0
	for _, entry := range list.Entries {
		if !cache.isWanted(entry) || !cache.members.IsCached(entry.UID) {
			t.Fatalf("%+v is published", entry)
		}
		if entry.Zone == "z3" {
			own++
		}
	}
	if want := cache.members.Subset().GatewaysPerEndpoint(own, len(list.Entries)-own); list.GatewaysPerEndpoint != want {
		t.Errorf("%v gateways per endpoint, want %v for %d in the own zone", list.GatewaysPerEndpoint, want, own)
	}
	if got, want := list.GatewaysPerEndpoint, 6400*float64(len(list.Entries))/listed; got < want/2 || got > want*2 {
		t.Errorf("%v gateways per endpoint, want about %v", got, want)
	}
}

// Every gateway caches all of a short list, and all gateways share it.
func TestCacheHoldsTheWholeOfAShortList(t *testing.T) {
	for _, settings := range []policy.Settings{manyGateways(), {GatewayCount: 1}, {GatewayIndex: 299, GatewayCount: 300, Zone: "z0"}} {
		cache := NewCache(settings, quiet)
		_, list, err := cache.decode(json.NewDecoder(longSnapshot(targetCacheSize)), func() {})
		list = cache.apply(list)
		if err != nil || len(list.Entries) != targetCacheSize || list.GatewaysPerEndpoint != float64(settings.GatewayCount) {
			t.Errorf("%d of %d: %d cached, %v gateways per endpoint, %v", settings.GatewayIndex, settings.GatewayCount,
				len(list.Entries), list.GatewaysPerEndpoint, err)
		}
	}
}

// Changes are applied one by one: every change of a cached endpoint counts, in whatever form it comes; others cost nothing;
// and endpoints that have to leave a narrowed subset are published as removed.
func TestCacheAppliesChangesOfALongList(t *testing.T) {
	cache := NewCache(manyGateways(), quiet)
	_, list, err := cache.decode(json.NewDecoder(longSnapshot(20_000)), func() {})
	if err != nil {
		t.Fatal(err)
	}
	first := cache.apply(list).Entries
	change := func(entries ...Entry) EndpointList {
		text, _ := json.Marshal(EndpointList{Revision: 6, Entries: entries})
		_, list, err := cache.decode(json.NewDecoder(strings.NewReader(string(text))), func() {})
		if err != nil {
			t.Fatal(err)
		}
		return cache.apply(list)
	}
	draining := first[0]
	draining.State = "DRAINING"
	if got := change(draining); len(got.Entries) != 1 || got.Entries[0] != draining {
		t.Errorf("published %v, want one that drains", got.Entries)
	}
	removed := Entry{UID: first[1].UID, State: stateDeleted} // with no zone
	if got := change(removed, entryOf(7_000_000, stateDeleted)); len(got.Entries) != 1 || got.Entries[0].UID != removed.UID {
		t.Errorf("published %v, want one that is removed", got.Entries)
	}
	published := map[string]bool{}
	for _, entry := range first {
		published[entry.UID] = entry.UID != removed.UID
	}
	for i := 20_000; i < 40_000; i++ { // one by one
		for _, entry := range change(entryOf(i, stateServing)).Entries {
			published[entry.UID] = entry.State != stateDeleted
		}
	}
	cached := 0
	for uid, exists := range published {
		if cache.members.IsCached(uid) != exists {
			t.Fatalf("%s: cached %v, published %v", uid, cache.members.IsCached(uid), exists)
		}
		if exists {
			cached++
		}
	}
	if cached > targetCacheSize || cached < targetCacheSize/2 {
		t.Errorf("%d cached after 20,000 have joined", cached)
	}
}

// When a long list becomes short it is polled again until all of it is cached, up to three times.
func TestClientResyncsWhenALongListGrowsShort(t *testing.T) {
	service := standin.NewDiscovery(standin.DiscoveryConfig{})
	set := func(n int) {
		var targets []standin.Target
		for i := range n {
			targets = append(targets, standin.Target(entryOf(i, stateServing)))
		}
		service.SetList(targets)
	}
	set(20_000)
	lists := make(chan EndpointList, 64)
	client := NewClient(Config{Address: serveDiscovery(t, service), Settings: manyGateways()},
		func(list EndpointList) { lists <- list }, quiet)
	stop := runClient(t, client)
	for n := len((<-lists).Entries); n < 300; { // cached of the long list
		n = len((<-lists).Entries)
	}
	before := service.Stats().Lists
	set(300)
	for list := range lists {
		if list.Snapshot && len(list.Entries) == 300 {
			if list.GatewaysPerEndpoint != 6400 {
				t.Errorf("%v gateways per endpoint, want all", list.GatewaysPerEndpoint)
			}
			break
		}
	}
	if polls := service.Stats().Lists - before; polls > 3 {
		t.Errorf("%d polls until all of it is cached", polls)
	}
	stop()
}
