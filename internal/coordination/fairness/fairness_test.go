package fairness

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_800_000_000, 0)

func equal(string) float64 { return 1 }

// TestMaxMinProperties checks that shares use the whole capacity that is asked for, give nobody more
// than it asks for, and give a party that doesn't get all no less for its weight than any other.
func TestMaxMinProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands, asked := make(map[int]Demand), 0.0
		for i := range rapid.IntRange(1, 20).Draw(t, "parties") {
			d := Demand{Work: rapid.Float64Range(0, 1e6).Draw(t, "work"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			demands[i] = d
			asked += d.Work
		}
		capacity := rapid.Float64Range(0, 1e7).Draw(t, "capacity")
		shares, given := MaxMin(capacity, demands), 0.0
		for i, share := range shares {
			given += share
			assert.Assert(t, share <= demands[i].Work+1e-6)
			if share < demands[i].Work-1e-6 {
				for j, other := range shares {
					assert.Assert(t, share/demands[i].Weight >= other/demands[j].Weight-1e-6)
				}
			}
		}
		assert.Assert(t, math.Abs(given-min(capacity, asked)) <= 1e-6*max(asked, 1), "%v of %v given", given, min(capacity, asked))
	})
}

// TestNothingIsRefusedWhileThereIsRoom checks that without refusals for want of room no request is refused for
// fairness, however uneven the work of the customers is.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(equal), begin
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			r := Request{Service: "s", Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), Kind: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "kind"), Tokens: rapid.Float64Range(1, 1e5).Draw(t, "tokens")}
			assert.Equal(t, l.View(now).RefusalShare(r), 0.0)
			l.RecordAdmitted(now, r)
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
		}
	})
}

// fleet is instances that share a capacity and exchange what they have admitted and refused.
type fleet struct {
	ledgers []*Ledger
	views   []*View
	thinned []*Thinner
	cut     int     // the first instances, which hear of no others
	room    float64 // tokens that are free now
	random  *rand.Rand
}

const (
	tick       = 10 * time.Millisecond
	reportTime = 500 * time.Millisecond
	playTime   = 20 * time.Second
	settledAt  = 5 * time.Second
)

// load is the requests of one customer and kind.
type load struct {
	customer, kind string
	perSecond      float64
	tokens         float64
	// late is the share of the requests that admission refuses first: for them the room is smaller.
	late float64
}

// outcome counts the tokens of a load after settledAt.
type outcome struct{ asked, served, refusedForFairness float64 }

func (o outcome) ratio() float64 { return o.served / max(o.asked, 1) }

// play sends loads to a fleet with a capacity in tokens per second and returns the outcome by load.
func play(instances, cut int, capacity float64, loads []load, isFair bool) []outcome {
	f := &fleet{cut: cut, random: rand.New(rand.NewPCG(1, 2))}
	for range instances {
		l := NewLedger(equal)
		f.ledgers, f.views, f.thinned = append(f.ledgers, l), append(f.views, l.View(begin)), append(f.thinned, NewThinner())
	}
	outcomes, due := make([]outcome, len(loads)), make([]float64, len(loads))
	for at := time.Duration(0); at < playTime; at += tick {
		now := begin.Add(at)
		f.room = min(f.room+capacity*tick.Seconds(), capacity/4)
		if at%reportTime == 0 {
			f.exchange(now)
		}
		for _, i := range f.random.Perm(len(loads)) {
			for due[i] += loads[i].perSecond * tick.Seconds(); due[i] >= 1; due[i]-- {
				o := f.serve(now, loads[i], capacity, isFair)
				if at >= settledAt {
					outcomes[i] = outcome{outcomes[i].asked + o.asked, outcomes[i].served + o.served, outcomes[i].refusedForFairness + o.refusedForFairness}
				}
			}
		}
	}
	return outcomes
}

func (f *fleet) serve(now time.Time, l load, capacity float64, isFair bool) outcome {
	i := f.random.IntN(len(f.ledgers))
	r := Request{Service: "s", Customer: l.customer, Kind: l.kind, Tokens: l.tokens}
	o := outcome{asked: l.tokens}
	switch {
	case isFair && f.thinned[i].Refuses(r, f.views[i].RefusalShare(r)):
		f.ledgers[i].RecordRefused(now, r, true)
		o.refusedForFairness = l.tokens
	case f.room < l.tokens+l.late*capacity/4:
		f.ledgers[i].RecordRefused(now, r, false)
	default:
		f.room -= l.tokens
		f.ledgers[i].RecordAdmitted(now, r)
		o.served = l.tokens
	}
	return o
}

