package membership

import (
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
)

// OnUpdates takes in what a peer knows and passes on what was news.
func (d *Detector) OnUpdates(now time.Time, updates []member.Member) {
	for _, m := range updates {
		if m.ID == d.self.ID {
			d.refute(now, m)
			continue
		}
		d.merge(now, m)
	}
}

// OnTable takes in the whole table of a peer. It is not passed on, since the peer
// and its neighbours have it already.
func (d *Detector) OnTable(now time.Time, table []member.Member) {
	for _, m := range table {
		if m.ID == d.self.ID {
			d.refute(now, m)
			continue
		}
		d.learn(now, m)
	}
}

// refute raises this instance's incarnation above a wrong claim about it.
func (d *Detector) refute(now time.Time, claim member.Member) {
	if d.self.State == member.Left || !claim.Overrides(d.self) {
		return
	}
	d.self.Incarnation = claim.Incarnation + 1
	d.urgent = true
	d.table.Merge(now, d.self)
	d.queue.add(d.self)
}

// Leave announces that this instance stops. Its peers stop probing it.
func (d *Detector) Leave(now time.Time) {
	d.self.State = member.Left
	d.urgent = true
	d.table.Merge(now, d.self)
	d.queue.add(d.self)
}

// AddInstance takes in an instance from the platform's list or the settings.
// It is probed and thereby learnt; it overrides nothing that is known.
func (d *Detector) AddInstance(now time.Time, id member.ID, address string, zone bundle.Zone) {
	if _, known := d.table.Get(id); known {
		return
	}
	d.merge(now, member.Member{ID: id, Address: address, Zone: zone, State: member.Alive})
}

// merge takes in m if it is news, and passes it on.
func (d *Detector) merge(now time.Time, m member.Member) {
	if d.learn(now, m) {
		d.queue.add(m)
	}
}

// learn takes in m if it is news.
func (d *Detector) learn(now time.Time, m member.Member) bool {
	old, _ := d.table.Get(m.ID)
	if !d.table.Merge(now, m) {
		return false
	}
	if old.State != m.State {
		d.changes = append(d.changes, StateChange{Member: m, Previous: old.State})
	}
	isRefutation := m.State == member.Alive && old.State > member.Alive
	if !m.IsUsable() || isRefutation {
		delete(d.pending, m.ID)
		d.urgent = true
	}
	return true
}

// Piggyback returns the members to send with the next message to peer: this
// instance itself, what it holds wrongly of the peer so that the peer can
// refute, and the updates that were sent least often.
func (d *Detector) Piggyback(peer member.ID) []member.Member {
	updates := []member.Member{d.self}
	if known, ok := d.table.Get(peer); ok && known.State != member.Alive {
		updates = append(updates, known.Member)
	}
	room := d.settings.MaxUpdates - len(updates)
	return append(updates, d.queue.take(room, transmissions(d.table.Len()))...)
}
