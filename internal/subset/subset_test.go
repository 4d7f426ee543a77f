package subset

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
)

// kept is a reader of a list that keeps its subset, and counts its work.
type kept struct {
	*Subset
	own, others       map[string]string
	peak, looked      int // most entries held at once; entries looked at, those of the list and again
	narrowed, widened int
}

func newKept(me, gateways int, zone string, most, limit int) *kept {
	c := Config{Me: me, Gateways: gateways, Zone: zone, CrossZonePrice: 1, Most: most, Limit: limit}
	return &kept{Subset: New(c), own: map[string]string{},
		others: map[string]string{}}
}

func (k *kept) held() int { return len(k.own) + len(k.others) }

func (k *kept) add(id string, zone string) {
	k.looked++
	if !k.Holds(id, zone) {
		return
	}
	to := k.others
	if zone == k.zone {
		to = k.own
	}
	to[id] = zone
	k.peak = max(k.peak, k.held())
	for k.Crowded(k.held()) {
		k.Narrow()
		k.narrowed++
		k.looked += k.held()
		for _, part := range []map[string]string{k.own, k.others} {
			for id, zone := range part {
				if !k.Holds(id, zone) {
					delete(part, id)
				}
			}
		}
	}
}

func (k *kept) remove(id string) {
	delete(k.own, id)
	delete(k.others, id)
}

// listed is an entry of a list.
func listed(i int) (string, string) {
	return string("n" + strconv.Itoa(i)), "z" + strconv.Itoa(i%9)
}

// removeFrom removes all but the first n of a list.
func (k *kept) removeFrom(n int) {
	for _, part := range []map[string]string{k.own, k.others} {
		for id := range part {
			if i, _ := strconv.Atoi(id[1:]); i >= n {
				delete(part, id)
			}
		}
	}
}

// readAgain widens and reads the first n of the list until what is held is no longer sparse.
func (k *kept) readAgain(t *testing.T, n int) {
	t.Helper()
	for k.Sparse(k.held()) {
		if k.widened++; k.widened > 50 {
			t.Fatalf("still sparse with %d of %d, after reading 50 times", k.held(), n)
		}
		k.Widen()
		k.read(n)
	}
}

func (k *kept) read(n int) {
	for i := range n {
		k.add(listed(i))
	}
}

// However long the list, the entries held stay within the bound while it streams, and are looked at again
// only when the arcs narrow: each level costs one look at what is held.
func TestSubsetReadsAStream(t *testing.T) {
	for _, c := range []struct{ me, gateways, list, most, limit, atMost, atLeast int }{
		{0, 6400, 200_000, 1024, 1024, 1024, 512},
		{6399, 6400, 200_000, 2048, 30_000, 2048, 1024},
		{4711, 6400, 20_000, 1024, 30_000, 1024, 512},
		{299, 300, 200_000, 1024, 30_000, 30_000, 200_000 * 16 / 300}, // shared enough comes before most
		{299, 300, 200_000, 1024, 4096, 4096, 2048},                   // the limit comes before both
		{7, 10, 200_000, 1024, 4096, 4096, 2048},
		{7, 10, 200_000, 1, 1, 1, 0},
	} {
		k := newKept(c.me, c.gateways, "z3", c.most, c.limit)
		k.read(c.list)
		bound := max(c.most, c.limit) + 1
		if k.peak > bound || k.held() > c.atMost || k.held() < c.atLeast {
			t.Errorf("%+v: %d held, %d at the peak", c, k.held(), k.peak)
		}
		if most := c.list + k.narrowed*bound; k.looked > most {
			t.Errorf("%+v: looked at %d entries, %d at most", c, k.looked, most)
		}
	}
}

// Lists of today's sizes are kept whole by every gateway.
func TestSubsetKeepsShortListsWhole(t *testing.T) {
	for _, c := range []struct{ gateways, list int }{{1, 1}, {3, 10}, {300, 200}, {300, 1024}, {6400, 1024}} {
		for me := 0; me < c.gateways; me += 1 + c.gateways/50 {
			k := newKept(me, c.gateways, "z1", 1024, 1024)
			k.read(c.list)
			if k.held() != c.list || k.narrowed != 0 || k.Sparse(0) {
				t.Fatalf("gateway %d of %d holds %d of %d", me, c.gateways, k.held(), c.list)
			}
			if n := k.Sharers(len(k.own), len(k.others)); int(n+0.5) != c.gateways {
				t.Fatalf("%f sharers of %d gateways", n, c.gateways)
			}
		}
	}
}

