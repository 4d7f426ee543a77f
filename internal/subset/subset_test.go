package subset

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
)

// streamReader caches its subset of a list that it reads as a stream, and counts its work.
type streamReader struct {
	*Subset
	own, others       map[string]string
	peak, examined    int // maximum of entries cached at once; entries examined, again or for the first time
	narrowed, widened int
}

func newStreamReader(index, gateways int, zone string, targetSize, maxSize int) *streamReader {
	c := Config{Index: index, GatewayCount: gateways, Zone: zone, CrossZonePrice: 1, TargetSize: targetSize, MaxSize: maxSize}
	return &streamReader{Subset: New(c), own: map[string]string{},
		others: map[string]string{}}
}

func (r *streamReader) cached() int { return len(r.own) + len(r.others) }

func (r *streamReader) add(id string, zone string) {
	r.examined++
	if !r.Contains(id, zone) {
		return
	}
	to := r.others
	if zone == r.zone {
		to = r.own
	}
	to[id] = zone
	r.peak = max(r.peak, r.cached())
	for r.IsOverfull(r.cached()) {
		r.Narrow()
		r.narrowed++
		r.examined += r.cached()
		for _, part := range []map[string]string{r.own, r.others} {
			for id, zone := range part {
				if !r.Contains(id, zone) {
					delete(part, id)
				}
			}
		}
	}
}

func (r *streamReader) remove(id string) {
	delete(r.own, id)
	delete(r.others, id)
}

// listEntry is an entry of a list.
func listEntry(i int) (string, string) {
	return string("n" + strconv.Itoa(i)), "z" + strconv.Itoa(i%9)
}

// removeFrom removes all but the first n of a list.
func (r *streamReader) removeFrom(n int) {
	for _, part := range []map[string]string{r.own, r.others} {
		for id := range part {
			if i, _ := strconv.Atoi(id[1:]); i >= n {
				delete(part, id)
			}
		}
	}
}

// resync widens and reads the first n of the list until the cached part is no longer sparse.
func (r *streamReader) resync(t *testing.T, n int) {
	t.Helper()
	for r.IsSparse(r.cached()) {
		if r.widened++; r.widened > 50 {
			t.Fatalf("still sparse with %d of %d, after reading 50 times", r.cached(), n)
		}
		r.Widen()
		r.read(n)
	}
}

func (r *streamReader) read(n int) {
	for i := range n {
		r.add(listEntry(i))
	}
}

// However long the list, the cached entries stay within the bound while it streams, and are examined again only when the
// arcs narrow, once for each level.
func TestSubsetStaysWithinItsBoundWhileAListStreams(t *testing.T) {
	for _, c := range []struct{ me, gateways, list, most, limit, atMost, atLeast int }{
		{0, 6400, 200_000, 1024, 1024, 1024, 512},
		{6399, 6400, 200_000, 2048, 30_000, 2048, 1024},
		{4711, 6400, 20_000, 1024, 30_000, 1024, 512},
		{299, 300, 200_000, 1024, 30_000, 30_000, 200_000 * 16 / 300}, // enough gateways for each endpoint come before the target
		{299, 300, 200_000, 1024, 4096, 4096, 2048},                   // the limit comes before both
		{7, 10, 200_000, 1024, 4096, 4096, 2048},
		{7, 10, 200_000, 1, 1, 1, 0},
	} {
		r := newStreamReader(c.me, c.gateways, "z3", c.most, c.limit)
		r.read(c.list)
		bound := max(c.most, c.limit) + 1
		if r.peak > bound || r.cached() > c.atMost || r.cached() < c.atLeast {
			t.Errorf("%+v: %d cached, %d at the peak", c, r.cached(), r.peak)
		}
		if maximum := c.list + r.narrowed*bound; r.examined > maximum {
			t.Errorf("%+v: examined %d entries, maximum %d", c, r.examined, maximum)
		}
	}
}

