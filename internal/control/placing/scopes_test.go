package placing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
	"savoryweir/internal/state/roster"
)

// fakeClusterState is a ClusterState with a fixed bundle, members and roster.
type fakeClusterState struct {
	bundle  *bundle.Bundle
	members []member.Member
	roster  roster.Stored
}

func (r fakeClusterState) Bundle() *bundle.Bundle       { return r.bundle }
func (r fakeClusterState) Members() []member.Member     { return r.members }
func (r fakeClusterState) Leaving() []bundle.UpstreamID { return nil }
func (r fakeClusterState) Demand(time.Time) []Demand    { return nil }
func (r fakeClusterState) Roster(service bundle.ServiceName) (roster.Stored, bool) {
	return r.roster, r.roster.Version > 0 && service == fleetService
}

// fakePublisher is a Publisher that knows one cell.
type fakePublisher struct {
	Publisher
	cell replica.Cell
}

func (p fakePublisher) Cell(id news.CellID) (replica.Cell, bool) {
	return p.cell, id == p.cell.Head.Cell
}

func newFakeClusterState() fakeClusterState {
	scope := testScope(6, 30, func(int) bool { return true })
	r := fakeClusterState{bundle: &bundle.Bundle{Generation: 3, Upstreams: scope.Upstreams, Models: scope.Models, Adapters: scope.Adapters}}
	r.bundle.Services = []bundle.Service{{Name: fleetService, Kind: bundle.KindGeneration}, {Name: "plain"}}
	for i := range r.bundle.Upstreams {
		r.bundle.Upstreams[i].Service = fleetService
	}
	for i := range r.bundle.Models {
		r.bundle.Models[i].Service = fleetService
	}
	for i := range 3 {
		r.members = append(r.members, member.Member{ID: member.ID(fmt.Sprint("i", i))})
	}
	return r
}

// A cell, model or adapter without an owner is never placed, and one with two owners causes
// conflicting writes.
func TestEachCellAndModelIsOwnedByOneInstance(t *testing.T) {
	inputs := newFakeClusterState()
	inputs.roster = roster.Stored{Version: 9, Roster: roster.Roster{Cells: 4, Ledgers: 6}}
	cells := make(map[string]int)
	models := make(map[bundle.ModelID]int)
	adapters := 0
	for _, m := range inputs.members {
		h := NewHolder(Options{Settings: testSettings(true), Self: m.ID, Inputs: inputs})
		h.Settings.LoadsAtOnce = 9
		for _, s := range h.ownScopes(time.Now(), inputs.bundle, inputs.members) {
			cells[string(s.Name)]++
			assert.Equal(t, s.Assignment.Roster.Version, inputs.roster.Version)
			assert.Equal(t, string(s.Name), string(CellName(fleetService, s.Assignment.Index)))
			assert.Equal(t, len(s.Assignment.HomeCells), 30)
			assert.Equal(t, len(s.Upstreams), 6)
			assert.Equal(t, s.LoadLimits.ModelLoads, 2)
			for _, model := range s.Models {
				models[model.ID]++
				assert.Equal(t, s.Assignment.Index, inputs.roster.HomeCell(model.ID))
			}
			adapters += len(s.Adapters)
		}
	}
	assert.Equal(t, len(cells), 6) // includes the cells that are being emptied
	assert.Equal(t, len(models), 30)
	assert.Equal(t, adapters, 30)
	for name, n := range cells {
		assert.Equal(t, n, 1, name)
	}
}

// The assignment of a service is cached. It must be recomputed when the roster or the bundle changes.
func TestHomeCellsFollowRosterAndBundle(t *testing.T) {
	inputs := newFakeClusterState()
	h := NewHolder(Options{Settings: testSettings(true), Self: "i0", Inputs: inputs})
	one := roster.Stored{Version: 1, Roster: roster.Roster{Cells: 1, Ledgers: 1}}
	four := roster.Stored{Version: 2, Roster: roster.Roster{Cells: 4, Ledgers: 4}}
	count := func(r roster.Stored) int {
		homes := make(map[int]bool)
		for _, home := range h.assignment(inputs.bundle, fleetService, r).HomeCells {
			homes[home] = true
		}
		return len(homes)
	}
	assert.Equal(t, count(one), 1)
	assert.Equal(t, count(four), 4)
	inputs.bundle.Generation++
	inputs.bundle.Models = nil
	assert.Equal(t, count(four), 0)
}

func TestNoScopesWithoutRoster(t *testing.T) {
	inputs := newFakeClusterState()
	h := NewHolder(Options{Settings: testSettings(true), Self: "i0", Inputs: inputs})
	assert.Equal(t, len(h.ownScopes(time.Now(), inputs.bundle, inputs.members)), 0)
}

// A model counts as ready only through a ready replica without adapter that the given cell has published.
func TestIsPublishedReadyUsesPublishedReplicas(t *testing.T) {
	known := replica.Cell{Head: news.CellHead{Cell: "tagger-1"}, Replicas: []replica.Replica{
		{Model: "ready", Ready: true}, {Model: "loading"}, {Model: "other", Adapter: "a", Ready: true},
	}}
	h := NewHolder(Options{Publisher: fakePublisher{cell: known}})
	assert.Assert(t, h.isPublishedReady("tagger-1", "ready"))
	for _, id := range []bundle.ModelID{"loading", "other", "absent"} {
		assert.Assert(t, !h.isPublishedReady("tagger-1", id), "%s", id)
	}
	assert.Assert(t, !h.isPublishedReady("tagger-2", "ready"))
}
