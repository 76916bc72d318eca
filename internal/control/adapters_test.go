package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/member"
)

// Refuting a suspicion raises the incarnation of a member. A claimant that has done so
// must still hold its claims; one that has restarted must not.
func TestClaimsSurviveRefutationButNotRestart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	self := member.Member{ID: "a", Address: "127.0.0.1:1", Incarnation: member.NewIncarnation(start)}
	detector := membership.New(settings.Defaults[membership.Settings](), self, rand.New(rand.NewPCG(1, 1)))
	detector.Start(start)
	claimant := journal.Claimant{Instance: "a", Incarnation: claimMember(self).Incarnation}

	suspected := self
	suspected.State = member.Suspect
	detector.OnUpdates(start, []member.Member{suspected})
	refuted := detector.Self()
	assert.Assert(t, refuted.Incarnation > self.Incarnation)
	_, ok := claims.FindClaimant(claimant, []claims.Member{claimMember(refuted)})
	assert.Assert(t, ok, "the claimant counts as restarted")

	restarted := self
	restarted.Incarnation = member.NewIncarnation(start.Add(time.Second))
	_, ok = claims.FindClaimant(claimant, []claims.Member{claimMember(restarted)})
	assert.Assert(t, !ok, "the former process counts as alive")
}
