package rosters

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/rosterplan"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/roster"
)

const service bundle.ServiceName = "tagger"

// fixedClusterState is a ClusterState with a fixed bundle and fixed members.
type fixedClusterState struct {
	bundle  *bundle.Bundle
	members []member.Member
}

func (f fixedClusterState) Bundle() *bundle.Bundle   { return f.bundle }
func (f fixedClusterState) Members() []member.Member { return f.members }

func upstreams(n int) []bundle.Upstream {
	var list []bundle.Upstream
	for i := range n {
		list = append(list, bundle.Upstream{ID: bundle.UpstreamID(fmt.Sprintf("e%03d", i)), Service: service, Zone: bundle.Zone(fmt.Sprint(i % 6))})
	}
	return list
}

// All instances learn the roster that one of them has planned. After that, while nothing changes,
// they neither write nor list objects and only renew their watch calls.
func TestAllInstancesLearnTheRosterAndIdleOnesOnlyWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.New(time.Now, objectapi.Limits{})
		inputs := fixedClusterState{bundle: &bundle.Bundle{Upstreams: upstreams(40)}}
		inputs.bundle.Services = []bundle.Service{{Name: service, Kind: bundle.KindGeneration}}
		for i := range 9 {
			inputs.members = append(inputs.members, member.Member{ID: member.ID(fmt.Sprint("i", i))})
		}
		ctx, stop := context.WithCancel(context.Background())
		var controllers []*Controller
		for i, m := range inputs.members {
			k := New(Options{
				Settings: rosterplan.Settings{CellSize: 18}, Self: m.ID, Store: store, Inputs: inputs,
				Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(uint64(i), 1)),
			})
			controllers = append(controllers, k)
			go func() { _ = k.Run(ctx) }()
		}
		time.Sleep(3 * planInterval)
		for _, k := range controllers {
			r, ok := k.Roster(service)
			assert.Assert(t, ok)
			assert.Equal(t, len(r.Entries), 40)
			assert.Equal(t, r.Cells, 2)
		}
		before := store.Counts()
		time.Sleep(5 * time.Minute)
		after := store.Counts()
		assert.Equal(t, after.Writes(), before.Writes())
		assert.Equal(t, after.Lists, before.Lists)
		assert.Assert(t, after.Watches-before.Watches <= 11*9, "%d", after.Watches-before.Watches)
		stop()
		synctest.Wait()
	})
}

// A service may have ledgers but no roster. A first roster that contradicts the ledgers would
// assign engines to cells that don't have them.
func TestFirstRosterFollowsExistingLedgers(t *testing.T) {
	store := objectapi.New(time.Now, objectapi.Limits{})
	ctx := context.Background()
	engines := upstreams(6)
	for index := range 2 {
		l := &ledger.Ledger{}
		for i := index; i < 4; i += 2 {
			l.SetEngine(engines[i].ID, 100, ledger.DeliveryFenced)
		}
		if index == 0 {
			l.StartHandover(engines[2].ID, ledgerfile.Name(service, 1), 3, 1)
		}
		data, err := ledgerfile.Encode(l)
		assert.NilError(t, err)
		_, err = store.Create(ctx, ledgerfile.Kind, ledgerfile.Name(service, index), data)
		assert.NilError(t, err)
	}
	r, written, err := NewPlanner(store, rosterplan.Settings{CellSize: 3}).Plan(ctx, service, engines, roster.Stored{})
	assert.NilError(t, err)
	assert.Assert(t, written)
	assert.Equal(t, r.Cells, 2)
	for i, want := range []roster.Entry{
		{Engine: "e000", Cell: 0, From: roster.NoCell}, {Engine: "e001", Cell: 1, From: roster.NoCell},
		{Engine: "e002", Cell: 1, From: 0, Move: 3}, {Engine: "e003", Cell: 1, From: roster.NoCell},
	} {
		got, _ := r.Entry(engines[i].ID)
		assert.Equal(t, got, want)
	}
}

// A planner that knows only an old roster must not replace the newer one.
func TestPlannerWithStaleRosterFailsWithConflict(t *testing.T) {
	store := objectapi.New(time.Now, objectapi.Limits{})
	p := NewPlanner(store, rosterplan.Settings{CellSize: 3})
	first, _, err := p.Plan(context.Background(), service, upstreams(3), roster.Stored{})
	assert.NilError(t, err)
	_, written, err := p.Plan(context.Background(), service, upstreams(4), first)
	assert.NilError(t, err)
	assert.Assert(t, written)
	_, written, err = p.Plan(context.Background(), service, upstreams(5), first)
	assert.ErrorContains(t, err, "conflict")
	assert.Assert(t, !written)
}
