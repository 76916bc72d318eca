package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/settings"
	"savoryweir/internal/state/member"
)

var start = time.Unix(1_800_000_000, 0)

func members(count int) []member.Member {
	var all []member.Member
	for i := range count {
		all = append(all, member.Member{ID: member.ID(fmt.Sprintf("i%03d", i)), Address: fmt.Sprint(i), Incarnation: 1, State: member.Alive})
	}
	return all
}

func newDetector(all []member.Member) *Detector {
	d := New(settings.Defaults[Settings](), all[0], rand.New(rand.NewPCG(1, 2)))
	d.Start(start)
	d.OnTable(start, all[1:])
	return d
}

func TestEachMemberIsProbedByABoundedNumberOfOthers(t *testing.T) {
	for _, count := range []int{1, 2, 5, 40, 320} {
		const fanout = 4
		all := members(count)
		probedBy := make(map[member.ID]int)
		for _, m := range all {
			chosen := neighbours(m.ID, all, fanout)
			assert.Equal(t, len(chosen), min(fanout, count-1))
			for _, n := range chosen {
				assert.Assert(t, n.ID != m.ID)
				probedBy[n.ID]++
			}
		}
		for id, n := range probedBy {
			assert.Assert(t, n >= 1 && n <= 3*fanout, "%s of %d is probed by %d", id, count, n)
		}
		if count > 1 {
			assert.Equal(t, len(probedBy), count, "each member is probed by at least one other")
		}
	}
}

func TestUnresponsiveNeighbourBecomesSuspectThenDead(t *testing.T) {
	d := newDetector(members(6))
	unresponsive := neighbours("i000", members(6), 4)[0].ID
	states := make(map[member.State]bool)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, a := range d.Tick(now) {
			switch {
			case a.Kind == ActionIndirectProbe:
				d.OnNack(a.Target.ID)
			case a.Target.ID != unresponsive:
				d.OnAck(now, a.Target.ID)
			}
		}
		known, _ := d.Table().Get(unresponsive)
		states[known.State] = true
	}
	assert.DeepEqual(t, states, map[member.State]bool{member.Alive: true, member.Suspect: true, member.Dead: true})
	for _, r := range d.Table().All() {
		assert.Assert(t, r.ID == unresponsive || r.State == member.Alive, "%s is %s", r.ID, r.State)
	}
}

func TestProcessThatWasPausedSuspectsNoMember(t *testing.T) {
	d := newDetector(members(6))
	now := start.Add(time.Second)
	d.Tick(now) // a probe is pending
	d.Tick(now.Add(time.Minute))
	assert.Equal(t, len(d.Table().InState(member.Suspect)), 0)
}

func TestTableOfAPeerIsNotDisseminated(t *testing.T) {
	d := newDetector(members(40))
	assert.Equal(t, len(d.Table().All()), 40)
	assert.Equal(t, len(d.Piggyback("i001")), 1, "only the instance itself")
	d.OnUpdates(start, []member.Member{{ID: "new", Address: "n", Incarnation: 1, State: member.Alive}})
	assert.Equal(t, len(d.Piggyback("i001")), 2)
}
