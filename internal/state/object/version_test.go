package object

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newVersion(t *testing.T, era Era, revision uint64) Version {
	t.Helper()
	v, err := NewVersion(era, RevisionOf(revision))
	assert.NilError(t, err)
	return v
}

func TestVersionsAreOrderedByEraThenRevision(t *testing.T) {
	assert.Assert(t, newVersion(t, 2, 5) > newVersion(t, 1, 900), "a later era is newer whatever its revision")
	assert.Assert(t, newVersion(t, 2, 6) > newVersion(t, 2, 5))
	assert.Equal(t, newVersion(t, 2, 6).ChangesSince(newVersion(t, 2, 2)), uint64(4))
	assert.Equal(t, newVersion(t, 2, 6).ChangesSince(newVersion(t, 1, 2)), uint64(math.MaxUint64))
	assert.Equal(t, newVersion(t, 1, 2).ChangesSince(newVersion(t, 2, 1)), uint64(0))
}

func TestVersionKeepsEraAndRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := Era(rapid.Uint32Range(0, maxEra).Draw(t, "era")), rapid.Uint64Range(1, maxRevision).Draw(t, "revision")
		v, err := NewVersion(era, RevisionOf(revision))
		if err != nil || v.Era() != era || v.Revision().Number() != revision {
			t.Fatalf("era %d, revision %d came back as %v, error %v", era, revision, v, err)
		}
	})
}

func TestVersionRejectsValuesOutOfRange(t *testing.T) {
	_, err := NewVersion(maxEra+1, RevisionOf(1))
	assert.ErrorIs(t, err, ErrVersionRange)
	_, err = NewVersion(1, RevisionOf(maxRevision+1))
	assert.ErrorIs(t, err, ErrVersionRange)
	assert.Equal(t, newVersion(t, 7, 0), Version(0), "revision zero means that the object does not exist, in any era")
}

func TestVersionString(t *testing.T) {
	assert.Equal(t, newVersion(t, 0, 12).String(), "12")
	assert.Equal(t, newVersion(t, 3, 12).String(), "3.12")
}
