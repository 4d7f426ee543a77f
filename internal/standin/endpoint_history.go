package standin

import "slices"

// stateDeleted is the state of a Target that a change removes, as it stands on the wire.
const stateDeleted = "DELETED"

// Target is one backend of the endpoint list, or an entry of a change.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, in changes, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // Unix time in milliseconds; 0: long ago
}

// endpointList is an object of discovery: a snapshot, or what has changed up to a revision.
type endpointList struct {
	Revision int64    `json:"rev"`
	Snapshot bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// listChange is what one revision brought.
type listChange struct {
	revision int64
	targets  []Target
}

// endpointHistory is the endpoint list and the changes that led to it. It is not safe for concurrent use.
type endpointHistory struct {
	revision       int64
	targets        []Target
	changes        []listChange // the oldest first; all are after oldestRevision
	oldestRevision int64        // the oldest one from which the changes are known
	maxChanges     int          // remembered; 0: any number
}

// newEndpointHistory returns an empty list of a revision.
func newEndpointHistory(revision int64, maxChanges int) *endpointHistory {
	return &endpointHistory{
		revision:       revision,
		targets:        []Target{}, // not nil: it is written as an empty array
		oldestRevision: revision,
		maxChanges:     maxChanges,
	}
}

// replace sets a new list, from which on changes are remembered.
func (h *endpointHistory) replace(targets []Target) {
	h.revision++
	h.targets = append([]Target{}, targets...)
	h.changes = nil
	h.oldestRevision = h.revision
}

// apply adds or replaces entries, or removes those that are DELETED, as one new revision.
func (h *endpointHistory) apply(targets []Target) {
	h.revision++
	for _, target := range targets {
		h.applyOne(target)
	}
	h.changes = append(h.changes, listChange{h.revision, slices.Clone(targets)})
	h.forgetOldChanges()
}

func (h *endpointHistory) applyOne(target Target) {
	i := slices.IndexFunc(h.targets, func(old Target) bool { return old.UID == target.UID })
	switch {
	case target.State == stateDeleted && i >= 0:
		h.targets = slices.Delete(h.targets, i, i+1)
	case target.State == stateDeleted:
	case i >= 0:
		h.targets[i] = target
	default:
		h.targets = append(h.targets, target)
	}
}

func (h *endpointHistory) forgetOldChanges() {
	excess := len(h.changes) - h.maxChanges
	if h.maxChanges == 0 || excess <= 0 {
		return
	}
	h.oldestRevision = h.changes[excess-1].revision
	h.changes = slices.Delete(h.changes, 0, excess)
}

func (h *endpointHistory) snapshot() endpointList {
	return endpointList{Revision: h.revision, Snapshot: true, Targets: h.targets}
}

// knows reports whether the changes since a revision are remembered.
func (h *endpointHistory) knows(revision int64) bool {
	return revision >= h.oldestRevision && revision <= h.revision
}

// changesSince returns what has changed since a revision that the history knows: one entry for each target, its latest.
func (h *endpointHistory) changesSince(revision int64) endpointList {
	list := endpointList{Revision: h.revision, Targets: []Target{}}
	seen := map[string]bool{}
	for _, change := range slices.Backward(h.changes) {
		if change.revision <= revision {
			break
		}
		for _, target := range slices.Backward(change.targets) {
			if !seen[target.UID] {
				seen[target.UID] = true
				list.Targets = append(list.Targets, target)
			}
		}
	}
	slices.Reverse(list.Targets)
	return list
}
