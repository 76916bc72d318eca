package permits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/fleet"
)

var start = time.Unix(1_000_000, 0)

// fleetOf returns the budgets of a number of instances, all of which know a limit.
func fleetOf(count int, of Incarnation, perSecond float64) (names []string, budgets map[string]*Budgets, owners map[string]*Owners) {
	budgets, owners = make(map[string]*Budgets), make(map[string]*Owners)
	for n := range count {
		name := fmt.Sprintf("i%d", n)
		names = append(names, name)
		budgets[name], owners[name] = NewBudgets(), NewOwners(name)
		budgets[name].Impose(start, of, TermRate, perSecond)
	}
	return names, budgets, owners
}

// mostWithin returns the largest number of ascending times in a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most := 0
	for n, from := range times {
		last := n
		for last < len(times) && times[last]-from < window {
			last++
		}
		most = max(most, last-n)
	}
	return most
}

// Each instance fails to reach any of the others for a while at any moment.
func TestPermitsOfOwnerAndSubstitutesKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		of := Incarnation{Upstream: fleet.UpstreamID(fmt.Sprintf("u%d", rapid.IntRange(0, 99).Draw(t, "upstream")))}
		perSecond := rapid.SampledFrom([]float64{0.5, 1, 3, 20}).Draw(t, "limit")
		names, budgets, owners := fleetOf(rapid.SampledFrom([]int{2, 8, 83, 195}).Draw(t, "instances"), of, perSecond)
		var sent []time.Duration
		now := time.Duration(0)
		for range 3000 {
			now += time.Duration(rapid.IntRange(1, 30).Draw(t, "gap")) * time.Millisecond
			name := names[rapid.IntRange(0, len(names)-1).Draw(t, "instance")]
			others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			owner := owners[name].Choose(start.Add(now), of.Upstream, others)
			if rapid.IntRange(0, 300).Draw(t, "cut") == 0 && owner != name {
				owners[name].Suspect(start.Add(now), owner)
				continue
			}
			theirs := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == owner })
			d := budgets[owner].Reserve(start.Add(now), of, owners[owner].Rank(of.Upstream, theirs), 300*time.Millisecond)
			if d.Granted {
				sent = append(sent, now+d.Wait)
			}
		}
		slices.Sort(sent)
		if most, allowed := mostWithin(sent, 4*time.Second), 1.5*perSecond*4+5; float64(most) > allowed {
			t.Fatalf("%d requests in 4 s at a limit of %g; want at most %g", most, perSecond, allowed)
		}
	})
}

// A fixed part for each instance would let the instance that has the callers send once in N seconds.
func TestInstanceWithAllDemandGetsMostPermits(t *testing.T) {
	for _, count := range []int{8, 83, 195} {
		of := Incarnation{Upstream: "u1"}
		names, budgets, owners := fleetOf(count, of, 1)
		granted := 0
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			owner := owners[names[3]].Choose(start.Add(at), of.Upstream, slices.Concat(names[:3], names[4:]))
			if budgets[owner].Reserve(start.Add(at), of, 0, 0).Granted {
				granted++
			}
		}
		assert.Assert(t, granted >= 42 && granted <= 60, "%d of 60 permits at %d instances", granted, count)
	}
}

// Responses may overtake each other, so that an old one without a limit must not end a limit.
func TestLimitEndsOnlyByResponseToLaterRequest(t *testing.T) {
	of := Incarnation{Upstream: "u1"}
	b := NewBudgets()
	b.Impose(start, of, TermRate, 2)
	assert.Equal(t, b.Lift(start.Add(time.Second), of, TermRate, start.Add(-time.Millisecond)), 0.0)
	assert.Equal(t, b.Lift(start.Add(time.Second), of, TermRate, start.Add(time.Millisecond)), 2.0)
	_, changed := b.Impose(start.Add(500*time.Millisecond), of, TermRate, 2) // what another instance knew before
	assert.Assert(t, !changed)
	assert.Assert(t, b.Reserve(start.Add(time.Second), of, 0, 0).Granted)
}

// A higher limit takes effect at once, although the next permit was due late by the lower one.
func TestHigherLimitShortensWait(t *testing.T) {
	of := Incarnation{Upstream: "u1"}
	b := NewBudgets()
	b.Impose(start, of, TermRate, 0.1)
	for b.Reserve(start, of, 0, 0).Granted {
	}
	b.Impose(start, of, TermRate, 10)
	d := b.Reserve(start, of, 0, 0)
	assert.Assert(t, !d.Granted && d.Wait <= 200*time.Millisecond, "%+v", d)
}

// A brittle upstream falls over if it has to reject more than it names, whichever instances send.
func TestBrittleUpstreamRejectsNoMoreThanItEndures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		of := Incarnation{Upstream: "u1"}
		endured := rapid.IntRange(1, 20).Draw(t, "endured")
		b := NewBudgets()
		b.Impose(start, of, TermRejections, float64(endured))
		var rejected []time.Duration
		type report struct{ at time.Duration }
		var reports []report
		isFull := false
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			for len(reports) > 0 && reports[0].at <= now {
				b.RecordRejected(start.Add(reports[0].at), of)
				reports = reports[1:]
			}
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				isFull = !isFull
			}
			if b.Reserve(start.Add(now), of, 0, 0).Granted && isFull {
				rejected = append(rejected, now)
				reports = append(reports, report{now + 30*time.Millisecond})
			}
		}
		if most := mostWithin(rejected, time.Second); most > endured {
			t.Fatalf("%d requests were rejected in a second, %d endured", most, endured)
		}
	})
}

// An upstream with room gets what it can take, although it is brittle.
func TestBrittleUpstreamWithRoomIsUsed(t *testing.T) {
	of := Incarnation{Upstream: "u1"}
	b := NewBudgets()
	b.Impose(start, of, TermRejections, 4)
	granted := 0
	for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
		if b.Reserve(start.Add(at), of, 0, 0).Granted {
			granted++
		}
	}
	assert.Assert(t, granted >= 200, "%d of 500 requests in 10 s", granted)
}
