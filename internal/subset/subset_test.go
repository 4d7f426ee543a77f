package subset

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
)

// streamReader caches its subset of a list that it reads as a stream, and counts the steps.
type streamReader struct {
	*Subset
	ownZone, otherZones      map[string]string // zones of the cached endpoints, by id
	maxCached, examinedCount int               // maximum of entries cached at once; calls of Contains
	narrowCount, widenCount  int
}

func newStreamReader(index, gateways int, zone string, targetSize, maxSize int) *streamReader {
	c := Config{Index: index, GatewayCount: gateways, Zone: zone, CrossZonePrice: 1, TargetSize: targetSize, MaxSize: maxSize}
	return &streamReader{Subset: New(c), ownZone: map[string]string{},
		otherZones: map[string]string{}}
}

func (r *streamReader) cached() int { return len(r.ownZone) + len(r.otherZones) }

func (r *streamReader) add(id string, zone string) {
	r.examinedCount++
	if !r.Contains(id, zone) {
		return
	}
	zoneEntries := r.otherZones
	if zone == r.preferredZone {
		zoneEntries = r.ownZone
	}
	zoneEntries[id] = zone
	r.maxCached = max(r.maxCached, r.cached())
	for r.IsOverfull(r.cached()) {
		r.Narrow()
		r.narrowCount++
		r.examinedCount += r.cached()
		for _, zoneEntries := range []map[string]string{r.ownZone, r.otherZones} {
			for id, zone := range zoneEntries {
				if !r.Contains(id, zone) {
					delete(zoneEntries, id)
				}
			}
		}
	}
}

func (r *streamReader) remove(id string) {
	delete(r.ownZone, id)
	delete(r.otherZones, id)
}

// newListEntry returns the id and zone of the i-th entry of a list in nine zones.
func newListEntry(i int) (string, string) {
	return string("n" + strconv.Itoa(i)), "z" + strconv.Itoa(i%9)
}

// truncate removes the endpoints after the first n of the list.
func (r *streamReader) truncate(n int) {
	for _, zoneEntries := range []map[string]string{r.ownZone, r.otherZones} {
		for id := range zoneEntries {
			if i, _ := strconv.Atoi(id[1:]); i >= n {
				delete(zoneEntries, id)
			}
		}
	}
}

// resync widens the subset and reads the first n entries of the list until the cached part is no longer sparse.
func (r *streamReader) resync(t *testing.T, n int) {
	t.Helper()
	for r.IsSparse(r.cached()) {
		if r.widenCount++; r.widenCount > 50 {
			t.Fatalf("subset is still sparse with %d of %d endpoints after 50 reads of the list", r.cached(), n)
		}
		r.Widen()
		r.read(n)
	}
}

func (r *streamReader) read(n int) {
	for i := range n {
		r.add(newListEntry(i))
	}
}

// While a list of any length is read, the cached entries stay within the bound. They are examined again only when the arcs
// narrow, once for each level.
func TestSubsetStaysWithinItsBoundWhileAListIsRead(t *testing.T) {
	for _, c := range []struct{ index, gateways, listLength, targetSize, maxSize, wantMax, wantMin int }{
		{0, 6400, 200_000, 1024, 1024, 1024, 512},
		{6399, 6400, 200_000, 2048, 30_000, 2048, 1024},
		{4711, 6400, 20_000, 1024, 30_000, 1024, 512},
		{299, 300, 200_000, 1024, 30_000, 30_000, 200_000 * 16 / 300}, // the target is exceeded for enough gateways per endpoint
		{299, 300, 200_000, 1024, 4096, 4096, 2048},                   // the maximum size takes precedence
		{7, 10, 200_000, 1024, 4096, 4096, 2048},
		{7, 10, 200_000, 1, 1, 1, 0},
	} {
		r := newStreamReader(c.index, c.gateways, "z3", c.targetSize, c.maxSize)
		r.read(c.listLength)
		bound := max(c.targetSize, c.maxSize) + 1
		if r.maxCached > bound || r.cached() > c.wantMax || r.cached() < c.wantMin {
			t.Errorf("%+v: got %d cached, %d at the peak; want at most %d at the peak", c, r.cached(), r.maxCached, bound)
		}
		if maxExamined := c.listLength + r.narrowCount*bound; r.examinedCount > maxExamined {
			t.Errorf("%+v: got %d entries examined, want at most %d", c, r.examinedCount, maxExamined)
		}
	}
}

