package replica

import "slices"

// maxGone bounds the removed replicas that a history remembers.
const maxGone = 256

// History is a cell with the versions at which its replicas changed, as far back
// as it remembers. It gives the delta from any version that it remembers. A
// history that took in a cell over several versions at once stamps all that
// changed with the last of them, so that a delta may name more than changed but
// never less. The zero value knows no cell.
type History struct {
	cell    Cell
	changed map[Key]uint64 // version at which a present replica changed last
	gone    []removal      // in the order of their versions
	floor   uint64         // lowest version whose changes since are all remembered
}

// removal is a replica that is gone.
type removal struct {
	key     Key
	version uint64
}

// Cell returns the present replicas.
func (h *History) Cell() Cell { return h.cell }

// Take takes in a newer cell, whole or as a delta. An error is one of Apply's,
// and the history stays as it was.
func (h *History) Take(d Delta) error {
	next, err := Apply(h.cell, d)
	if err != nil {
		return err
	}
	if h.cell.Head.Version == 0 {
		h.floor = next.Head.Version
		h.changed = make(map[Key]uint64, len(next.Replicas))
	} else {
		h.stamp(next)
	}
	h.cell = next
	return nil
}

// stamp notes what differs between the present cell and the next one.
func (h *History) stamp(next Cell) {
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
	h.gone = slices.DeleteFunc(h.gone, func(r removal) bool { return h.changed[r.key] == version })
	for _, r := range h.cell.Replicas {
		if _, isGone := before[r.Key()]; isGone {
			delete(h.changed, r.Key())
			h.gone = append(h.gone, removal{key: r.Key(), version: version})
		}
	}
	h.forget()
}

// forget drops the oldest removals above the bound. Deltas from before them can't be given any more.
func (h *History) forget() {
	if excess := len(h.gone) - maxGone; excess > 0 {
		h.floor = max(h.floor, h.gone[excess-1].version)
		h.gone = slices.Delete(h.gone, 0, excess)
	}
}

// Since returns what changed after a version, or the whole cell if the history does not
// go back so far, if the version is not an earlier one or if the delta were no shorter.
func (h *History) Since(version uint64) Delta {
	whole := Delta{Cell: h.cell, Digest: h.cell.Digest()}
	if version == 0 || version < h.floor || version >= h.cell.Head.Version {
		return whole
	}
	d := Delta{Cell: Cell{Head: h.cell.Head}, Base: version, Digest: whole.Digest}
	for _, r := range h.cell.Replicas {
		if h.changed[r.Key()] > version {
			d.Cell.Replicas = append(d.Cell.Replicas, r)
		}
	}
	for _, r := range h.gone {
		if r.version > version {
			d.Gone = append(d.Gone, r.key)
		}
	}
	if len(d.Cell.Replicas)+len(d.Gone) >= len(h.cell.Replicas) {
		return whole
	}
	return d
}
