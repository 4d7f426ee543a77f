package standin

import "slices"

// stateDeleted is the state, on the wire, of a Target that a change removes.
const stateDeleted = "DELETED"

// Target is one backend in the endpoint list or in a change.
type Target struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, in changes, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // start time as Unix time in milliseconds; zero means long ago
}

// endpointUpdate is a JSON object of the discovery protocol: a snapshot, or the changes up to a revision.
type endpointUpdate struct {
	Revision   int64    `json:"rev"`
	IsSnapshot bool     `json:"all"`
	Targets    []Target `json:"targets"`
}

// listChange holds the entries that one revision changed.
type listChange struct {
	revision int64
	targets  []Target
}

// endpointHistory holds the endpoint list and its latest changes. It is not safe for concurrent use.
type endpointHistory struct {
	revision            int64
	targets             []Target
	changes             []listChange // oldest first; all are later than oldestKnownRevision
	oldestKnownRevision int64        // oldest revision since which all changes are kept
	maxChanges          int          // maximum number of changes kept; zero means no limit
}

// newEndpointHistory returns a history with an empty list at a revision.
func newEndpointHistory(revision int64, maxChanges int) *endpointHistory {
	return &endpointHistory{
		revision:            revision,
		targets:             []Target{}, // not nil, so that it is encoded as an empty array
		oldestKnownRevision: revision,
		maxChanges:          maxChanges,
	}
}

// replace sets a new list as a new revision and discards all earlier changes.
func (h *endpointHistory) replace(targets []Target) {
	h.revision++
	h.targets = append([]Target{}, targets...)
	h.changes = nil
	h.oldestKnownRevision = h.revision
}

// apply adds or replaces entries, or removes those whose state is DELETED, as one new revision.
func (h *endpointHistory) apply(targets []Target) {
	h.revision++
	for _, target := range targets {
		h.applyTarget(target)
	}
	h.changes = append(h.changes, listChange{h.revision, slices.Clone(targets)})
	h.discardOldChanges()
}

func (h *endpointHistory) applyTarget(target Target) {
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

func (h *endpointHistory) discardOldChanges() {
	excess := len(h.changes) - h.maxChanges
	if h.maxChanges == 0 || excess <= 0 {
		return
	}
	h.oldestKnownRevision = h.changes[excess-1].revision
	h.changes = slices.Delete(h.changes, 0, excess)
}

func (h *endpointHistory) snapshot() endpointUpdate {
	return endpointUpdate{Revision: h.revision, IsSnapshot: true, Targets: h.targets}
}

// hasChangesSince reports whether all changes since a revision are kept.
func (h *endpointHistory) hasChangesSince(revision int64) bool {
	return revision >= h.oldestKnownRevision && revision <= h.revision
}

// changesSince returns the latest entry of each target that has changed since a revision. hasChangesSince must be true for
// the revision.
func (h *endpointHistory) changesSince(revision int64) endpointUpdate {
	update := endpointUpdate{Revision: h.revision, Targets: []Target{}}
	seen := map[string]bool{}
	for _, change := range slices.Backward(h.changes) {
		if change.revision <= revision {
			break
		}
		for _, target := range slices.Backward(change.targets) {
			if !seen[target.UID] {
				seen[target.UID] = true
				update.Targets = append(update.Targets, target)
			}
		}
	}
	slices.Reverse(update.Targets)
	return update
}
