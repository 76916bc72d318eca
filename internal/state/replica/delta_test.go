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

func whole(c Cell) Delta { return Delta{Cell: c, Digest: c.Digest()} }

func historyOf(t *testing.T, cells ...Cell) *History {
	t.Helper()
	h := &History{}
	for _, c := range cells {
		assert.NilError(t, h.Take(whole(c)))
	}
	return h
}

func TestDeltaLeadsFromEachRememberedVersion(t *testing.T) {
	versions := []Cell{
		cellAt(10, "a", "b", "c", "d", "e"),
		cellAt(11, "a", "b", "c", "d", "e", "f"),
		cellAt(15, "a", "b", "d", "e", "f"),
		cellAt(16, "a", "b", "c", "d", "e", "f", "g"),
	}
	h := historyOf(t, versions...)
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
	assert.NilError(t, err, "a delta fits each version between its ends")
	assert.DeepEqual(t, between, last)
}

func TestUnfitDeltaIsRefused(t *testing.T) {
	known := cellAt(10, "a", "b", "c", "d")
	next := cellAt(12, "a", "b", "c", "d", "e")
	delta := historyOf(t, cellAt(11, "a", "b", "c", "d"), next).Since(11)
	damaged := whole(next)
	damaged.Cell.Replicas = damaged.Cell.Replicas[1:]
	for name, test := range map[string]struct {
		known Cell
		delta Delta
		want  error
	}{
		"same version":    {cellAt(12, "a"), delta, ErrStale},
		"older version":   {cellAt(13, "a"), delta, ErrStale},
		"older whole":     {cellAt(13, "a"), whole(next), ErrStale},
		"skipped version": {known, delta, ErrNoBase},
		"no cell":         {Cell{}, delta, ErrNoBase},
		"other holder":    {cellAt(11, "a", "x", "c", "d"), delta, ErrDigest},
		"damaged":         {known, damaged, ErrDigest},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(test.known, test.delta)
			assert.ErrorIs(t, err, test.want)
			assert.DeepEqual(t, got, test.known)
		})
	}
}

func TestHistoryGivesTheWholeCellWhereItDoesNotGoBack(t *testing.T) {
	h := historyOf(t, cellAt(10, "a", "b", "c"), cellAt(11, "a", "b", "c", "d"))
	for _, version := range []uint64{0, 9, 11, 12} {
		assert.Assert(t, h.Since(version).IsWhole(), "version %d", version)
	}
	assert.Assert(t, !h.Since(10).IsWhole())
	assert.Assert(t, historyOf(t, cellAt(1, "a", "b"), cellAt(2, "c")).Since(1).IsWhole(), "a longer delta")
}

func TestHistoryIsBounded(t *testing.T) {
	models := []string{"a"}
	for i := range 2 * maxGone {
		models = append(models, fmt.Sprint("m", i))
	}
	h := historyOf(t, cellAt(1, models...))
	for i := range 2 * maxGone {
		assert.NilError(t, h.Take(whole(cellAt(uint64(i+2), models[:len(models)-1-i]...))))
	}
	assert.Equal(t, len(h.gone), maxGone)
	assert.Equal(t, len(h.changed), 0)
	assert.Assert(t, h.Since(maxGone).IsWhole(), "before what is remembered")
}