// exchange gives each instance that is not cut off the sum of the others.
func (f *fleet) exchange(now time.Time) {
	a := NewAggregate(time.Minute)
	for i, l := range f.ledgers[f.cut:] {
		a.SetMember(now, fmt.Sprint(i), l.Local(now))
	}
	sum := a.Sum(now)
	for i, l := range f.ledgers[f.cut:] {
		l.ReplaceRemote(now, a.WithoutMember(sum, fmt.Sprint(i)))
	}
	for i, l := range f.ledgers {
		f.views[i] = l.View(now)
	}
}

// TestHotCustomerLeavesOthersTheirShare plays 16 customers of which one sends five times its usual to a
// fleet that has room for the usual of all, with and without a third of the instances cut off from the others.
// The others must be served as if it were not there, and it must get no less than its usual.
func TestHotCustomerLeavesOthersTheirShare(t *testing.T) {
	const usual = 40.0 // requests per second
	var loads []load
	for i := range 16 {
		loads = append(loads, load{customer: fmt.Sprint(i), kind: "k", perSecond: usual, tokens: 100})
	}
	loads[0].perSecond = 5 * usual
	for _, cut := range []int{0, 29} {
		fair, former := play(86, cut, 16*usual*100, loads, true), play(86, cut, 16*usual*100, loads, false)
		worst, formerWorst := 1.0, 1.0
		for i := 1; i < len(loads); i++ {
			worst, formerWorst = min(worst, fair[i].ratio()), min(formerWorst, former[i].ratio())
		}
		t.Logf("%d of 86 cut off: the least served customer gets %.2f of its demand, the hot one %.2f of its usual; without fairness %.2f, %.2f", cut, worst, 5*fair[0].ratio(), formerWorst, 5*former[0].ratio())
		assert.Assert(t, worst >= 0.9)
		assert.Assert(t, 5*fair[0].ratio() >= 0.9)
		assert.Assert(t, total(fair) >= 0.95*total(former), "room is left unused")
	}
}

func total(outcomes []outcome) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += o.served
	}
	return sum
}

// TestKindIsNotStarved plays bursts of two kinds of requests at once, of which admission refuses one first,
// as it does those with long prompts and a short target.
func TestKindIsNotStarved(t *testing.T) {
	loads := []load{{customer: "a", kind: "short", perSecond: 245, tokens: 100}, {customer: "a", kind: "long", perSecond: 20, tokens: 1000, late: 0.5}}
	former, fair := play(8, 0, 25000, loads, false), play(8, 0, 25000, loads, true)
	t.Logf("served of the short kind %.2f and the long one %.2f; without fairness %.2f, %.2f", fair[0].ratio(), fair[1].ratio(), former[0].ratio(), former[1].ratio())
	assert.Assert(t, fair[1].ratio() >= (fair[0].ratio()+fair[1].ratio())/2/4)
	assert.Assert(t, fair[1].ratio() >= former[1].ratio())
}

// TestShareOfCustomers checks for any demands that no customer gets less than its max-min share of the
// room by more than a tenth, and that fairness leaves no room unused. The seeds are fixed, so that each run
// gives the same verdict; -rapid.seed plays another one.
func TestShareOfCustomers(t *testing.T) {
	seeds := []string{"1", "2", "3"}
	if given := flag.Lookup(rapidSeed).Value.String(); given != "0" {
		seeds = []string{given}
	}
	checkShares(t, seeds...)
}

// TestShareOfCustomersOnSeedsThatFail plays the seeds that have failed. See KNOWN-RED.txt.
func TestShareOfCustomersOnSeedsThatFail(t *testing.T) {
	setFlag(t, "rapid.shrinktime", "0s")
	checkShares(t, "42", "65", "90", "11996406533445218932", "9597743025462696641")
}

const rapidSeed = "rapid.seed"

// checkShares checks the shares of customers for the demands that each of some seeds draws.
func checkShares(t *testing.T, seeds ...string) {
	setFlag(t, "rapid.nofailfile", "true") // the seed is known
	for _, seed := range seeds {
		t.Run(seed, func(t *testing.T) {
			setFlag(t, rapidSeed, seed)
			rapid.Check(t, checkSharesOfDrawnDemands)
		})
	}
}