// Every gateway caches the whole of a list that does not exceed the target size.
func TestSubsetContainsTheWholeOfAShortList(t *testing.T) {
	for _, c := range []struct{ gateways, listLength int }{{1, 1}, {3, 10}, {300, 200}, {300, 1024}, {6400, 1024}} {
		for index := 0; index < c.gateways; index += 1 + c.gateways/50 {
			r := newStreamReader(index, c.gateways, "z1", 1024, 1024)
			r.read(c.listLength)
			if r.cached() != c.listLength || r.narrowCount != 0 || r.IsSparse(0) {
				t.Fatalf("gateway %d of %d: got %d of %d cached, narrowed %d times, sparse %v; want all cached, never narrowed",
					index, c.gateways, r.cached(), c.listLength, r.narrowCount, r.IsSparse(0))
			}
			if n := r.GatewaysPerEndpoint(len(r.ownZone), len(r.otherZones)); int(n+0.5) != c.gateways {
				t.Fatalf("got %f gateways per endpoint, want all %d", n, c.gateways)
			}
		}
	}
}

// If the maximum size allows it, every endpoint is cached by enough gateways, and the estimate of how many is about right.
func TestSubsetsOfAllGatewaysCoverTheList(t *testing.T) {
	for _, gateways := range []int{10, 100, 300} {
		const listLength = 2000
		gatewayCounts, pairCount, meanEstimate := map[string]int{}, 0, 0.0
		for index := range gateways {
			r := newStreamReader(index, gateways, fmt.Sprint("z", index*7%9), 128, listLength)
			r.read(listLength)
			for _, zoneEntries := range []map[string]string{r.ownZone, r.otherZones} {
				for id := range zoneEntries {
					gatewayCounts[id]++
					pairCount++
				}
			}
			meanEstimate += r.GatewaysPerEndpoint(len(r.ownZone), len(r.otherZones)) / float64(gateways)
		}
		fewest := gateways
		for i := range listLength {
			id, _ := newListEntry(i)
			fewest = min(fewest, gatewayCounts[id])
		}
		if fewest < min(gateways, minGatewaysPerEndpoint/2) {
			t.Errorf("%d gateways: got an endpoint with %d, want at least %d", gateways, fewest,
				min(gateways, minGatewaysPerEndpoint/2))
		}
		if mean := float64(pairCount) / listLength; meanEstimate < 0.9*mean || meanEstimate > 1.1*mean {
			t.Errorf("%d gateways: got an estimate of %.1f per endpoint, want about %.1f", gateways, meanEstimate, mean)
		}
	}
}

// The arcs of a level lie within those of the previous level, so that narrowing only removes endpoints.
func TestNarrowedSubsetIsContainedInThePreviousOne(t *testing.T) {
	s := New(Config{Index: 37, GatewayCount: 6400, Zone: "z2", TargetSize: 1, MaxSize: 1})
	contained := map[string]bool{}
	for i := range 5000 {
		id, _ := newListEntry(i)
		contained[id] = true
	}
	for range 40 {
		s.Narrow()
		for i := range 5000 {
			id, zone := newListEntry(i)
			isContained := s.Contains(id, zone)
			if isContained && !contained[id] {
				t.Fatalf("level %d contains %s, which the previous level did not", s.level, id)
			}
			contained[id] = isContained
		}
	}
}

// When the length of the list varies around the bound, the subset is narrowed at most twice and never needs a resync.
func TestSubsetDoesNotFlapWhileEndpointsAreAddedAndRemoved(t *testing.T) {
	for seed := range uint64(5) {
		r := newStreamReader(int(seed)*911, 6400, "z0", 256, 4096)
		rng := rand.New(rand.NewPCG(seed, 1))
		r.read(5000)
		narrowCountBefore, nextIndex := r.narrowCount, 5000
		var live []int
		for i := range 5000 {
			live = append(live, i)
		}
		for range 20_000 { // keeps between 4,600 and 5,400 endpoints
			if grow := rng.IntN(2) == 0; grow && len(live) < 5400 || len(live) < 4600 {
				live = append(live, nextIndex)
				r.add(newListEntry(nextIndex))
				nextIndex++
			} else {
				i := rng.IntN(len(live))
				id, _ := newListEntry(live[i])
				r.remove(id)
				live[i] = live[len(live)-1]
				live = live[:len(live)-1]
			}
			if r.IsSparse(r.cached()) {
				t.Fatalf("seed %d: %d cached of %d are reported as sparse", seed, r.cached(), len(live))
			}
		}
		if r.narrowCount > narrowCountBefore+2 {
			t.Errorf("seed %d: narrowed %d times, want at most 2", seed, r.narrowCount-narrowCountBefore)
		}
	}
}

