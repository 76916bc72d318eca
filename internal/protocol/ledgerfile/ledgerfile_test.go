package ledgerfile

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

func sampleLedger() *ledger.Ledger {
	slot := ledger.Slot{Model: "m", Version: "1"}
	return &ledger.Ledger{
		Holder: "a", LeaseUntil: time.UnixMilli(5), Nonce: 3, Generation: 2, Roster: 8, Base: 6,
		Engines: []ledger.Engine{{
			ID: "e", Boot: "b", Sequence: 4, Fence: 9, Memory: 100, Delivery: ledger.DeliveryAtMostOnce,
			Items: []ledger.Item{{Slot: slot, Memory: 10, Resident: true, Loads: []ledger.Fence{1, 2}, Unloads: []ledger.Fence{3}}},
		}},
		Outgoing: []ledger.Handover{{Engine: ledger.Engine{ID: "f", Move: 2, Items: []ledger.Item{{Slot: slot, Memory: 7}}}, To: "s-1", Fence: 12}},
	}
}

func TestDecodeReturnsEncodedLedger(t *testing.T) {
	data, err := Encode(sampleLedger())
	assert.NilError(t, err)
	decoded, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sampleLedger())
}

func TestIndexAcceptsOnlyLedgerNamesOfTheService(t *testing.T) {
	index, ok := Index("s", Name("s", 12))
	assert.Assert(t, ok)
	assert.Equal(t, index, 12)
	for _, name := range []object.Name{"s-t-1", "s-", "s-01", "s--1", "t-1"} {
		_, ok := Index("s", name)
		assert.Assert(t, !ok, "%s", name)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(sampleLedger())
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		reencoded, err := Encode(decoded)
		if err != nil {
			return // a name is not valid UTF-8, which Protobuf can't encode
		}
		redecoded, err := Decode(reencoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, redecoded, decoded)
	})
}
