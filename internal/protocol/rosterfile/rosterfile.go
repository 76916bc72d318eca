// Package rosterfile encodes and decodes the store object that holds the roster of a service.
package rosterfile

import (
	"errors"

	"google.golang.org/protobuf/proto"

	savoryweirv1 "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/roster"
)

// ErrMalformed reports that the data is not a valid roster.
var ErrMalformed = errors.New("malformed roster")

// maxCells is the largest number of cells of a service that Decode accepts.
const maxCells = 1 << 16

// Encode returns the stored form of a roster.
func Encode(r roster.Roster) ([]byte, error) {
	m := &savoryweirv1.Roster{Cells: uint32(r.Cells), Ledgers: uint32(r.Ledgers)}
	for _, e := range r.Entries {
		m.Entries = append(m.Entries, &savoryweirv1.RosterEntry{
			Engine: string(e.Engine), Cell: uint32(e.Cell), From: uint32(e.From + 1), Move: e.Move,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Decode returns the roster whose stored form is data. It returns ErrMalformed if data is not a
// valid roster.
func Decode(data []byte) (roster.Roster, error) {
	var m savoryweirv1.Roster
	if err := proto.Unmarshal(data, &m); err != nil {
		return roster.Roster{}, errors.Join(ErrMalformed, err)
	}
	if m.Cells == 0 || m.Ledgers < m.Cells || m.Ledgers > maxCells {
		return roster.Roster{}, ErrMalformed
	}
	r := roster.Roster{Cells: int(m.Cells), Ledgers: int(m.Ledgers)}
	for _, e := range m.Entries {
		if e.Cell >= m.Ledgers || e.From > m.Ledgers {
			return roster.Roster{}, ErrMalformed
		}
		r.Set(roster.Entry{Engine: bundle.UpstreamID(e.Engine), Cell: int(e.Cell), From: int(e.From) - 1, Move: e.Move})
	}
	return r, nil
}