// Every gateway caches the whole of a list that is no longer than the target size.
func TestSubsetContainsAllOfAShortList(t *testing.T) {
	for _, c := range []struct{ gateways, list int }{{1, 1}, {3, 10}, {300, 200}, {300, 1024}, {6400, 1024}} {
		for me := 0; me < c.gateways; me += 1 + c.gateways/50 {
			r := newStreamReader(me, c.gateways, "z1", 1024, 1024)
			r.read(c.list)
			if r.cached() != c.list || r.narrowed != 0 || r.IsSparse(0) {
				t.Fatalf("gateway %d of %d holds %d of %d", me, c.gateways, r.cached(), c.list)
			}
			if n := r.GatewaysPerEndpoint(len(r.own), len(r.others)); int(n+0.5) != c.gateways {
				t.Fatalf("%f gateways per endpoint of %d gateways", n, c.gateways)
			}
		}
	}
}

// Where the limit leaves room, every endpoint has gateways, and the estimate of how many is near the count.
func TestSubsetsOfAllGatewaysCoverTheList(t *testing.T) {
	for _, gateways := range []int{10, 100, 300} {
		const list = 2000
		count, pairs, estimate := map[string]int{}, 0, 0.0
		for me := range gateways {
			r := newStreamReader(me, gateways, fmt.Sprint("z", me*7%9), 128, list)
			r.read(list)
			for _, part := range []map[string]string{r.own, r.others} {
				for id := range part {
					count[id]++
					pairs++
				}
			}
			estimate += r.GatewaysPerEndpoint(len(r.own), len(r.others)) / float64(gateways)
		}
		fewest := gateways
		for i := range list {
			id, _ := listEntry(i)
			fewest = min(fewest, count[id])
		}
		if fewest < min(gateways, minGatewaysPerEndpoint/2) {
			t.Errorf("%d gateways: an endpoint has %d", gateways, fewest)
		}
		if mean := float64(pairs) / list; estimate < 0.9*mean || estimate > 1.1*mean {
			t.Errorf("%d gateways: %.1f per endpoint on average, estimated %.1f", gateways, mean, estimate)
		}
	}
}

// The arcs of a level lie within those of the level before, so that narrowing only ever drops.
func TestNarrowedSubsetLiesWithinTheOneBefore(t *testing.T) {
	s := New(Config{Index: 37, GatewayCount: 6400, Zone: "z2", TargetSize: 1, MaxSize: 1})
	contained := map[string]bool{}
	for i := range 5000 {
		id, _ := listEntry(i)
		contained[id] = true
	}
	for range 40 {
		s.Narrow()
		for i := range 5000 {
			id, zone := listEntry(i)
			now := s.Contains(id, zone)
			if now && !contained[id] {
				t.Fatalf("level %d takes in %s, which the level before denied", s.level, id)
			}
			contained[id] = now
		}
	}
}

// Endpoints that come and go around a bound move the level once, and never need a resync.
func TestSubsetDoesNotFlapWhileEndpointsComeAndGo(t *testing.T) {
	for seed := range uint64(5) {
		r := newStreamReader(int(seed)*911, 6400, "z0", 256, 4096)
		rng := rand.New(rand.NewPCG(seed, 1))
		r.read(5000)
		before, next := r.narrowed, 5000
		var live []int
		for i := range 5000 {
			live = append(live, i)
		}
		for range 20_000 { // between 4,600 and 5,400
			if grow := rng.IntN(2) == 0; grow && len(live) < 5400 || len(live) < 4600 {
				live = append(live, next)
				r.add(listEntry(next))
				next++
			} else {
				i := rng.IntN(len(live))
				id, _ := listEntry(live[i])
				r.remove(id)
				live[i] = live[len(live)-1]
				live = live[:len(live)-1]
			}
			if r.IsSparse(r.cached()) {
				t.Fatalf("seed %d: %d cached of %d are called sparse", seed, r.cached(), len(live))
			}
		}
		if r.narrowed > before+2 {
			t.Errorf("seed %d: narrowed %d times", seed, r.narrowed-before)
		}
	}
}

