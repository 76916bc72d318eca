package policy

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/routing"
)

func TestSameSeedGivesTheSameBytes(t *testing.T) {
	s := WithFault(Kalyvas(7), FaultFlapping)
	s.Duration = 100 * time.Second
	write := func() []byte {
		var out bytes.Buffer
		results := Bench{s, []Policy{Keyed(), Naive()}}.RunAll(2)
		assert.NilError(t, WriteTable(&out, s.Name, results))
		assert.NilError(t, WritePlot(&out, s, results))
		return out.Bytes()
	}
	assert.Assert(t, bytes.Equal(write(), write()))
}

func TestOtherSeedGivesOtherDemand(t *testing.T) {
	first, second := Kalyvas(1), Kalyvas(2)
	assert.Assert(t, newDemand(&first, 0).next(0).tokens != newDemand(&second, 0).next(0).tokens ||
		newDemand(&first, 0).gap() != newDemand(&second, 0).gap())
}

// The generated work is the stated share of the capacity.
func TestDemandHasTheStatedLoad(t *testing.T) {
	s := Kalyvas(1)
	d := newDemand(&s, 0)
	const requests = 50000
	var work float64
	var span time.Duration
	for range requests {
		span += d.gap()
		work += d.next(0).tokens + d.spec.PrefillHit
	}
	load := work / span.Seconds() / (float64(d.spec.Engines) * d.spec.capacity())
	assert.Assert(t, load > 0.83 && load < 0.87, "load %.3f", load)
}

// A batch slows down each of its requests but does more work in all.
func TestEngineSlowsDownWithItsBatch(t *testing.T) {
	spec := Kalyvas(1).Services[0]
	assert.Equal(t, spec.step(32), 76*time.Millisecond)
	assert.Assert(t, 32/spec.step(32).Seconds() > 8/spec.step(8).Seconds())
}

func TestPrefixCacheForgetsTheOldest(t *testing.T) {
	var c prefixCache
	for _, prefix := range []uint64{1, 2, 1, 3} {
		c.touch(prefix, 2)
	}
	assert.Assert(t, c.touch(1, 2))
	assert.Assert(t, !c.touch(2, 2))
}

func TestAttainmentCountsEachEnd(t *testing.T) {
	c := ClassResult{Service: "tagger", Class: routing.ClassNow, Ended: [outcomeCount]int{6, 1, 1, 1, 1}}
	assert.Equal(t, c.Attainment(), 0.6)
}
