// Package member defines the instances of the system as their peers see them,
// and the rule by which two views of an instance are merged.
package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/bundle"
)

// ID identifies an instance.
type ID string

// State is the health of an instance. A later state overrides an earlier one
// of the same incarnation.
type State uint8

// The states of an instance in the order in which they override one another.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Incarnation is a rising number of an instance. Its upper part is the start of
// the process and its lower part counts the refutations since.
type Incarnation uint64

// refutationBits is the size of the lower part of an incarnation.
const refutationBits = 20

// NewIncarnation returns the first incarnation of a process that starts now.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixMilli()) << refutationBits }

// Boot tells processes of one instance apart. It stays the same when the process
// refutes a suspicion.
func (i Incarnation) Boot() uint64 { return uint64(i >> refutationBits) }

// Member is one instance at one incarnation.
type Member struct {
	ID          ID
	Address     string // IP address and port of its control process
	Zone        bundle.Zone
	Incarnation Incarnation
	State       State
}

// IsUsable reports whether the instance may be asked. A suspect may still be alive.
func (m Member) IsUsable() bool { return m.State == Alive || m.State == Suspect }

// Overrides reports whether m is newer knowledge than old about the same instance.
func (m Member) Overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Record is a member with the time of its last change of state.
type Record struct {
	Member
	Since time.Time
}

// Table holds what one instance knows of all others and of itself.
type Table struct {
	records map[ID]Record
	counts  [Left + 1]int
	version uint64 // counts changes to the set of usable members
	digest  uint64 // exclusive or of the hashes of all usable members
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[ID]Record)} }

// Merge takes in m if it overrides what is known, and reports whether it did.
func (t *Table) Merge(now time.Time, m Member) bool {
	old, known := t.records[m.ID]
	if known && !m.Overrides(old.Member) {
		return false
	}
	t.records[m.ID] = Record{Member: m, Since: now}
	if known {
		t.counts[old.State]--
		t.digest ^= hash(old.Member)
	}
	t.counts[m.State]++
	t.digest ^= hash(m)
	if !known || old.IsUsable() != m.IsUsable() || old.Address != m.Address {
		t.version++
	}
	return true
}

// hash identifies a process that is usable. Others count nothing, since they are
// forgotten at different times.
func hash(m Member) uint64 {
	if !m.IsUsable() {
		return 0
	}
	return xxhash.Sum64String(string(m.ID) + "\x00" + strconv.FormatUint(m.Incarnation.Boot(), 10))
}

// Digest is equal at two instances that know the same usable members.
func (t *Table) Digest() uint64 { return t.digest }

// Get returns what is known of an instance.
func (t *Table) Get(id ID) (Record, bool) {
	r, ok := t.records[id]
	return r, ok
}

// Version changes whenever the set of usable members changes.
func (t *Table) Version() uint64 { return t.version }

// Usable returns the members that may be asked, in order of their ids.
func (t *Table) Usable() []Member {
	var usable []Member
	for _, r := range t.records {
		if r.IsUsable() {
			usable = append(usable, r.Member)
		}
	}
	slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// All returns all records in order of their ids.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// InState returns the records in one state, in order of their ids.
func (t *Table) InState(state State) []Record {
	if t.counts[state] == 0 {
		return nil
	}
	var found []Record
	for _, r := range t.records {
		if r.State == state {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Forget removes the dead and left whose state is older than retention.
func (t *Table) Forget(now time.Time, retention time.Duration) {
	for id, r := range t.records {
		if !r.IsUsable() && now.Sub(r.Since) > retention {
			delete(t.records, id)
			t.counts[r.State]--
		}
	}
}

// Restart sets the time of an instance's last change of state to now.
func (t *Table) Restart(now time.Time, id ID) {
	if r, ok := t.records[id]; ok {
		r.Since = now
		t.records[id] = r
	}
}
