package rosterfile

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/roster"
)

func sampleRoster() roster.Roster {
	return roster.Roster{Cells: 2, Ledgers: 3, Entries: []roster.Entry{
		{Engine: "e", Cell: 1, From: roster.NoCell, Move: 1}, {Engine: "f", Cell: 0, From: 2, Move: 7},
	}}
}

func TestDecodeReturnsEncodedRoster(t *testing.T) {
	data, err := Encode(sampleRoster())
	assert.NilError(t, err)
	decoded, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sampleRoster())
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(sampleRoster())
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