// A list that shrinks is read again a few times, until enough endpoints are cached. The subset is not narrowed again.
func TestSubsetWidensAfterTheListShrinks(t *testing.T) {
	for _, c := range []struct {
		index, gateways, targetSize, maxSize, wantMin, wantMax int // wantMin and wantMax: cached of 3,000
	}{
		{0, 6400, 256, 4096, 128, 256}, {1317, 6400, 256, 4096, 128, 256}, {6399, 6400, 256, 4096, 128, 256},
		{5, 20, 64, 1024, 512, 1024}, {19, 20, 64, 1024, 512, 1024}, // too few gateways per endpoint: the maximum size applies
	} {
		r := newStreamReader(c.index, c.gateways, "z5", c.targetSize, c.maxSize)
		r.read(30_000)
		narrowCountBefore := r.narrowCount
		r.truncate(3000)
		r.resync(t, 3000)
		if r.narrowCount != narrowCountBefore || r.widenCount > 5 || r.cached() < c.wantMin || r.cached() > c.wantMax {
			t.Errorf("%+v: got %d cached after %d reads, narrowed %d times; want at most 5 reads, never narrowed", c, r.cached(),
				r.widenCount, r.narrowCount-narrowCountBefore)
		}
		r.truncate(30)
		r.resync(t, 30)
		if r.level != 0 || r.cached() != 30 {
			t.Errorf("%+v: got %d of 30 cached at level %d, want all at level 0", c, r.cached(), r.level)
		}
	}
}

// A gateway caches a share of its own zone that is four times its share of each other zone.
func TestSubsetContainsMoreOfItsOwnZone(t *testing.T) {
	ownZone, otherZones := 0, 0
	for index := range 60 {
		r := newStreamReader(index*101, 6400, "z"+strconv.Itoa(index%9), 512, 512)
		r.read(20_000)
		ownZone, otherZones = ownZone+len(r.ownZone), otherZones+len(r.otherZones)
	}
	if ratio := float64(ownZone) * 8 / float64(otherZones); ratio < 3.8 || ratio > 4.2 {
		t.Errorf("got %d of the own zone, %d of the eight others: ratio %.2f, want 3.8 to 4.2", ownZone, otherZones, ratio)
	}
	for _, zone := range []string{"", "elsewhere"} { // without a zone in the list, all endpoints have the same share
		r := newStreamReader(1, 6400, zone, 512, 512)
		for i := range 20_000 {
			id, _ := newListEntry(i)
			r.add(id, "")
		}
		if want := r.RingShare(false) * 20_000; float64(r.cached()) < 0.8*want || float64(r.cached()) > 1.2*want {
			t.Errorf("zone %q: got %d cached, want about %.0f", zone, r.cached(), want)
		}
	}
}

// Ring positions stay the same, so that a restarted gateway caches the same endpoints. The expected values come from an
// independent implementation.
func TestRingPositionMatchesReferenceValues(t *testing.T) {
	for id, want := range map[string]uint64{"": 0x2180a923715435ed, "n1": 0xce344f18674ed120,
		"0f6d1c0e-aa": 0xeb424d811c886c99} {
		if got := ringPosition(id); got != want {
			t.Errorf("position of %q: got %#x, want %#x", id, got, want)
		}
	}
	hashed := uint64(0) // so that the call is not optimized away
	if n := testing.AllocsPerRun(100, func() { hashed += ringPosition("0f6d1c0e-aa") }); n != 0 {
		t.Errorf("got %v allocations, want none", n)
	}
}

// Consecutive ids are distributed evenly over equal parts of the ring.
func TestRingPositionsOfConsecutiveIDsAreEven(t *testing.T) {
	const parts, ids = 64, 64 * 1000
	var count [parts]int
	for i := range ids {
		count[ringPosition(string(fmt.Sprint("node-", i)))>>58]++
	}
	sum := 0.0 // chi-squared statistic with 63 degrees of freedom: mean 63, standard deviation 11.2
	for _, n := range count {
		d := float64(n) - ids/parts
		sum += d * d / (ids / parts)
	}
	if sum < 63-5*11.2 || sum > 63+5*11.2 {
		t.Errorf("chi-squared statistic: got %.1f, want %.1f to %.1f", sum, 63-5*11.2, 63+5*11.2)
	}
}
