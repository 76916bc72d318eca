package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNewerIncarnationOrHigherStateOverrides(t *testing.T) {
	for _, test := range []struct {
		name     string
		old, new Member
		want     bool
	}{
		{"suspicion of the same incarnation overrides", Member{Incarnation: 1, State: Alive}, Member{Incarnation: 1, State: Suspect}, true},
		{"late alive update of the same incarnation does not override", Member{Incarnation: 1, State: Suspect}, Member{Incarnation: 1, State: Alive}, false},
		{"refutation with a newer incarnation overrides", Member{Incarnation: 1, State: Dead}, Member{Incarnation: 2, State: Alive}, true},
		{"death of an earlier incarnation does not override", Member{Incarnation: 2, State: Alive}, Member{Incarnation: 1, State: Dead}, false},
		{"departure overrides death", Member{Incarnation: 1, State: Dead}, Member{Incarnation: 1, State: Left}, true},
		{"repeated update does not override", Member{Incarnation: 1, State: Dead}, Member{Incarnation: 1, State: Dead}, false},
	} {
		assert.Equal(t, test.new.Overrides(test.old), test.want, test.name)
	}
}

func TestOnlyExpiredRecordsOfUnusableMembersAreRemoved(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	table := NewTable()
	table.Merge(start, Member{ID: "a", State: Alive})
	table.Merge(start, Member{ID: "b", State: Dead})
	table.Merge(start.Add(time.Hour), Member{ID: "c", State: Left})
	table.RemoveExpired(start.Add(time.Hour+time.Minute), time.Hour)
	assert.Equal(t, table.Len(), 2)
	assert.Equal(t, len(table.InState(Dead)), 0)
	assert.Equal(t, len(table.Usable()), 1)
}

func TestDigestsDifferOnlyIfUsableMembersDiffer(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	a, b := NewTable(), NewTable()
	one := Member{ID: "one", Incarnation: NewIncarnation(start), State: Alive}
	two := Member{ID: "two", Incarnation: NewIncarnation(start), State: Alive}
	a.Merge(start, one)
	a.Merge(start, two)
	b.Merge(start, two)
	assert.Assert(t, a.Digest() != b.Digest())
	b.Merge(start, one)
	assert.Equal(t, a.Digest(), b.Digest())
	two.State = Suspect
	a.Merge(start, two)
	assert.Equal(t, a.Digest(), b.Digest(), "a suspect is usable and counts in the digest")
	two.State = Dead
	a.Merge(start, two)
	assert.Assert(t, a.Digest() != b.Digest())
	a.RemoveExpired(start.Add(time.Hour), time.Minute)
	b.Merge(start, two)
	assert.Equal(t, a.Digest(), b.Digest(), "dead members do not count in the digest")
}

func TestBootSurvivesRefutationAndIncreasesOnRestart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	first := NewIncarnation(start)
	assert.Equal(t, (first + 1).Boot(), first.Boot())
	assert.Assert(t, NewIncarnation(start.Add(time.Millisecond)).Boot() > first.Boot())
}
