package ledger

import (
	"slices"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// Handover is the account of an engine that this ledger has let go for another one.
// It stays until the other ledger has it, so that the engine is charged at each moment.
type Handover struct {
	Engine Engine
	To     object.Name // the other ledger
	Fence  Fence       // not below any fencing number that this ledger has given to the engine
}

// FenceAt returns the fencing number of the write that replaces a version, or zero
// for the write that creates the ledger, which may carry no order.
func (l *Ledger) FenceAt(replaced object.Version) Fence {
	if replaced == 0 {
		return 0
	}
	return l.Base + Fence(replaced)
}

// Release moves an engine's account out of the ledger. From the write on no order to the
// engine can be recorded here; those recorded before stay charged in the account.
func (l *Ledger) Release(id bundle.UpstreamID, to object.Name, move uint64, fence Fence) {
	at := slices.IndexFunc(l.Engines, func(e Engine) bool { return e.ID == id })
	if at < 0 {
		return
	}
	e := l.Engines[at]
	e.Move = move
	l.Engines = slices.Delete(l.Engines, at, at+1)
	l.Outgoing = append(l.Outgoing, Handover{Engine: e, To: to, Fence: fence})
}

// Handover returns the account of an engine that was let go for the given ledger, or nil.
func (l *Ledger) Handover(id bundle.UpstreamID, to object.Name, move uint64) *Handover {
	at := slices.IndexFunc(l.Outgoing, func(h Handover) bool {
		return h.Engine.ID == id && h.To == to && h.Engine.Move == move
	})
	if at < 0 {
		return nil
	}
	return &l.Outgoing[at]
}

// Adopt takes over an account in the write that replaces a version. The fencing numbers
// of that write and of all later ones are above those of the ledger that let the engine go.
func (l *Ledger) Adopt(h Handover, replaced object.Version) {
	if l.Base+Fence(replaced) <= h.Fence {
		l.Base = h.Fence + 1 - Fence(replaced)
	}
	l.Engines = append(l.Engines, h.Engine)
}

// Forget drops the account of an engine that the other ledger has.
func (l *Ledger) Forget(id bundle.UpstreamID) {
	l.Outgoing = slices.DeleteFunc(l.Outgoing, func(h Handover) bool { return h.Engine.ID == id })
}

// IsEmpty reports whether the ledger charges no engine.
func (l *Ledger) IsEmpty() bool { return len(l.Engines) == 0 && len(l.Outgoing) == 0 }
