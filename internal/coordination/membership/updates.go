package membership

import (
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
)

// OnUpdates merges the updates of a peer into the table and queues those that were new
// for further dissemination.
func (d *Detector) OnUpdates(now time.Time, updates []member.Member) {
	for _, m := range updates {
		if m.ID == d.self.ID {
			d.refute(now, m)
			continue
		}
		d.merge(now, m)
	}
}

// OnTable merges the whole table of a peer into the table. Its entries are not queued for
// dissemination, since the peer and its neighbours have them already.
func (d *Detector) OnTable(now time.Time, table []member.Member) {
	for _, m := range table {
		if m.ID == d.self.ID {
			d.refute(now, m)
			continue
		}
		d.apply(now, m)
	}
}

// refute raises the incarnation of this instance above that of a wrong claim about it and
// queues the new incarnation for dissemination.
func (d *Detector) refute(now time.Time, claim member.Member) {
	if d.self.State == member.Left || !claim.Overrides(d.self) {
		return
	}
	d.self.Incarnation = claim.Incarnation + 1
	d.urgent = true
	d.table.Merge(now, d.self)
	d.updates.add(d.self)
}

// Leave announces that this instance is stopping, upon which its peers stop probing it.
func (d *Detector) Leave(now time.Time) {
	d.self.State = member.Left
	d.urgent = true
	d.table.Merge(now, d.self)
	d.updates.add(d.self)
}

// AddInstance adds an instance from the platform's list or from the settings. Probes then
// determine its state. AddInstance does not change a member that is already known.
func (d *Detector) AddInstance(now time.Time, id member.ID, address string, zone bundle.Zone) {
	if _, known := d.table.Get(id); known {
		return
	}
	d.merge(now, member.Member{ID: id, Address: address, Zone: zone, State: member.Alive})
}

// merge applies m and, if it is new, queues it for dissemination.
func (d *Detector) merge(now time.Time, m member.Member) {
	if d.apply(now, m) {
		d.updates.add(m)
	}
}

// apply merges m into the table and reports whether it was new.
func (d *Detector) apply(now time.Time, m member.Member) bool {
	previous, _ := d.table.Get(m.ID)
	if !d.table.Merge(now, m) {
		return false
	}
	if previous.State != m.State {
		d.changes = append(d.changes, StateChange{Member: m, Previous: previous.State})
	}
	isRefutation := m.State == member.Alive && previous.State > member.Alive
	if !m.IsUsable() || isRefutation {
		delete(d.pendingProbes, m.ID)
		d.urgent = true
	}
	return true
}

// Piggyback returns the members to send with the next message to peer: this instance
// itself, the entry of the peer if it is not alive in the table, so that the peer can
// refute it, and the updates that were sent least often.
func (d *Detector) Piggyback(peer member.ID) []member.Member {
	updates := []member.Member{d.self}
	if known, ok := d.table.Get(peer); ok && known.State != member.Alive {
		updates = append(updates, known.Member)
	}
	remaining := d.settings.MaxUpdates - len(updates)
	return append(updates, d.updates.take(remaining, retransmitLimit(d.table.Len()))...)
}
