// Package member defines the instances of the system as their peers see them, and the
// rule that merges two views of an instance.
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

// State is the health of an instance. Within an incarnation, a higher state overrides a
// lower one.
type State uint8

// The states of an instance. Each one overrides those before it.
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

// Incarnation is a number that an instance increases. Its upper part is the start time
// of the process in Unix milliseconds. Its lower part counts how often the process has
// refuted a suspicion since.
type Incarnation uint64

// refutationBits is the size of the lower part of an incarnation, in bits.
const refutationBits = 20

// NewIncarnation returns the first incarnation of a process that starts at the given time.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixMilli()) << refutationBits }

// Boot returns the start time of the process, in Unix milliseconds. It distinguishes
// successive processes of one instance and does not change when a process refutes a
// suspicion.
func (i Incarnation) Boot() uint64 { return uint64(i >> refutationBits) }

// Member is the state of one instance in one incarnation.
type Member struct {
	ID          ID
	Address     string // IP address and port of its control process
	Zone        bundle.Zone
	Incarnation Incarnation
	State       State
}

// IsUsable reports whether requests may be sent to the instance. That includes suspects,
// because they may still be alive.
func (m Member) IsUsable() bool { return m.State == Alive || m.State == Suspect }

// Overrides reports whether m is a newer view than old of the same instance.
func (m Member) Overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Record is a member with the time at which it was last updated.
type Record struct {
	Member
	Since time.Time
}

// Table holds the records that one instance has of all others and of itself.
type Table struct {
	records map[ID]Record
	counts  [Left + 1]int // number of records by state
	version uint64        // number of changes to the set of usable members or to the address of a member
	digest  uint64        // XOR of the hashes of all usable members
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[ID]Record)} }

// Merge records m if the instance is not known or m overrides its record. It reports
// whether it recorded m.
func (t *Table) Merge(now time.Time, m Member) bool {
	old, known := t.records[m.ID]
	if known && !m.Overrides(old.Member) {
		return false
	}
	t.records[m.ID] = Record{Member: m, Since: now}
	if known {
		t.counts[old.State]--
		t.digest ^= hashOfUsable(old.Member)
	}
	t.counts[m.State]++
	t.digest ^= hashOfUsable(m)
	if !known || old.IsUsable() != m.IsUsable() || old.Address != m.Address {
		t.version++
	}
	return true
}

// hashOfUsable returns a hash of a usable member's process. It returns zero for other members, so
// that they do not change the digest: instances remove their records at different times.
func hashOfUsable(m Member) uint64 {
	if !m.IsUsable() {
		return 0
	}
	return xxhash.Sum64String(string(m.ID) + "\x00" + strconv.FormatUint(m.Incarnation.Boot(), 10))
}

// Digest returns a hash over the usable members. It is equal at two instances that know
// the same usable members.
func (t *Table) Digest() uint64 { return t.digest }

// Get returns the record of an instance, and whether there is one.
func (t *Table) Get(id ID) (Record, bool) {
	r, ok := t.records[id]
	return r, ok
}

// Version returns a number that changes whenever the set of usable members or the
// address of a member changes.
func (t *Table) Version() uint64 { return t.version }

// Usable returns the members to which requests may be sent, sorted by ID.
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

// All returns all records, sorted by ID.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// InState returns the records in the given state, sorted by ID.
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

// RemoveExpired removes the records of dead and left members that were last updated longer
// than retention ago.
func (t *Table) RemoveExpired(now time.Time, retention time.Duration) {
	for id, r := range t.records {
		if !r.IsUsable() && now.Sub(r.Since) > retention {
			delete(t.records, id)
			t.counts[r.State]--
		}
	}
}

// Restart sets the time of the last update of an instance's record to now.
func (t *Table) Restart(now time.Time, id ID) {
	if r, ok := t.records[id]; ok {
		r.Since = now
		t.records[id] = r
	}
}
