package ledger

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Handover is the account of an engine that this ledger transfers to another one. It
// stays here until the other ledger has recorded the account, so that the engine's
// memory is charged in at least one ledger at any time.
type Handover struct {
	Engine Engine
	To     object.Name // ledger that receives the account
	Fence  Fence       // at least as high as every fencing number that this ledger gave to the engine
}

// FenceAt returns the fencing number of the update that replaces the given
// version. It returns zero for the update that creates the ledger, which must not
// record an order.
func (l *Ledger) FenceAt(replaced object.Version) Fence {
	if replaced == 0 {
		return 0
	}
	return l.Base + Fence(replaced)
}

// StartHandover moves an engine's account to the outgoing handovers. Once that is
// written, this ledger can record no more orders to the engine. Orders recorded before
// stay charged in the account.
func (l *Ledger) StartHandover(id bundle.UpstreamID, to object.Name, handoverSeq uint64, fence Fence) {
	at := slices.IndexFunc(l.Engines, func(e Engine) bool { return e.ID == id })
	if at < 0 {
		return
	}
	e := l.Engines[at]
	e.Move = handoverSeq
	l.Engines = slices.Delete(l.Engines, at, at+1)
	l.Outgoing = append(l.Outgoing, Handover{Engine: e, To: to, Fence: fence})
}

// Handover returns the outgoing handover of an engine to the given ledger with the
// given sequence number, or nil if there is none.
func (l *Ledger) Handover(id bundle.UpstreamID, to object.Name, handoverSeq uint64) *Handover {
	at := slices.IndexFunc(l.Outgoing, func(h Handover) bool {
		return h.Engine.ID == id && h.To == to && h.Engine.Move == handoverSeq
	})
	if at < 0 {
		return nil
	}
	return &l.Outgoing[at]
}

// AcceptHandover adds the account of a handover in the update that replaces the given
// version. It raises Base if needed, so that the fencing numbers of that update and
// of all later ones are above those of the ledger that the account comes from.
func (l *Ledger) AcceptHandover(h Handover, replaced object.Version) {
	if l.Base+Fence(replaced) <= h.Fence {
		l.Base = h.Fence + 1 - Fence(replaced)
	}
	l.Engines = append(l.Engines, h.Engine)
}

// RemoveHandover removes the outgoing account of an engine that the other ledger has recorded.
func (l *Ledger) RemoveHandover(id bundle.UpstreamID) {
	l.Outgoing = slices.DeleteFunc(l.Outgoing, func(h Handover) bool { return h.Engine.ID == id })
}

// IsEmpty reports whether the ledger has no engine and no outgoing handover.
func (l *Ledger) IsEmpty() bool { return len(l.Engines) == 0 && len(l.Outgoing) == 0 }
