package replica

import "slices"

// maxRemovals is the maximum number of removed replicas that a history keeps.
const maxRemovals = 256

// History is a cell with the versions at which its replicas changed. It provides the delta
// from any version since which it still has all changes. If a delta that spans several
// versions is applied, all its changes are recorded at the last of them. A later delta may
// therefore list more than what changed, but never less. The zero value has no cell.
type History struct {
	cell     Cell
	changed  map[Key]uint64 // version at which each present replica last changed
	removals []removal      // in ascending order of their versions
	oldest   uint64         // lowest version since which all changes are recorded
}

// removal records a removed replica and the version at which it was removed.
type removal struct {
	key     Key
	version uint64
}

// Cell returns the current cell.
func (h *History) Cell() Cell { return h.cell }

// Apply applies a full or partial delta to the cell. On an error, which is one of those of
// the function Apply, the history is unchanged.
func (h *History) Apply(d Delta) error {
	next, err := Apply(h.cell, d)
	if err != nil {
		return err
	}
	if h.cell.Head.Version == 0 {
		h.oldest = next.Head.Version
		h.changed = make(map[Key]uint64, len(next.Replicas))
	} else {
		h.recordChanges(next)
	}
	h.cell = next
	return nil
}

// recordChanges records what differs between the current cell and the next one.
func (h *History) recordChanges(next Cell) {
	version := next.Head.Version
	before := make(map[Key]Replica, len(h.cell.Replicas))
	for _, r := range h.cell.Replicas {
		before[r.Key()] = r
	}
	for _, r := range next.Replicas {
		if known, ok := before[r.Key()]; !ok || known != r {
			h.changed[r.Key()] = version
		}
		delete(before, r.Key())
	}
	h.removals = slices.DeleteFunc(h.removals, func(r removal) bool { return h.changed[r.key] == version })
	for _, r := range h.cell.Replicas {
		if _, isRemoved := before[r.Key()]; isRemoved {
			delete(h.changed, r.Key())
			h.removals = append(h.removals, removal{key: r.Key(), version: version})
		}
	}
	h.trimRemovals()
}

// trimRemovals drops the oldest removals beyond maxRemovals. Deltas from versions below
// that of a dropped removal are no longer available.
func (h *History) trimRemovals() {
	if excess := len(h.removals) - maxRemovals; excess > 0 {
		h.oldest = max(h.oldest, h.removals[excess-1].version)
		h.removals = slices.Delete(h.removals, 0, excess)
	}
}

// Since returns a delta with what changed after the given version. It returns a full delta
// if the changes since that version are not all recorded, if the version is not an earlier
// one, or if a partial delta would be no shorter.
func (h *History) Since(version uint64) Delta {
	full := Delta{Cell: h.cell, Digest: h.cell.Digest()}
	if version == 0 || version < h.oldest || version >= h.cell.Head.Version {
		return full
	}
	d := Delta{Cell: Cell{Head: h.cell.Head}, Base: version, Digest: full.Digest}
	for _, r := range h.cell.Replicas {
		if h.changed[r.Key()] > version {
			d.Cell.Replicas = append(d.Cell.Replicas, r)
		}
	}
	for _, r := range h.removals {
		if r.version > version {
			d.Removed = append(d.Removed, r.key)
		}
	}
	if len(d.Cell.Replicas)+len(d.Removed) >= len(h.cell.Replicas) {
		return full
	}
	return d
}