// setFlag sets a flag for the rest of a test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	former := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.NilError(t, flag.Set(name, former)) })
}

func checkSharesOfDrawnDemands(t *rapid.T) {
	demands, asked := make(map[int]Demand), 0.0
	var loads []load
	for i := range rapid.IntRange(2, 6).Draw(t, "customers") {
		perSecond := rapid.Float64Range(20, 300).Draw(t, "perSecond")
		loads = append(loads, load{customer: fmt.Sprint(i), kind: "k", perSecond: perSecond, tokens: 100})
		demands[i] = Demand{Work: 100 * perSecond, Weight: 1}
		asked += 100 * perSecond
	}
	capacity := asked * rapid.Float64Range(0.4, 1.5).Draw(t, "room")
	outcomes := play(rapid.IntRange(1, 10).Draw(t, "instances"), 0, capacity, loads, true)
	seconds := (playTime - settledAt).Seconds()
	for i, share := range MaxMin(capacity, demands) {
		assert.Assert(t, outcomes[i].served/seconds >= 0.9*share-400, "customer %d gets %v of its share %v", i, outcomes[i].served/seconds, share)
		if capacity >= asked {
			assert.Equal(t, outcomes[i].refusedForFairness, 0.0)
		}
	}
	assert.Assert(t, total(outcomes)/seconds >= 0.93*min(capacity, asked), "%v of %v used", total(outcomes)/seconds, min(capacity, asked))
}

// TestOldReportsAreDropped checks that the work of an instance that is no longer heard of fades.
func TestOldReportsAreDropped(t *testing.T) {
	l, r := NewLedger(equal), Request{Service: "s", Customer: "a", Kind: "k", Tokens: 1000}
	other := NewLedger(equal)
	other.RecordAdmitted(begin, r)
	other.RecordRefused(begin, r, false)
	l.SetRemote(begin, "i2", other.Local(begin))
	assert.Assert(t, l.IsScarce(begin))
	assert.Assert(t, !l.IsScarce(begin.Add(reportMaxAge+time.Second)))
}

// TestSumsOfZones checks that an aggregator adds the sums of other zones to its own members' work, and
// gives a member the sum without its own report.
func TestSumsOfZones(t *testing.T) {
	a, row := NewAggregate(time.Second), Row{Service: "s", Customer: "a"}
	a.SetMember(begin, "i1", map[Row]Work{row: {Admitted: 1}})
	a.SetMember(begin, "i2", map[Row]Work{row: {Admitted: 10, Refused: 5}})
	a.SetZone(begin, "z2", map[Row]Work{row: {Admitted: 100}})
	a.SetZone(begin, "z2", map[Row]Work{row: {Admitted: 200}})
	assert.Equal(t, a.ZoneSum(begin)[row], Work{Admitted: 11, Refused: 5})
	assert.Equal(t, a.WithoutMember(a.Sum(begin), "i1")[row], Work{Admitted: 210, Refused: 5})
	assert.Equal(t, len(a.Sum(begin.Add(2*time.Second))), 0)
}

// TestRevokedWorkIsRefused checks that work which an upstream rejects doesn't count as admitted.
func TestRevokedWorkIsRefused(t *testing.T) {
	l, r := NewLedger(equal), Request{Service: "s", Customer: "a", Kind: "k", Tokens: 100}
	l.RecordAdmitted(begin, r)
	l.Revoke(begin, r)
	assert.Equal(t, l.Local(begin)[Row{Service: "s", Customer: "a"}], Work{Refused: 100})
	assert.Equal(t, l.Local(begin)[Row{Service: "s"}], Work{Refused: 100})
}

// TestEqualCustomersAreLeftToAdmission checks that customers which all exceed their shares alike are not
// refused for fairness, and that one customer alone never is.
func TestEqualCustomersAreLeftToAdmission(t *testing.T) {
	for _, customers := range [][]string{{"a"}, {"a", "b", "c"}} {
		l := NewLedger(equal)
		for _, customer := range customers {
			r := Request{Service: "s", Customer: customer, Kind: "k", Tokens: 1000}
			l.RecordAdmitted(begin, r)
			l.RecordRefused(begin, r, false)
		}
		for _, customer := range customers {
			assert.Equal(t, l.View(begin).RefusalShare(Request{Service: "s", Customer: customer, Kind: "k"}), 0.0)
		}
	}
}
