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

func cellHeads(cell news.CellID, version uint64) []news.CellHead {
	return []news.CellHead{{Cell: cell, Version: version}}
}

func TestChangesWithinTheIntervalAreSentInOneMessage(t *testing.T) {
	s := settings.Defaults[Settings]()
	notifier := NewCellNotifier(s)
	notifier.OnUpdated(cellHeads("c1", 1))
	assert.Equal(t, len(notifier.Next(start, neighbours)), 2, "the first change is sent immediately")
	for version := range uint64(5) {
		notifier.OnUpdated(cellHeads("c1", version+2))
		notifier.OnUpdated(cellHeads("c2", version+2))
		assert.Equal(t, len(notifier.Next(start.Add(s.CellInterval-1), neighbours)), 0)
	}
	notifications := notifier.Next(start.Add(s.CellInterval), neighbours)
	assert.Equal(t, len(notifications), 2)
	assert.DeepEqual(t, notifications[0].Heads, append(cellHeads("c1", 6), cellHeads("c2", 6)...))
	assert.Equal(t, len(notifier.Next(start.Add(10*s.CellInterval), neighbours)), 0, "each change is sent once")
}

func TestNeighbourIsNotNotifiedOfHeadsThatItSent(t *testing.T) {
	notifier := NewCellNotifier(settings.Defaults[Settings]())
	notifier.OnReceived("a", cellHeads("c1", 3))
	notifier.OnReceived("a", cellHeads("c2", 1))
	notifier.OnUpdated(append(cellHeads("c1", 3), cellHeads("c2", 2)...))
	notifications := notifier.Next(start, neighbours)
	assert.DeepEqual(t, notifications[0].Heads, cellHeads("c2", 2))
	assert.DeepEqual(t, notifications[1].Heads, append(cellHeads("c1", 3), cellHeads("c2", 2)...))
}

func TestPeerIsAskedAfterItsDigestDiffersForTheMinimumTime(t *testing.T) {
	var a AntiEntropy
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for n := range 11 {
		assert.Assert(t, !a.OnDigest(second(n), "a", false), "second %d", n)
		a.OnDigest(second(n), "b", true) // b misses the same update
	}
	assert.Assert(t, a.OnDigest(second(11), "a", false))
	for n := 12; n <= 41; n++ {
		assert.Assert(t, !a.OnDigest(second(n), "a", false), "second %d", n)
	}
	assert.Assert(t, a.OnDigest(second(42), "a", false))
	assert.Assert(t, !a.OnDigest(second(80), "a", true))
	assert.Assert(t, !a.OnDigest(second(81), "a", false))
}
