package ledger

import (
	"slices"

	"savoryweir/internal/state/bundle"
)

// Resident is one slot that an engine reports.
type Resident struct {
	Slot   Slot
	Memory bundle.MiB
	Ready  bool
}

// Report is an engine's own account at one moment. It may lag.
type Report struct {
	Boot      string
	Sequence  uint64
	Fence     Fence
	Residents []Resident
	Handled   []string // identifiers of orders
}

// ApplyReport settles an engine's account by its report. The report must have been
// asked for after this version of the ledger was read. A report older than one
// applied before within the same boot is ignored.
func (l *Ledger) ApplyReport(id bundle.UpstreamID, r Report) {
	e := l.Engine(id)
	if e == nil {
		return
	}
	e.Unreachable = false
	if r.Boot != e.Boot {
		e.restart(r.Boot)
	}
	if r.Sequence < e.Sequence {
		return
	}
	e.Sequence, e.Fence = r.Sequence, r.Fence
	for i := range e.Items {
		e.settle(&e.Items[i], r)
	}
	for _, resident := range r.Residents {
		e.setResident(resident)
	}
	e.Items = slices.DeleteFunc(e.Items, e.isOver)
}

// isOver reports whether an item can be forgotten. Where fencing is checked, an unload of a
// slot that is gone is harmless: every later load has a higher fencing number.
func (e *Engine) isOver(i Item) bool {
	return !i.Charged() && (len(i.Unloads) == 0 || e.Delivery == DeliveryFenced)
}

// SetUnreachable notes that an engine did not answer. Its memory stays charged.
func (l *Ledger) SetUnreachable(id bundle.UpstreamID) {
	if e := l.Engine(id); e != nil {
		e.Unreachable = true
	}
}

// restart drops what ended with the earlier boot: its memory and the orders sent to it.
func (e *Engine) restart(boot string) {
	e.Boot, e.Sequence, e.Fence = boot, 0, 0
	e.Items = nil
}

// settle drops the attempts that can no longer take effect after the report.
func (e *Engine) settle(i *Item, r Report) {
	i.Resident, i.Ready = false, false
	i.Loads = slices.DeleteFunc(i.Loads, func(f Fence) bool { return e.isDead(Load, i.Slot, f, r) })
	i.Unloads = slices.DeleteFunc(i.Unloads, func(f Fence) bool { return e.isDead(Unload, i.Slot, f, r) })
}

func (e *Engine) isDead(a Action, s Slot, f Fence, r Report) bool {
	switch e.Delivery {
	case DeliveryFenced:
		return f < r.Fence
	case DeliveryOnce:
		return slices.Contains(r.Handled, orderID(a, s, f))
	default:
		return false
	}
}

func (e *Engine) setResident(r Resident) {
	item := e.Item(r.Slot)
	if item == nil {
		e.Items = append(e.Items, Item{Slot: r.Slot})
		item = &e.Items[len(e.Items)-1]
	}
	item.Memory = max(item.Memory, r.Memory)
	item.Resident, item.Ready = true, r.Ready
}
