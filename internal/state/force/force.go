// Package force holds which bundle is in force at a process. The generation only
// increases, whatever is read, heard or repeated.
package force

import "savoryweir/internal/state/bundle"

// Verdict is the answer to a head that is put forward.
type Verdict string

// The verdicts.
const (
	// Newer tells that the head may come into force.
	Newer Verdict = "newer"
	// Known tells that the head is the one in force.
	Known Verdict = "known"
	// Older tells that a higher generation is in force, so the head was stale.
	Older Verdict = "older"
	// Conflicting tells that the generation is in force with another content. The store's
	// conditional updates never bring this about.
	Conflicting Verdict = "conflicting"
)

// State is the head in force. Its zero value holds no bundle. It is not safe for concurrent use.
type State struct{ head bundle.Head }

// Head returns the head in force.
func (s *State) Head() bundle.Head { return s.head }

// Judge compares a head with the one in force.
func (s *State) Judge(head bundle.Head) Verdict {
	switch {
	case head.Generation > s.head.Generation:
		return Newer
	case head.Generation < s.head.Generation:
		return Older
	case head == s.head:
		return Known
	default:
		return Conflicting
	}
}

// Advance puts a verified head in force if it is newer, and returns the verdict.
func (s *State) Advance(head bundle.Head) Verdict {
	verdict := s.Judge(head)
	if verdict == Newer {
		s.head = head
	}
	return verdict
}
