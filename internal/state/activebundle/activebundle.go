// Package activebundle tracks which bundle is active in a process. The generation only
// increases, whichever heads the process reads from the store or receives from peers,
// and however often.
package activebundle

import "savoryweir/internal/state/bundle"

// Comparison is the relation of an offered head to the active one.
type Comparison string

// The results of a comparison.
const (
	// Newer means that the offered head may become active.
	Newer Comparison = "newer"
	// Current means that the offered head is the active one.
	Current Comparison = "known"
	// Older means that a higher generation is active, so the offered head is stale.
	Older Comparison = "older"
	// Conflicting means that the same generation is active with other content. The
	// conditional updates of the store never lead to this.
	Conflicting Comparison = "conflicting"
)

// State holds the active head. Its zero value has no bundle. It is not safe for concurrent use.
type State struct{ head bundle.Head }

// Head returns the active head.
func (s *State) Head() bundle.Head { return s.head }

// Compare returns the relation of a head to the active one.
func (s *State) Compare(head bundle.Head) Comparison {
	switch {
	case head.Generation > s.head.Generation:
		return Newer
	case head.Generation < s.head.Generation:
		return Older
	case head == s.head:
		return Current
	default:
		return Conflicting
	}
}

// Advance makes a verified head the active one if it is newer. It returns the result of
// the comparison.
func (s *State) Advance(head bundle.Head) Comparison {
	comparison := s.Compare(head)
	if comparison == Newer {
		s.head = head
	}
	return comparison
}
