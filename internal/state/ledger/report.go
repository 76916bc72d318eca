package ledger

import (
	"slices"

	"savoryweir/internal/state/bundle"
)

// Resident is one slot that an engine reports as resident in memory.
type Resident struct {
	Slot   Slot
	Memory bundle.MiB
	Ready  bool
}

// Report is the state that an engine reports of itself at one moment. It may be outdated
// when it arrives.
type Report struct {
	Boot      string
	Sequence  uint64
	Fence     Fence
	Residents []Resident
	Handled   []string // identifiers of orders
}

// ApplyReport updates an engine's account from its report. The report must have been
// requested after this version of the ledger was read. A report is ignored if it is
// older than one that was applied before within the same boot.
func (l *Ledger) ApplyReport(id bundle.UpstreamID, r Report) {
	e := l.Engine(id)
	if e == nil {
		return
	}
	e.Unreachable = false
	if r.Boot != e.Boot {
		e.resetForBoot(r.Boot)
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
	e.Items = slices.DeleteFunc(e.Items, e.canRemove)
}

// canRemove reports whether an allocation need not be recorded any longer. With
// DeliveryFenced, a pending unload of a slot that is not in memory is harmless, because
// every later load has a higher fencing number.
func (e *Engine) canRemove(a Item) bool {
	return !a.Charged() && (len(a.Unloads) == 0 || e.Delivery == DeliveryFenced)
}

// SetUnreachable records that an engine did not answer. Its memory stays charged.
func (l *Ledger) SetUnreachable(id bundle.UpstreamID) {
	if e := l.Engine(id); e != nil {
		e.Unreachable = true
	}
}

// resetForBoot starts the account of a new boot. It removes what ended with the earlier
// boot: the contents of the memory and the orders that were sent to that boot.
func (e *Engine) resetForBoot(boot string) {
	e.Boot, e.Sequence, e.Fence = boot, 0, 0
	e.Items = nil
}

// settle removes the pending orders that can no longer take effect after the report. It
// also clears Resident and Ready, which setResident sets again for reported slots.
func (e *Engine) settle(allocation *Item, r Report) {
	allocation.Resident, allocation.Ready = false, false
	allocation.Loads = slices.DeleteFunc(allocation.Loads, func(f Fence) bool { return e.isSettled(Load, allocation.Slot, f, r) })
	allocation.Unloads = slices.DeleteFunc(allocation.Unloads, func(f Fence) bool { return e.isSettled(Unload, allocation.Slot, f, r) })
}

// isSettled reports whether an order can no longer take effect after the report.
func (e *Engine) isSettled(a Action, s Slot, f Fence, r Report) bool {
	switch e.Delivery {
	case DeliveryFenced:
		return f < r.Fence
	case DeliveryAtMostOnce:
		return slices.Contains(r.Handled, orderID(a, s, f))
	default:
		return false
	}
}

func (e *Engine) setResident(r Resident) {
	allocation := e.Item(r.Slot)
	if allocation == nil {
		e.Items = append(e.Items, Item{Slot: r.Slot})
		allocation = &e.Items[len(e.Items)-1]
	}
	allocation.Memory = max(allocation.Memory, r.Memory)
	allocation.Resident, allocation.Ready = true, r.Ready
}