// Where the limit leaves room, every server has gateways, and the estimate of how many is near the count.
func TestSubsetsCoverTheList(t *testing.T) {
	for _, gateways := range []int{10, 100, 300} {
		const list = 2000
		count, pairs, estimate := map[string]int{}, 0, 0.0
		for me := range gateways {
			k := newKept(me, gateways, fmt.Sprint("z", me*7%9), 128, list)
			k.read(list)
			for _, part := range []map[string]string{k.own, k.others} {
				for id := range part {
					count[id]++
					pairs++
				}
			}
			estimate += k.Sharers(len(k.own), len(k.others)) / float64(gateways)
		}
		least := gateways
		for i := range list {
			id, _ := listed(i)
			least = min(least, count[id])
		}
		if least < min(gateways, leastSharers/2) {
			t.Errorf("%d gateways: a server has %d", gateways, least)
		}
		if mean := float64(pairs) / list; estimate < 0.9*mean || estimate > 1.1*mean {
			t.Errorf("%d gateways: %.1f sharers on average, estimated %.1f", gateways, mean, estimate)
		}
	}
}

// The arcs of a level lie within those of the level before, so that narrowing only ever drops.
func TestSubsetLevelsNest(t *testing.T) {
	s := New(Config{Me: 37, Gateways: 6400, Zone: "z2", Most: 1, Limit: 1})
	held := map[string]bool{}
	for i := range 5000 {
		id, _ := listed(i)
		held[id] = true
	}
	for range 40 {
		s.Narrow()
		for i := range 5000 {
			id, zone := listed(i)
			now := s.Holds(id, zone)
			if now && !held[id] {
				t.Fatalf("level %d takes in %s, which the level before denied", s.level, id)
			}
			held[id] = now
		}
	}
}

// Servers that come and go around a bound move the level once, and never ask for the list again.
func TestSubsetDoesNotFlap(t *testing.T) {
	for seed := range uint64(5) {
		k := newKept(int(seed)*911, 6400, "z0", 256, 4096)
		rng := rand.New(rand.NewPCG(seed, 1))
		k.read(5000)
		before, next := k.narrowed, 5000
		var live []int
		for i := range 5000 {
			live = append(live, i)
		}
		for range 20_000 { // between 4,600 and 5,400
			if grow := rng.IntN(2) == 0; grow && len(live) < 5400 || len(live) < 4600 {
				live = append(live, next)
				k.add(listed(next))
				next++
			} else {
				i := rng.IntN(len(live))
				id, _ := listed(live[i])
				k.remove(id)
				live[i] = live[len(live)-1]
				live = live[:len(live)-1]
			}
			if k.Sparse(k.held()) {
				t.Fatalf("seed %d: %d held of %d are called sparse", seed, k.held(), len(live))
			}
		}
		if k.narrowed > before+2 {
			t.Errorf("seed %d: narrowed %d times", seed, k.narrowed-before)
		}
	}
}

// A list that shrinks is read again few times, until what is held fits; none of it narrows again.
func TestSubsetWidens(t *testing.T) {
	for _, c := range []struct {
		me, gateways, most, limit, atLeast, atMost int // servers held of 3,000
	}{
		{0, 6400, 256, 4096, 128, 256}, {1317, 6400, 256, 4096, 128, 256}, {6399, 6400, 256, 4096, 128, 256},
		{5, 20, 64, 1024, 512, 1024}, {19, 20, 64, 1024, 512, 1024}, // shared by too few: the limit rules
	} {
		k := newKept(c.me, c.gateways, "z5", c.most, c.limit)
		k.read(30_000)
		was := k.narrowed
		k.removeFrom(3000)
		k.readAgain(t, 3000)
		if k.narrowed != was || k.widened > 5 || k.held() < c.atLeast || k.held() > c.atMost {
			t.Errorf("%+v: holds %d after reading %d times and narrowing %d times", c, k.held(), k.widened,
				k.narrowed-was)
		}
		k.removeFrom(30)
		k.readAgain(t, 30)
		if k.level != 0 || k.held() != 30 {
			t.Errorf("%+v: holds %d of 30 at level %d", c, k.held(), k.level)
		}
	}
}

// A gateway keeps four times the part of its own zone that it keeps of each other.
func TestSubsetPrefersItsZone(t *testing.T) {
	own, others := 0, 0
	for me := range 60 {
		k := newKept(me*101, 6400, "z"+strconv.Itoa(me%9), 512, 512)
		k.read(20_000)
		own, others = own+len(k.own), others+len(k.others)
	}
	if ratio := float64(own) * 8 / float64(others); ratio < 3.8 || ratio > 4.2 {
		t.Errorf("%d of the own zone, %d of the eight others: %.2f", own, others, ratio)
	}
	for _, zone := range []string{"", "elsewhere"} { // no zones, or none of the list's: the same part of all
		k := newKept(1, 6400, zone, 512, 512)
		for i := range 20_000 {
			id, _ := listed(i)
			k.add(id, "")
		}
		if want := k.Arc(false) * 20_000; float64(k.held()) < 0.8*want || float64(k.held()) > 1.2*want {
			t.Errorf("zone %q: holds %d, want about %.0f", zone, k.held(), want)
		}
	}
}

// A restarted gateway keeps the same servers: the positions were reckoned apart from this code.
func TestRingPositions(t *testing.T) {
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
func TestRingPositionsAreEven(t *testing.T) {
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
