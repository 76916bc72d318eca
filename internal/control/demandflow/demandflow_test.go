package demandflow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/control/placing"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/member"
)

// fakeNetwork connects aggregators and knows the owner of each model. It implements OwnerLookup
// and Sender.
type fakeNetwork struct {
	owners map[bundle.ModelID]member.ID
	flows  map[member.ID]*Aggregator
}

func (n fakeNetwork) Owner(id bundle.ModelID) (member.Member, bool) {
	owner, ok := n.owners[id]
	return member.Member{ID: owner}, ok
}

func (n fakeNetwork) SendDemand(_ context.Context, to member.Member, report demand.Report) error {
	n.flows[to.ID].OnDemand(report)
	return nil
}

// The owner of a model sums up the demand that all instances report, without models that have no
// owner. Reports that are not renewed expire, so that old demand keeps no replicas.
func TestDemandReachesOwnerAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{Interval: 5 * time.Second}
		n := fakeNetwork{owners: map[bundle.ModelID]member.ID{"m1": "a", "m2": "b"}, flows: make(map[member.ID]*Aggregator)}
		ctx, cancel := context.WithCancel(t.Context())
		for _, id := range []member.ID{"a", "b"} {
			n.flows[id] = New(settings, id, zerolog.Nop())
		}
		for _, aggregator := range n.flows {
			go func() { _ = aggregator.Run(ctx, n, n) }()
		}
		synctest.Wait()
		for _, id := range []member.ID{"a", "b"} {
			n.flows[id].AddLocal(demand.Report{Models: []demand.Model{{Model: "m1", Requests: 10, Tokens: 500}, {Model: "gone", Requests: 1}}})
			n.flows[id].AddLocal(demand.Report{Models: []demand.Model{{Model: "m1", Requests: 5}, {Model: "m2", Requests: 20}}})
		}
		time.Sleep(6 * time.Second)
		assert.DeepEqual(t, n.flows["a"].Demand(time.Now()),
			[]placing.Demand{{Model: "m1", RequestsPerSecond: 6, TokensPerSecond: 200}})
		assert.DeepEqual(t, n.flows["b"].Demand(time.Now()), []placing.Demand{{Model: "m2", RequestsPerSecond: 8}})
		time.Sleep(staleAfterIntervals * settings.Interval)
		assert.Equal(t, len(n.flows["a"].Demand(time.Now())), 0)
		cancel()
		synctest.Wait()
	})
}