// A list that shrinks is read again a few times, until what is cached fits; none of it narrows again.
func TestSubsetWidensAfterTheListShrinks(t *testing.T) {
	for _, c := range []struct {
		me, gateways, most, limit, atLeast, atMost int // endpoints cached of 3,000
	}{
		{0, 6400, 256, 4096, 128, 256}, {1317, 6400, 256, 4096, 128, 256}, {6399, 6400, 256, 4096, 128, 256},
		{5, 20, 64, 1024, 512, 1024}, {19, 20, 64, 1024, 512, 1024}, // shared by too few gateways: the maximum size counts
	} {
		r := newStreamReader(c.me, c.gateways, "z5", c.most, c.limit)
		r.read(30_000)
		was := r.narrowed
		r.removeFrom(3000)
		r.resync(t, 3000)
		if r.narrowed != was || r.widened > 5 || r.cached() < c.atLeast || r.cached() > c.atMost {
			t.Errorf("%+v: holds %d after reading %d times and narrowing %d times", c, r.cached(), r.widened,
				r.narrowed-was)
		}
		r.removeFrom(30)
		r.resync(t, 30)
		if r.level != 0 || r.cached() != 30 {
			t.Errorf("%+v: holds %d of 30 at level %d", c, r.cached(), r.level)
		}
	}
}

// A gateway caches four times the share of its own zone that it caches of each other one.
func TestSubsetContainsMoreOfItsOwnZone(t *testing.T) {
	own, others := 0, 0
	for me := range 60 {
		r := newStreamReader(me*101, 6400, "z"+strconv.Itoa(me%9), 512, 512)
		r.read(20_000)
		own, others = own+len(r.own), others+len(r.others)
	}
	if ratio := float64(own) * 8 / float64(others); ratio < 3.8 || ratio > 4.2 {
		t.Errorf("%d of the own zone, %d of the eight others: %.2f", own, others, ratio)
	}
	for _, zone := range []string{"", "elsewhere"} { // no zones, or none of the list's: the same part of all
		r := newStreamReader(1, 6400, zone, 512, 512)
		for i := range 20_000 {
			id, _ := listEntry(i)
			r.add(id, "")
		}
		if want := r.RingShare(false) * 20_000; float64(r.cached()) < 0.8*want || float64(r.cached()) > 1.2*want {
			t.Errorf("zone %q: holds %d, want about %.0f", zone, r.cached(), want)
		}
	}
}

// A restarted gateway caches the same endpoints: the expected positions were computed apart from this code.
func TestRingPositionMatchesReferenceValues(t *testing.T) {
	for id, want := range map[string]uint64{"": 0x2180a923715435ed, "n1": 0xce344f18674ed120,
		"0f6d1c0e-aa": 0xeb424d811c886c99} {
		if got := ringPosition(id); got != want {
			t.Errorf("%q is at %#x, want %#x", id, got, want)
		}
	}
	hashed := uint64(0) // so that the call is not optimized away
	if n := testing.AllocsPerRun(100, func() { hashed += ringPosition("0f6d1c0e-aa") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Consecutive ids fall into equal parts of the ring about equally often.
func TestRingPositionsOfConsecutiveIDsAreEven(t *testing.T) {
	const parts, ids = 64, 64 * 1000
	var count [parts]int
	for i := range ids {
		count[ringPosition(string(fmt.Sprint("node-", i)))>>58]++
	}
	sum := 0.0 // chi squared with 63 degrees of freedom: mean 63, deviation 11.2
	for _, n := range count {
		d := float64(n) - ids/parts
		sum += d * d / (ids / parts)
	}
	if sum < 63-5*11.2 || sum > 63+5*11.2 {
		t.Errorf("chi squared is %.1f", sum)
	}
}
