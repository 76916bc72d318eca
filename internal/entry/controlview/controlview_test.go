package controlview

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// encodeView returns the message of a whole view with one upstream and one model.
func encodeView(t *testing.T, generation bundle.Generation, version string, cells ...replica.Cell) *pb.View {
	t.Helper()
	encoded, err := bundlefile.Encode(&bundle.Bundle{
		Deployment: "test",
		Zones:      []bundle.Zone{"z1"},
		Services:   []bundle.Service{{Name: "tagger", Kind: bundle.KindGeneration, Deadline: time.Second}},
		Upstreams:  []bundle.Upstream{{ID: "e1", Service: "tagger", Address: "127.0.0.1:1", Zone: "z1", Memory: 10, Accelerators: 1}},
		Models:     []bundle.Model{{ID: "m1", Service: "tagger", Version: version, Memory: 1, MinReplicas: 1}},
	})
	assert.NilError(t, err)
	v := &pb.View{
		Generation:   uint64(generation),
		ManifestHash: encoded.Manifest.Hash[:],
		Sections:     bundlefile.SectionsToWire(append(encoded.Sections, encoded.Manifest)),
	}
	for _, c := range cells {
		v.Cells = append(v.Cells, peercodec.EncodeDelta(replica.Delta{Cell: c, Digest: c.Digest()}))
	}
	return v
}

// cellWithReplica returns a cell whose model is ready on the given upstream.
func cellWithReplica(version uint64, upstream bundle.UpstreamID) replica.Cell {
	return replica.Cell{
		Head:     news.CellHead{Cell: "tagger-0", Version: version},
		Replicas: []replica.Replica{{Upstream: upstream, Model: "m1", Ready: true}},
	}
}

func newSource() *Source { return New(Options{Clock: hlc.New(time.Now), Log: zerolog.Nop()}) }

// A restarted control process sends an older view, or an empty one, until it has caught up.
func TestOlderViewDoesNotReplaceNewerView(t *testing.T) {
	s := newSource()
	assert.Assert(t, s.View() == nil)
	assert.NilError(t, s.apply(encodeView(t, 5, "new", cellWithReplica(7, "e1"))))
	for name, stale := range map[string]*pb.View{
		"older generation and cell": encodeView(t, 4, "old", cellWithReplica(6, "e2")),
		"restarted control process": {},
	} {
		assert.NilError(t, s.apply(stale), name)
		view := s.View()
		assert.Equal(t, view.Bundle.Generation, bundle.Generation(5), name)
		assert.Equal(t, view.Bundle.Models[0].Version, "new", name)
		assert.Assert(t, view.Serves("e1", "m1", ""), name)
		assert.Assert(t, !view.Serves("e2", "m1", ""), name)
	}
}

func TestNewerCellReplacesOlderCell(t *testing.T) {
	s := newSource()
	assert.NilError(t, s.apply(encodeView(t, 5, "1", cellWithReplica(7, "e1"))))
	assert.NilError(t, s.apply(encodeView(t, 5, "1", cellWithReplica(8, "e2"))))
	assert.Assert(t, s.View().Serves("e2", "m1", ""))
	assert.Assert(t, !s.View().Serves("e1", "m1", ""))
}

// A message whose manifest names a section that it lacks must not replace the bundle in use.
func TestIncompleteBundleIsRejectedAndLastViewKept(t *testing.T) {
	s := newSource()
	assert.NilError(t, s.apply(encodeView(t, 5, "1")))
	damaged := encodeView(t, 6, "2")
	damaged.Sections = damaged.Sections[:len(damaged.Sections)-1]
	assert.Assert(t, s.apply(damaged) != nil)
	assert.Equal(t, s.View().Bundle.Generation, bundle.Generation(5))
}

// A delta that is based on a version the entry does not have returns an error, which ends the
// stream. A whole cell, as the next stream brings it, is applied.
func TestCellDeltaWithoutItsBaseIsRejectedAndLastViewKept(t *testing.T) {
	s := newSource()
	assert.NilError(t, s.apply(encodeView(t, 5, "1", cellWithReplica(7, "e1"))))
	history := &replica.History{}
	for _, c := range []replica.Cell{cellWithReplica(8, "e2"), cellWithTwoReplicas(9)} {
		assert.NilError(t, history.Apply(replica.Delta{Cell: c, Digest: c.Digest()}))
	}
	delta := &pb.View{Cells: []*pb.CellReplicas{peercodec.EncodeDelta(history.Since(8))}}
	assert.Equal(t, delta.GetCells()[0].GetBaseVersion(), uint64(8))
	assert.ErrorIs(t, s.apply(delta), replica.ErrMissingBase)
	assert.Assert(t, s.View().Serves("e1", "m1", ""), "the last view stays in use")
	assert.NilError(t, s.apply(&pb.View{Cells: []*pb.CellReplicas{peercodec.EncodeDelta(history.Since(0))}}))
	assert.Assert(t, s.View().Serves("e2", "m1", ""))
	assert.NilError(t, s.apply(delta), "a delta to a version that is already applied")
}

func TestCellDeltaIsApplied(t *testing.T) {
	s := newSource()
	assert.NilError(t, s.apply(encodeView(t, 5, "1", cellWithReplica(8, "e2"))))
	history := &replica.History{}
	for _, c := range []replica.Cell{cellWithReplica(8, "e2"), cellWithTwoReplicas(9)} {
		assert.NilError(t, history.Apply(replica.Delta{Cell: c, Digest: c.Digest()}))
	}
	assert.NilError(t, s.apply(&pb.View{Cells: []*pb.CellReplicas{peercodec.EncodeDelta(history.Since(8))}}))
	assert.Assert(t, s.View().Serves("e1", "m1", "") && s.View().Serves("e2", "m1", ""))
}

// cellWithTwoReplicas returns a cell whose model is ready on upstreams e1 and e2.
func cellWithTwoReplicas(version uint64) replica.Cell {
	c := cellWithReplica(version, "e1")
	c.Replicas = append(c.Replicas, cellWithReplica(version, "e2").Replicas...)
	return c
}
