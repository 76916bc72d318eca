package rosterfile

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/roster"
)

func sample() roster.Roster {
	return roster.Roster{Cells: 2, Ledgers: 3, Entries: []roster.Entry{
		{Engine: "e", Cell: 1, From: roster.NoCell, Move: 1}, {Engine: "f", Cell: 0, From: 2, Move: 7},
	}}
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	data, err := Encode(sample())
	assert.NilError(t, err)
	decoded, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sample())
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(sample())
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(decoded)
		if err != nil {
			return // names that are no valid text
		}
		copied, err := Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, copied, decoded)
	})
}
