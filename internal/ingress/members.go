package ingress

import (
	"encoding/json"
	"log/slog"
	"slices"

	"lemontack/internal/subset"
	"lemontack/policy"
)

// Of a list of up to subsetMost backends an ingress keeps all. With 1,024 the busiest of 200,000 backends before 6,400
// ingresses carries less than one and a half means (internal/subsets); subsetLimit bounds what is held where it takes more
// for each backend to be shared by enough ingresses.
const (
	subsetMost  = 1024
	subsetLimit = 4096
)

// members is the part of discovery's list that this ingress keeps: all of a short one, a subset of a long one. It belongs to
// the goroutine that reads the list; the others are told of nothing else.
type members struct {
	subset   *subset.Subset
	zone     string
	held     map[string]bool // what the others were told of and is not gone, by uid; true: of the own zone
	narrowed bool            // the subset holds less than when held was last looked through
	wanting  bool            // it holds more than has been read: the whole list is wanted
	log      *slog.Logger
}

func newMembers(set policy.Settings, log *slog.Logger) *members {
	kept := subset.New(subset.Config{Index: set.Index, GatewayCount: set.GatewayCount, Zone: set.Zone, CrossZonePrice: set.CrossZonePrice,
		TargetSize: subsetMost, MaxSize: subsetLimit})
	return &members{subset: kept, zone: set.Zone, held: map[string]bool{}, log: log}
}

// ReadKnown reads a configuration's list as a stream. The subset goes into the Config with it: it is the one that the list
// was read with.
func ReadKnown(objects *json.Decoder, set policy.Settings, log *slog.Logger) (Fleet, *subset.Subset, error) {
	m := newMembers(set, log)
	h, f, err := m.read(objects, func() {})
	if h.Rev != nil {
		f.Rev = *h.Rev
	}
	return f, m.subset, err
}

// SkipKnown reads a configuration's list and keeps nothing of it.
func SkipKnown(objects *json.Decoder) error {
	_, err := readList(objects, func() {}, func(Target) {})
	return err
}

// batch is what one object brings, the latest entry of each backend.
type batch struct {
	entries []Target
	at      map[string]int // place in entries, by uid
}

func (b *batch) add(t Target) {
	if i, twice := b.at[t.UID]; twice {
		b.entries[i] = t
		return
	}
	b.at[t.UID] = len(b.entries)
	b.entries = append(b.entries, t)
}

// keep leaves out the entries that are denied.
func (b *batch) keep(holds func(Target) bool) {
	old := b.entries
	b.entries = old[:0]
	clear(b.at)
	for _, t := range old {
		if holds(t) {
			b.add(t)
		}
	}
	clear(old[len(b.entries):])
}

// read reads the next list or change. However long it is, no more of its entries are kept than the subset bears besides
// those of backends that are held, of which every news counts.
func (m *members) read(objects *json.Decoder, each func()) (heading, Fleet, error) {
	b := batch{at: map[string]int{}}
	h, err := readList(objects, each, func(t Target) { m.take(&b, t) })
	if err != nil || h.Rev == nil || !h.listed {
		return h, Fleet{}, err
	}
	return h, Fleet{Rev: *h.Rev, All: h.All, Targets: b.entries}, nil
}

// news is what a list or a change, which is in memory already, tells the others.
func (m *members) news(f Fleet) Fleet {
	b := batch{at: map[string]int{}}
	for _, t := range f.Targets {
		m.take(&b, t)
	}
	return m.apply(Fleet{Rev: f.Rev, All: f.All, Targets: b.entries})
}

// take adds an entry that counts.
func (m *members) take(b *batch, t Target) {
	if !m.usable(t) || !m.takes(t) {
		return
	}
	b.add(t)
	for m.subset.IsOverfull(len(b.entries) - len(m.held)) {
		m.subset.Narrow()
		m.narrowed = true
		b.keep(m.takes)
	}
}

// apply takes over what was read. What the subset bears no longer by then is left out, and gone where it was told of.
func (m *members) apply(f Fleet) Fleet {
	if f.All {
		clear(m.held)
		m.wanting = false
	}
	for _, t := range f.Targets {
		if t.State == stateGone {
			delete(m.held, t.UID)
		} else {
			m.held[t.UID] = t.Zone == m.zone
		}
	}
	gone := m.drop()
	for m.subset.IsOverfull(len(m.held)) {
		m.subset.Narrow()
		m.narrowed = true
		gone = append(gone, m.drop()...)
	}
	if len(gone) > 0 {
		f.Targets = slices.DeleteFunc(f.Targets, func(t Target) bool {
			_, held := m.held[t.UID]
			return !held && t.State != stateGone
		})
	}
	if !f.All {
		f.Targets = append(f.Targets, gone...)
	}
	f.Sharers = m.sharers()
	return f
}

// drop forgets what a narrower subset does not hold, and returns entries that tell so.
func (m *members) drop() (gone []Target) {
	if !m.narrowed {
		return nil
	}
	m.narrowed = false
	for uid, own := range m.held {
		zone := ""
		if own {
			zone = m.zone
		}
		if !m.subset.Contains(uid, zone) {
			delete(m.held, uid)
			gone = append(gone, Target{UID: uid, State: stateGone})
		}
	}
	return gone
}

// wants says that the whole list has to be read again, since more of it can be held than is.
func (m *members) wants() bool {
	if !m.wanting && m.subset.IsSparse(len(m.held)) {
		m.wanting = true
		for before := m.sharers(); m.subset.IsSparse(int(float64(len(m.held)) * m.sharers() / before)); {
			m.subset.Widen()
		}
	}
	return m.wanting
}

// sharers estimates how many ingresses share one of the backends.
func (m *members) sharers() float64 {
	own := 0
	for _, o := range m.held {
		if o {
			own++
		}
	}
	return m.subset.GatewaysPerEndpoint(own, len(m.held)-own)
}

func (m *members) takes(t Target) bool {
	_, held := m.held[t.UID]
	return held || m.subset.Contains(t.UID, t.Zone)
}

// usable says whether an entry says something.
func (m *members) usable(t Target) bool {
	err := t.check()
	if err != nil {
		m.log.Warn("an entry of the list is left aside", "err", err)
	}
	return err == nil
}
