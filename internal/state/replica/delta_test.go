package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/news"
)

func cellAt(version uint64, models ...string) Cell {
	c := Cell{Head: news.CellHead{Cell: "c", Version: version}}
	for _, m := range models {
		c.Replicas = append(c.Replicas, Replica{Upstream: "e", Model: bundle.ModelID(m), Ready: true})
	}
	Sort(c.Replicas)
	return c
}

func fullDelta(c Cell) Delta { return Delta{Cell: c, Digest: c.Digest()} }

func newHistory(t *testing.T, cells ...Cell) *History {
	t.Helper()
	h := &History{}
	for _, c := range cells {
		assert.NilError(t, h.Apply(fullDelta(c)))
	}
	return h
}

func TestDeltaFromEachRecordedVersionResultsInLatestCell(t *testing.T) {
	versions := []Cell{
		cellAt(10, "a", "b", "c", "d", "e"),
		cellAt(11, "a", "b", "c", "d", "e", "f"),
		cellAt(15, "a", "b", "d", "e", "f"),
		cellAt(16, "a", "b", "c", "d", "e", "f", "g"),
	}
	h := newHistory(t, versions...)
	last := versions[len(versions)-1]
	for _, from := range versions[:len(versions)-1] {
		d := h.Since(from.Head.Version)
		assert.Equal(t, d.Base, from.Head.Version)
		next, err := Apply(from, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, next, last)
	}
	assert.Equal(t, len(h.Since(15).Cell.Replicas), 2)
	between, err := Apply(versions[2], h.Since(10))
	assert.NilError(t, err, "a delta can be applied to each version between its base and its own")
	assert.DeepEqual(t, between, last)
}

func TestDeltaThatDoesNotMatchKnownCellIsRefused(t *testing.T) {
	known := cellAt(10, "a", "b", "c", "d")
	next := cellAt(12, "a", "b", "c", "d", "e")
	delta := newHistory(t, cellAt(11, "a", "b", "c", "d"), next).Since(11)
	incomplete := fullDelta(next)
	incomplete.Cell.Replicas = incomplete.Cell.Replicas[1:]
	for name, test := range map[string]struct {
		known Cell
		delta Delta
		want  error
	}{
		"same version":                     {cellAt(12, "a"), delta, ErrStale},
		"older version":                    {cellAt(13, "a"), delta, ErrStale},
		"older full delta":                 {cellAt(13, "a"), fullDelta(next), ErrStale},
		"skipped version":                  {known, delta, ErrMissingBase},
		"no known cell":                    {Cell{}, delta, ErrMissingBase},
		"same version with other replicas": {cellAt(11, "a", "x", "c", "d"), delta, ErrDigestMismatch},
		"full delta without one replica":   {known, incomplete, ErrDigestMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(test.known, test.delta)
			assert.ErrorIs(t, err, test.want)
			assert.DeepEqual(t, got, test.known)
		})
	}
}

func TestHistoryReturnsFullDeltaIfPartialIsUnavailableOrNoShorter(t *testing.T) {
	h := newHistory(t, cellAt(10, "a", "b", "c"), cellAt(11, "a", "b", "c", "d"))
	for _, version := range []uint64{0, 9, 11, 12} {
		assert.Assert(t, h.Since(version).IsFull(), "version %d", version)
	}
	assert.Assert(t, !h.Since(10).IsFull())
	assert.Assert(t, newHistory(t, cellAt(1, "a", "b"), cellAt(2, "c")).Since(1).IsFull(), "a partial delta would be no shorter")
}

func TestHistoryKeepsAtMostMaxRemovals(t *testing.T) {
	models := []string{"a"}
	for i := range 2 * maxRemovals {
		models = append(models, fmt.Sprint("m", i))
	}
	h := newHistory(t, cellAt(1, models...))
	for i := range 2 * maxRemovals {
		assert.NilError(t, h.Apply(fullDelta(cellAt(uint64(i+2), models[:len(models)-1-i]...))))
	}
	assert.Equal(t, len(h.removals), maxRemovals)
	assert.Equal(t, len(h.changed), 0)
	assert.Assert(t, h.Since(maxRemovals).IsFull(), "removals since the version are no longer all recorded")
}
