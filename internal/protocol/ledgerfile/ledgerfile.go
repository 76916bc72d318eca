// Package ledgerfile encodes and decodes the store object that holds the ledger of a placement
// cell. The object holds each model, version and adapter name once, and items refer to it by
// index.
package ledgerfile

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

// ErrMalformed reports that the data is not a valid ledger.
var ErrMalformed = errors.New("malformed ledger")

// nameTable assigns an index to each distinct name.
type nameTable struct {
	names []string
	index map[string]uint32
}

func (n *nameTable) add(name string) uint32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	i := uint32(len(n.names))
	n.names = append(n.names, name)
	n.index[name] = i
	return i
}

// Encode returns the stored form of a ledger.
func Encode(l *ledger.Ledger) ([]byte, error) {
	n := &nameTable{index: make(map[string]uint32)}
	n.add("") // the empty name has index zero, which takes no bytes in an item
	m := &savoryweirv1.Ledger{
		Holder: l.Holder, LeaseUntilUnixMillis: l.LeaseUntil.UnixMilli(), Nonce: l.Nonce, Generation: uint64(l.Generation),
		Base: uint64(l.Base), Roster: uint64(l.Roster),
	}
	for _, e := range l.Engines {
		m.Engines = append(m.Engines, encodeEngine(e, n))
	}
	for _, h := range l.Outgoing {
		handover := &savoryweirv1.LedgerHandover{Engine: encodeEngine(h.Engine, n), To: string(h.To), Fence: uint64(h.Fence)}
		m.Outgoing = append(m.Outgoing, handover)
	}
	m.Names = n.names
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func encodeEngine(e ledger.Engine, n *nameTable) *savoryweirv1.LedgerEngine {
	m := &savoryweirv1.LedgerEngine{
		Upstream: string(e.ID), Boot: e.Boot, Sequence: e.Sequence, Fence: uint64(e.Fence),
		MemoryMib: uint64(e.Memory), Delivery: uint32(e.Delivery), Unreachable: e.Unreachable,
		Move: e.Move,
	}
	for _, i := range e.Items {
		m.Items = append(m.Items, &savoryweirv1.LedgerItem{
			Model: n.add(string(i.Slot.Model)), Version: n.add(i.Slot.Version), Adapter: n.add(string(i.Slot.Adapter)),
			MemoryMib: uint64(i.Memory), Resident: i.Resident, Ready: i.Ready,
			Loads: encodeFences(i.Loads), Unloads: encodeFences(i.Unloads),
		})
	}
	return m
}

func encodeFences(fences []ledger.Fence) []uint64 {
	var numbers []uint64
	for _, f := range fences {
		numbers = append(numbers, uint64(f))
	}
	return numbers
}

// Decode returns the ledger whose stored form is data. It returns ErrMalformed if data is not a
// valid ledger.
func Decode(data []byte) (*ledger.Ledger, error) {
	var m savoryweirv1.Ledger
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errors.Join(ErrMalformed, err)
	}
	l := &ledger.Ledger{
		Holder: m.Holder, LeaseUntil: time.UnixMilli(m.LeaseUntilUnixMillis), Nonce: m.Nonce,
		Generation: bundle.Generation(m.Generation), Base: ledger.Fence(m.Base), Roster: object.Version(m.Roster),
	}
	for _, engine := range m.Engines {
		e, err := decodeEngine(engine, m.Names)
		if err != nil {
			return nil, err
		}
		l.Engines = append(l.Engines, e)
	}
	for _, h := range m.Outgoing {
		if h.Engine == nil {
			return nil, ErrMalformed
		}
		e, err := decodeEngine(h.Engine, m.Names)
		if err != nil {
			return nil, err
		}
		l.Outgoing = append(l.Outgoing, ledger.Handover{Engine: e, To: object.Name(h.To), Fence: ledger.Fence(h.Fence)})
	}
	return l, nil
}

func decodeEngine(m *savoryweirv1.LedgerEngine, names []string) (ledger.Engine, error) {
	if m.Delivery > uint32(ledger.DeliveryAtLeastOnce) {
		return ledger.Engine{}, ErrMalformed
	}
	e := ledger.Engine{
		ID: bundle.UpstreamID(m.Upstream), Boot: m.Boot, Sequence: m.Sequence, Fence: ledger.Fence(m.Fence),
		Memory: bundle.MiB(m.MemoryMib), Delivery: ledger.Delivery(m.Delivery), Unreachable: m.Unreachable,
		Move: m.Move,
	}
	for _, item := range m.Items {
		if int(max(item.Model, item.Version, item.Adapter)) >= len(names) {
			return ledger.Engine{}, ErrMalformed
		}
		e.Items = append(e.Items, ledger.Item{
			Slot: ledger.Slot{
				Model: bundle.ModelID(names[item.Model]), Version: names[item.Version], Adapter: bundle.AdapterID(names[item.Adapter]),
			},
			Memory: bundle.MiB(item.MemoryMib), Resident: item.Resident, Ready: item.Ready,
			Loads: decodeFences(item.Loads), Unloads: decodeFences(item.Unloads),
		})
	}
	return e, nil
}

func decodeFences(numbers []uint64) []ledger.Fence {
	var fences []ledger.Fence
	for _, n := range numbers {
		fences = append(fences, ledger.Fence(n))
	}
	return fences
}
