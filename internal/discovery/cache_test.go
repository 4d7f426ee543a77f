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

// streamSnapshot returns a reader of a snapshot of n endpoints, which is written while it is read.
func streamSnapshot(n int) io.Reader {
	reader, writer := io.Pipe()
	go func() {
		fmt.Fprint(writer, `{"rev":5,"all":true,"targets":[`)
		for i := range n {
			if i > 0 {
				io.WriteString(writer, ",\n")
			}
			text, _ := json.Marshal(newEntry(i, stateServing))
			writer.Write(text)
		}
		fmt.Fprint(writer, "]}")
		writer.Close()
	}()
	return reader
}

// A list of 200,000 endpoints is decoded to its end while only the subset is held in memory. Each cached endpoint belongs to
// the subset, and the estimated number of gateways that share an endpoint is about right.
func TestLongListIsDecodedAsAStreamAndCachedInPart(t *testing.T) {
	const listed = 200_000
	cache := NewCache(oneOfManyGateways(), discardLog)
	entries := 0
	header, list, err := cache.decode(json.NewDecoder(streamSnapshot(listed)), func() { entries++ })
	if err != nil || !header.IsSnapshot || *header.Revision != 5 || entries != listed {
		t.Fatalf("got %d entries, header %+v, error %v; want %d entries of a snapshot of revision 5", entries, header, err, listed)
	}
	if n := len(list.Entries); n > maxCacheSize || n < targetCacheSize/2 || cap(list.Entries) > 2*maxCacheSize {
		t.Errorf("got %d of %d entries, capacity %d; want %d to %d, capacity up to %d", n, listed, cap(list.Entries),
			targetCacheSize/2, maxCacheSize, 2*maxCacheSize)
	}
	list = cache.applyDecoded(list)
	ownZone := 0
	for _, entry := range list.Entries {
		if !cache.isWanted(entry) || !cache.members.IsCached(entry.UID) {
			t.Fatalf("published %+v, want only cached endpoints of the subset", entry)
		}
		if entry.Zone == "z3" {
			ownZone++
		}
	}
	if want := cache.members.Subset().GatewaysPerEndpoint(ownZone, len(list.Entries)-ownZone); list.GatewaysPerEndpoint != want {
		t.Errorf("got %v gateways per endpoint, want %v for %d in the own zone", list.GatewaysPerEndpoint, want, ownZone)
	}
	if got, want := list.GatewaysPerEndpoint, 6400*float64(len(list.Entries))/listed; got < want/2 || got > want*2 {
		t.Errorf("got %v gateways per endpoint, want about %v", got, want)
	}
}

// Every gateway caches the whole of a short list, so all gateways share each endpoint.
func TestShortListIsCachedWhole(t *testing.T) {
	for _, settings := range []policy.Settings{oneOfManyGateways(), {GatewayCount: 1},
		{GatewayIndex: 299, GatewayCount: 300, Zone: "z0"}} {
		cache := NewCache(settings, discardLog)
		_, list, err := cache.decode(json.NewDecoder(streamSnapshot(targetCacheSize)), func() {})
		list = cache.applyDecoded(list)
		if err != nil || len(list.Entries) != targetCacheSize || list.GatewaysPerEndpoint != float64(settings.GatewayCount) {
			t.Errorf("gateway %d of %d: got %d entries, %v gateways per endpoint, error %v; want %d entries, all gateways",
				settings.GatewayIndex, settings.GatewayCount, len(list.Entries), list.GatewaysPerEndpoint, err, targetCacheSize)
		}
	}
}

// Every change of a cached endpoint is published, even without a zone. Changes of endpoints outside the subset are not
// published. Endpoints that a narrowed subset no longer contains are published as removed.
func TestChangesOfALongListUpdateTheCachedPart(t *testing.T) {
	cache := NewCache(oneOfManyGateways(), discardLog)
	_, list, err := cache.decode(json.NewDecoder(streamSnapshot(20_000)), func() {})
	if err != nil {
		t.Fatal(err)
	}
	snapshot := cache.applyDecoded(list).Entries
	applyChange := func(entries ...Entry) EndpointList {
		text, _ := json.Marshal(EndpointList{Revision: 6, Entries: entries})
		_, list, err := cache.decode(json.NewDecoder(strings.NewReader(string(text))), func() {})
		if err != nil {
			t.Fatal(err)
		}
		return cache.applyDecoded(list)
	}
	draining := snapshot[0]
	draining.State = "DRAINING"
	if got := applyChange(draining); len(got.Entries) != 1 || got.Entries[0] != draining {
		t.Errorf("published %v, want one draining endpoint", got.Entries)
	}
	removed := Entry{UID: snapshot[1].UID, State: stateDeleted} // without a zone
	if got := applyChange(removed, newEntry(7_000_000, stateDeleted)); len(got.Entries) != 1 || got.Entries[0].UID != removed.UID {
		t.Errorf("published %v, want one removed endpoint", got.Entries)
	}
	isPublished := map[string]bool{}
	for _, entry := range snapshot {
		isPublished[entry.UID] = entry.UID != removed.UID
	}
	for i := 20_000; i < 40_000; i++ { // one change for each endpoint
		for _, entry := range applyChange(newEntry(i, stateServing)).Entries {
			isPublished[entry.UID] = entry.State != stateDeleted
		}
	}
	cached := 0
	for uid, exists := range isPublished {
		if cache.members.IsCached(uid) != exists {
			t.Fatalf("%s: got cached %v, want %v as published", uid, cache.members.IsCached(uid), exists)
		}
		if exists {
			cached++
		}
	}
	if cached > targetCacheSize || cached < targetCacheSize/2 {
		t.Errorf("got %d cached after 20,000 endpoints were added, want %d to %d", cached, targetCacheSize/2, targetCacheSize)
	}
}

// When a long list becomes short, it is polled at most three times until the whole list is cached.
func TestListThatShrinksIsPolledUntilItIsCachedWhole(t *testing.T) {
	service := standin.NewDiscovery(standin.DiscoveryConfig{})
	setListLength := func(n int) {
		var targets []standin.Target
		for i := range n {
			targets = append(targets, standin.Target(newEntry(i, stateServing)))
		}
		service.SetList(targets)
	}
	setListLength(20_000)
	lists := make(chan EndpointList, 64)
	client := NewClient(Config{Address: serveDiscovery(t, service), Settings: oneOfManyGateways()},
		func(list EndpointList) { lists <- list }, discardLog)
	stop := runClient(t, client)
	for n := len((<-lists).Entries); n < 300; { // until a part of the long list has been published
		n = len((<-lists).Entries)
	}
	pollsBefore := service.Stats().Lists
	setListLength(300)
	for list := range lists {
		if list.IsSnapshot && len(list.Entries) == 300 {
			if list.GatewaysPerEndpoint != 6400 {
				t.Errorf("got %v gateways per endpoint, want all 6400", list.GatewaysPerEndpoint)
			}
			break
		}
	}
	if polls := service.Stats().Lists - pollsBefore; polls > 3 {
		t.Errorf("got %d polls until the whole list is cached, want at most 3", polls)
	}
	stop()
}
