package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/settings"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
)

var neighbours = []member.Member{{ID: "a"}, {ID: "b"}}

func head(cell news.CellID, version uint64) []news.CellHead {
	return []news.CellHead{{Cell: cell, Version: version}}
}

func TestChangesWithinTheIntervalGoInOneMessage(t *testing.T) {
	s := settings.Defaults[Settings]()
	teller := NewCellNotifier(s)
	teller.OnUpdated(head("c1", 1))
	assert.Equal(t, len(teller.Next(start, neighbours)), 2, "the first change goes at once")
	for version := range uint64(5) {
		teller.OnUpdated(head("c1", version+2))
		teller.OnUpdated(head("c2", version+2))
		assert.Equal(t, len(teller.Next(start.Add(s.CellInterval-1), neighbours)), 0)
	}
	tells := teller.Next(start.Add(s.CellInterval), neighbours)
	assert.Equal(t, len(tells), 2)
	assert.DeepEqual(t, tells[0].Heads, append(head("c1", 6), head("c2", 6)...))
	assert.Equal(t, len(teller.Next(start.Add(10*s.CellInterval), neighbours)), 0, "told once")
}

func TestNeighbourIsNotToldWhatItTold(t *testing.T) {
	teller := NewCellNotifier(settings.Defaults[Settings]())
	teller.OnReceived("a", head("c1", 3))
	teller.OnReceived("a", head("c2", 1))
	teller.OnUpdated(append(head("c1", 3), head("c2", 2)...))
	tells := teller.Next(start, neighbours)
	assert.DeepEqual(t, tells[0].Heads, head("c2", 2))
	assert.DeepEqual(t, tells[1].Heads, append(head("c1", 3), head("c2", 2)...))
}

func TestPeerIsAskedWhenItsDigestDiffersForLong(t *testing.T) {
	var c AntiEntropy
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for n := range 11 {
		assert.Assert(t, !c.OnDigest(second(n), "a", false), "second %d", n)
		c.OnDigest(second(n), "b", true) // b misses the same news
	}
	assert.Assert(t, c.OnDigest(second(11), "a", false))
	for n := 12; n <= 41; n++ {
		assert.Assert(t, !c.OnDigest(second(n), "a", false), "second %d", n)
	}
	assert.Assert(t, c.OnDigest(second(42), "a", false))
	assert.Assert(t, !c.OnDigest(second(80), "a", true))
	assert.Assert(t, !c.OnDigest(second(81), "a", false))
}
