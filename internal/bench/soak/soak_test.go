package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/upstream"
)

// regression is a seed that broke a promise once.
type regression struct {
	seed  uint64
	cause string
}

var regressions = []regression{
	{105, ghostEntry}, {130, ghostEntry + "; a stream went to such an engine alone"}, {140, ghostEntry}, {681204102, cutStream},
}

const cutStream = "streams of engines that were silent for a while were ended though no retry was allowed"

const ghostEntry = "the entry of a crashed engine outlived it (its removal met a store that was away), and its models stayed with it for good"

// fresh is the seed that CI plays besides the regressions.
const fresh = 1

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "savoryweir-node")
	output, err := exec.Command("go", "build", "-o", program, "savoryweir/cmd/savoryweir-node").CombinedOutput()
	assert.NilError(t, err, string(output))
	return program
}

// crashingSeed is one without a restore of the store, after which no instance is in touch for a while.
const crashingSeed = 4201

func TestPromisesHoldUnderFaultsFromOutside(t *testing.T) {
	program := build(t)
	for _, r := range append(regressions, regression{fresh, "none: the short run of CI"}) {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("failed once for this cause: %s", r.cause)
			play(t, DefaultOptions(r.seed), program)
		})
	}
}

// play runs the processes and fails for each broken promise.
func play(t *testing.T, o Options, program string) {
	t.Helper()
	o.Program, o.Folder = program, t.TempDir()
	report, err := Run(o)
	assert.NilError(t, err)
	t.Logf("seed %d: %d of %d requests served, the machine stalled %d times; streams %+v; crashing part %+v", o.Seed, report.Served, report.Requests, report.Stalls, report.Streams, report.Parts)
	for _, v := range report.Violations {
		t.Errorf("%v %s: %s", v.At, v.Promise, v.Text)
	}
}

// What two versions of an engine's software write does not fit together. Streams that break off
// while both serve go on at the version that began them, or not at all.
func TestStreamsKeepTheirVersionThroughReleasesAndKills(t *testing.T) {
	t.Parallel()
	o := ReleaseOptions(fresh)
	o.Faulted, o.Faults = 6*time.Second, 4
	play(t, o, build(t))
}

// No two of these requests are alike, so that what contains requests by their path and body lets
// each of them crash an engine.
func TestRequestsWithCrashingPartOfPromptAreContained(t *testing.T) {
	t.Parallel()
	o := DefaultOptions(crashingSeed)
	o.Parts, o.Faults, o.Faulted = true, 0, 16*time.Second
	play(t, o, build(t))
}

// Each instance keeping a limit alone would let their sum exceed it.
func TestNamedLimitsAreKeptOverAllInstances(t *testing.T) {
	t.Parallel()
	o := DefaultOptions(fresh)
	o.Limits, o.Faults = true, 4
	play(t, o, build(t))
}

// Each instance learned of a full engine by its own rejections, the sum of which brought it down.
func TestBrittleEnginesStayUp(t *testing.T) {
	t.Parallel()
	o := DefaultOptions(fresh)
	o.Brittle, o.Faults = true, 0
	play(t, o, build(t))
}

// Requests of callers that had left before they were read reached upstreams.
func TestUpstreamsDoNotWorkForCallersThatHaveLeft(t *testing.T) {
	t.Parallel()
	o := DefaultOptions(fresh)
	o.Leavers, o.Faults, o.Callers = true, 0, 40
	play(t, o, build(t))
}

// Upstreams in trouble send responses that violate HTTP. Callers got some of them as answers.
func TestMalformedResponsesReachNoCaller(t *testing.T) {
	t.Parallel()
	o := DefaultOptions(fresh)
	o.Malformed, o.Faults = 0.05, 4
	play(t, o, build(t))
}

// lastLanding is the build that instances run before they are replaced.
const lastLanding = "543e6d9"

// Old and new instances exchange messages, forward requests to each other and read each other's objects.
func TestPromisesHoldWhileInstancesAreReplacedByAnotherBuild(t *testing.T) {
	t.Parallel()
	former := filepath.Join(t.TempDir(), "former")
	err := BuildFormer(lastLanding, former)
	if errors.Is(err, ErrNoHistory) {
		t.Skip(err)
	}
	assert.NilError(t, err)
	program := build(t)
	for _, seed := range []uint64{fresh, fresh + 1} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := DefaultOptions(seed)
			o.Former, o.Faulted, o.Faults = former, 16*time.Second, 4
			play(t, o, program)
		})
	}
}

// Instances that lose their own path to all upstreams refused their callers. Not parallel: late resets look like open paths.
func TestCallersOfInstancesThatAreCutOffAreServed(t *testing.T) {
	o := DefaultOptions(fresh)
	o.Cuts, o.Faults = true, 2
	play(t, o, build(t))
}

// Seeds keep their other faults, so that regressions stay what they were.
func TestCrashingPartIsAddedToThePlanOfASeed(t *testing.T) {
	const length = 10 * time.Second
	for seed := range uint64(50) {
		base := NewPlan(seed, 14, length)
		plan := AddCrashingPart(base, seed, length)
		assert.DeepEqual(t, plan, AddCrashingPart(base, seed, length))
		assert.DeepEqual(t, slices.DeleteFunc(slices.Clone(plan), func(f Fault) bool { return f.Kind == KindCrashingPart }), base)
		added := plan[slices.IndexFunc(plan, func(f Fault) bool { return f.Kind == KindCrashingPart })]
		assert.Equal(t, len(plan), len(base)+1)
		assert.Equal(t, added.At+added.Lasts, length)
		assert.Assert(t, added.At > 0 && added.At <= length/4)
	}
}

func TestPlansRepeatBySeed(t *testing.T) {
	a, b := NewPlan(7, 20, 10*time.Second), NewPlan(7, 20, 10*time.Second)
	assert.DeepEqual(t, a, b)
	assert.Equal(t, len(a), 20)
	for n := 1; n < len(a); n++ {
		assert.Assert(t, a[n].At >= a[n-1].At)
	}
	assert.DeepEqual(t, NewPauses(7), NewPauses(7))
	for _, f := range NewPauses(7) {
		assert.Assert(t, f.At+f.Lasts < recoveryBound, "%s goes on when service must be back", f)
	}
}

// Seeds keep their other faults, so that regressions stay what they were.
func TestReleasesAreAddedToThePlanOfASeed(t *testing.T) {
	const length = 12 * time.Second
	twice, once := 0, 0
	for seed := range uint64(50) {
		base := NewPlan(seed, 14, length)
		plan := AddReleases(base, seed, length)
		assert.DeepEqual(t, plan, AddReleases(base, seed, length))
		kept := slices.DeleteFunc(slices.Clone(plan), func(f Fault) bool { return !slices.Contains(base, f) })
		assert.DeepEqual(t, kept, base)
		count := make(map[Kind]int)
		var first time.Duration
		for n, f := range plan {
			assert.Assert(t, n == 0 || f.At >= plan[n-1].At)
			if slices.Contains(base, f) {
				continue
			}
			assert.Assert(t, f.At >= 0 && f.At+f.Lasts <= length, "%s", f)
			if count[f.Kind]++; f.Kind == KindVersionRelease && count[f.Kind] == 1 {
				first = f.At
				assert.Assert(t, f.Share >= releasedLeast && f.Share <= releasedMost && f.Lasts > 0, "%s", f)
			}
			assert.Assert(t, count[KindVersionRelease] > 0 && f.At >= first, "%s comes before any release", f)
		}
		releases := count[KindVersionRelease]
		assert.DeepEqual(t, count, map[Kind]int{
			KindVersionRelease: releases, KindKill: 2 * releases, KindKillAll: releases,
			KindCallersReset: 2 * releases, KindUpstreamReset: 2 * releases, KindAnswersLost: 2 * releases,
		})
		switch releases {
		case 1:
			once++
		case 2:
			twice++
		default:
			t.Errorf("seed %d has %d releases", seed, releases)
		}
	}
	assert.Assert(t, once > 10 && twice > 10, "%d seeds have one release, %d two", once, twice)
}

// echo answers each byte that it gets.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().String()
}

// Instances of another soak on the same machine listen for datagrams on ports that no connection
// finds taken; an instance that gets one of these ends at once.
func TestPortsOfAnyListenerAreTaken(t *testing.T) {
	assert.Assert(t, acceptsConnections(echo(t)))
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := conn.LocalAddr().String()
	assert.Assert(t, takesDatagrams(address))
	assert.NilError(t, conn.Close())
	assert.Assert(t, !takesDatagrams(address))
	assert.Assert(t, !acceptsConnections(address))
}

func speak(t *testing.T, conn net.Conn) error {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestTheProxyHarmsConnectionsAsTold(t *testing.T) {
	p, err := NewProxy("127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", p.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	first := dial()
	assert.NilError(t, speak(t, first))
	p.Silence()
	assert.ErrorContains(t, speak(t, first), "timeout")
	second := dial()
	assert.NilError(t, speak(t, second), "new connections work")
	p.Set(Link{HoldToClient: true})
	assert.ErrorContains(t, speak(t, second), "timeout")
	p.Set(Link{Refuse: true})
	refused, err := net.Dial("tcp4", p.Address()) // the reset comes with the dial, or after it
	if err == nil {
		err = speak(t, refused)
	}
	assert.ErrorContains(t, err, "reset")
	p.Set(Link{Delay: 50 * time.Millisecond})
	third, began := dial(), time.Now()
	assert.NilError(t, speak(t, third))
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond, "both directions are delayed")
	p.Reset()
	assert.ErrorContains(t, speak(t, third), "reset")
}

// observed returns a cluster that ran nothing, for the checks alone.
func observed() *cluster {
	d := &disturbances{}
	return &cluster{ledger: newLedger(d), disturbances: d, cuts: newInstanceCuts(), left: make(map[string]time.Time)}
}

func (c *cluster) promises() string {
	var broken []string
	for _, v := range c.ledger.found() {
		broken = append(broken, string(v.Promise))
	}
	return strings.Join(broken, ", ")
}

// Each check fails on what breaks its promise.
func TestChecksFindBrokenPromises(t *testing.T) {
	at := time.Now().Add(-time.Minute)
	request := func(id string, repeatable bool) *sent {
		return &sent{id: id, path: "/book/1", fingerprint: "f", repeatable: repeatable, at: at, deadline: callerDeadline, ended: at.Add(time.Second)}
	}
	run := func(id string, after time.Duration) upstream.Run {
		return upstream.Run{Request: id, Upstream: "p1-1", Fingerprint: "f", Began: at.Add(after)}
	}
	cases := []struct {
		promise Promise
		see     func(*cluster)
	}{
		{PromiseOnce, func(c *cluster) {
			c.ledger.Sent(request("a", false))
			c.ledger.Ran(run("a", 0))
			c.ledger.Ran(run("a", 0))
		}},
		{PromiseUnchanged, func(c *cluster) { c.ledger.Ran(run("nobody's", 0)) }},
		{PromiseNotRun, func(c *cluster) {
			s := request("a", false)
			s.status = 503
			c.ledger.Sent(s)
			c.ledger.Ran(run("a", 0))
		}},
		{PromiseGraceful, func(c *cluster) {
			s := request("a", false)
			s.err = io.ErrUnexpectedEOF
			c.ledger.Sent(s)
			c.ledger.Ran(run("a", 0))
			c.disturbances.spans = []span{{kind: planned, from: at, to: at.Add(time.Second)}}
		}},
		{PromiseAnswered, func(c *cluster) {
			s := request("a", true)
			s.err = io.ErrUnexpectedEOF
			c.ledger.Sent(s)
			c.configurations = []configuration{{sent: at.Add(-time.Second), acknowledged: at.Add(-time.Second)}}
		}},
		{PromiseConfig, func(c *cluster) {
			s := request("a", true)
			s.status = 404
			c.ledger.Sent(s)
			c.configurations = []configuration{{prefixes: []string{"/book/"}, sent: at.Add(-time.Minute), acknowledged: at.Add(-time.Minute)}}
		}},
		{PromiseDrain, func(c *cluster) {
			c.ledger.Sent(request("a", true))
			c.left["p1-1"] = at.Add(-time.Minute)
			c.ledger.Ran(run("a", 0))
		}},
		{PromiseOneHolder, func(c *cluster) {
			c.ledger.Ordered(upstream.Order{Upstream: "e1-1", Holder: "i1", Fence: 5, At: at})
			c.ledger.Ordered(upstream.Order{Upstream: "e1-1", Holder: "i2", Fence: 9, At: at.Add(time.Second)})
		}},
		{PromiseRepeats, func(c *cluster) {
			for n := range 300 {
				id := fmt.Sprint(n)
				c.ledger.Sent(request(id, true))
				c.ledger.Ran(run(id, 0))
				c.ledger.Ran(run(id, time.Millisecond))
			}
		}},
		{PromiseRecovery, func(c *cluster) {}},
		{PromiseOneVersion, func(c *cluster) { // within one answer
			c.stream("a", "", 0, 4, at)
			c.wrote("a", "v1", 1, 3)
			c.wrote("a", "v2", 3, 4)
		}},
		{PromiseOneVersion, func(c *cluster) { // over the attempts of a caller
			c.stream("a", "", 0, 2, at)
			c.stream("b", "a", 2, 4, at.Add(time.Second))
			c.stream("c", "a", 4, 6, at.Add(2*time.Second))
			c.wrote("a", "v1", 1, 3)
			c.wrote("b", "v1", 3, 5)
			c.wrote("c", "v2", 5, 6)
		}},
		{PromiseTakenUp, func(c *cluster) { c.takeUp(at, takenUpLeast/2-1, takenUpLeast) }},
		{PromiseLeft, func(c *cluster) { c.leaveLate(at, lateArrivals+1, 0) }},
		{PromiseLeft, func(c *cluster) { c.leaveLate(at, 0, workingLeast) }},
		{PromiseLeft, func(c *cluster) { // within the time that a slow instance has
			c.leaveLate(at, 0, workingLeast)
			for _, list := range c.ledger.runs {
				c.ledger.stopped[list[0]] = at.Add(lateNotice + longestStop/2)
			}
		}},
		{PromiseFalls, func(c *cluster) { c.fall(at, fallsAllowed+1) }},
		{PromiseCut, func(c *cluster) { c.sendAtCut(at, 5, 30) }},
		{PromiseLimit, func(c *cluster) { c.arriveLimited(at, 2, 2*limitFactor*4+limitSlack+1) }},
		{PromisePartContained, func(c *cluster) { c.crashByPart(at, partCrashes, containedArrivals+1, stable+time.Second) }},
		{PromiseSoundBegin, func(c *cluster) {
			c.crashByPart(at, partCrashes, 1, time.Minute)
			c.begin("usual", at.Add(-time.Minute), soundLeast, soundLeast)
			c.begin("late", at.Add(2*stable+time.Second), soundLeast/2-1, soundLeast)
		}},
		{PromiseSoundBegin, func(c *cluster) { // the part crashed fewer engines
			c.crashByPart(at, 1, 1, time.Minute)
			c.begin("usual", at.Add(-time.Minute), soundLeast, soundLeast)
			c.begin("late", at.Add(2*stable+time.Second), soundLeast/2-1, soundLeast)
		}},
	}
	for _, test := range cases {
		c := observed()
		test.see(c)
		lifted := at.Add(-time.Hour)
		if test.promise != PromiseRecovery {
			for n := range 1000 {
				c.ledger.Sent(&sent{id: fmt.Sprint("calm", n), path: "/extra0/", at: lifted, ended: lifted, served: true})
			}
		}
		c.judge(lifted)
		assert.Assert(t, strings.Contains(c.promises(), string(test.promise)), "%s: found %q", test.promise, c.promises())
	}
}

// leaveLate records callers that leave: the requests of some reach an upstream late, and upstreams work
// on for others.
func (c *cluster) leaveLate(at time.Time, late, working int) {
	for n := range late + working {
		id := fmt.Sprint("left", n)
		c.ledger.Sent(&sent{id: id, path: "/tag/", at: at, left: at, ended: at, repeatable: true, fingerprint: "f", work: time.Minute})
		if n < late {
			c.ledger.arrived[id] = []time.Time{at.Add(2 * lateNotice)}
			continue
		}
		c.ledger.Ran(upstream.Run{Request: id, Upstream: "e1-1", Fingerprint: "f", Began: at})
	}
}

// fall records brittle engines that fell over by requests of an instance in touch.
func (c *cluster) fall(at time.Time, count int) {
	c.ledger.Sent(&sent{id: "rejected", path: "/tag/", at: at, ended: at})
	for range count {
		c.ledger.falls = append(c.ledger.falls, fall{"e1-1", at, []string{"rejected"}})
	}
}

// sendAtCut records requests at an instance that is cut off, some of which were served, and as many at
// another one that were all served.
func (c *cluster) sendAtCut(at time.Time, served, count int) {
	c.cuts.spans = []span{{subject: 1, from: at, to: at.Add(10 * time.Second)}}
	for n := range 2 * count {
		s := &sent{id: fmt.Sprint("cut", n), path: "/status/", instance: n % 2, at: at.Add(stable + time.Second), ended: at.Add(stable + time.Second)}
		s.served = n%2 == 0 || n/2 < served
		c.ledger.Sent(s)
	}
}

// arriveLimited records requests of two instances at an upstream with a limit, which both passed on
// before.
func (c *cluster) arriveLimited(at time.Time, limit float64, count int) {
	for n := range count + 2 {
		id := fmt.Sprint("limited", n)
		c.ledger.Sent(&sent{id: id, path: "/tag/", at: at, ended: at, instance: n % 2})
		arrived := at
		if n > 1 {
			arrived = at.Add(passedOnFor + time.Duration(n)*10*time.Millisecond)
		}
		c.ledger.limited["e1-1"] = append(c.ledger.limited["e1-1"], limitedArrival{id, arrived, limit})
	}
}

// stream records a request for a stream, of which the caller held events up to after before and
// up to held in the end.
func (c *cluster) stream(id, resumes string, after, held int, at time.Time) {
	c.ledger.Sent(&sent{
		id: id, path: "/tag/1", fingerprint: "f", repeatable: true, at: at, deadline: callerDeadline, ended: at.Add(time.Second),
		resumable: true, resumes: resumes, after: after, held: held,
	})
}

// wrote records a run that wrote events of an answer.
func (c *cluster) wrote(id, version string, from, to int) {
	run := upstream.Run{Request: id, Upstream: "e1-" + version, Version: version, Fingerprint: "f", Began: time.Now()}
	c.ledger.Ran(run)
	for event := from; event <= to; event++ {
		c.ledger.Wrote(run, event)
	}
}

// takeUp records streams that began at a version that two engines serve and are taken up again,
// and how many of them went on.
func (c *cluster) takeUp(at time.Time, wentOn, takenUp int) {
	for _, engine := range []string{"e1-v1", "e2-v1"} {
		c.ledger.services[engine] = &service{version: "v1", from: at.Add(-time.Second)}
	}
	for n := range takenUp {
		first, second := fmt.Sprint("first", n), fmt.Sprint("second", n)
		c.stream(first, "", 0, 2, at)
		c.wrote(first, "v1", 1, 2)
		if n < wentOn {
			c.stream(second, first, 2, 4, at.Add(time.Second))
			c.wrote(second, "v1", 3, 4)
		} else {
			c.stream(second, first, 2, 2, at.Add(time.Second))
		}
	}
}

// crashByPart records crashes by the crashing part, and requests with it that ran after a time.
func (c *cluster) crashByPart(at time.Time, crashes, ran int, after time.Duration) {
	for range crashes {
		c.ledger.crashes = append(c.ledger.crashes, at)
	}
	for n := range ran {
		id := fmt.Sprint("crashing", n)
		c.ledger.Sent(&sent{id: id, path: "/tag/" + id, fingerprint: id, repeatable: true, at: at.Add(after), ended: at.Add(after), crashing: true, isStream: true, firstPart: tagPart})
		c.ledger.Ran(upstream.Run{Request: id, Upstream: "e1-1", Fingerprint: id, Began: at.Add(after)})
	}
}

// begin records sound streams, of which some brought an event.
func (c *cluster) begin(name string, at time.Time, began, sentCount int) {
	for n := range sentCount {
		s := &sent{id: fmt.Sprint(name, n), path: "/tag/", at: at, ended: at, isStream: true, firstPart: tagPart}
		c.ledger.Sent(s)
		if n < began {
			s.held = 1
			c.ledger.Wrote(upstream.Run{Request: s.id, Upstream: "e1-1"}, 1)
		}
	}
}

// Each check accepts what its promise allows.
func TestChecksAcceptWhatPromisesAllow(t *testing.T) {
	at := time.Now().Add(-time.Minute)
	cases := []struct {
		name string
		see  func(*cluster)
	}{
		{"two brittle engines fall over", func(c *cluster) { c.fall(at, fallsAllowed) }},
		{"instances that are cut off serve two thirds as often", func(c *cluster) { c.sendAtCut(at, 20, 30) }},
		{"an upstream gets as much as its limit allows", func(c *cluster) { c.arriveLimited(at, 2, 2*limitFactor*4+limitSlack) }},
		{"a run of another version wrote only events that the caller has from the first", func(c *cluster) {
			c.stream("a", "", 0, 4, at)
			c.wrote("a", "v2", 1, 1)
			c.wrote("a", "v1", 1, 4)
		}},
		{"a run of another version wrote only events that did not reach the caller", func(c *cluster) {
			c.stream("a", "", 0, 2, at)
			c.wrote("a", "v1", 1, 2)
			c.wrote("a", "v2", 3, 4)
		}},
		{"streams of their own at two versions", func(c *cluster) {
			c.stream("a", "", 0, 2, at)
			c.stream("b", "", 0, 2, at)
			c.wrote("a", "v1", 1, 2)
			c.wrote("b", "v2", 1, 2)
		}},
		{"half of the streams that were taken up went on", func(c *cluster) { c.takeUp(at, takenUpLeast/2, takenUpLeast) }},
		{"too few streams were taken up", func(c *cluster) { c.takeUp(at, 0, takenUpLeast-1) }},
		{"the instances had a fault", func(c *cluster) {
			c.takeUp(at, 0, takenUpLeast)
			c.disturbances.spans = []span{{subject: everywhere, from: at.Add(-time.Second), to: at}}
		}},
		{"one engine of the version leaves", func(c *cluster) {
			c.takeUp(at, 0, takenUpLeast)
			c.ledger.services["e2-v1"].to = at
		}},
		{"three requests with the crashing part ran once it was known", func(c *cluster) {
			c.crashByPart(at, partCrashes, containedArrivals, stable+time.Second)
		}},
		{"requests with the crashing part ran before it was known", func(c *cluster) {
			c.crashByPart(at, partCrashes, 10*containedArrivals, stable-time.Second)
		}},
		{"the part crashed fewer engines", func(c *cluster) {
			c.crashByPart(at, partCrashes-1, 10*containedArrivals, stable+time.Second)
		}},
		{"the instances that sent requests with the crashing part had a fault", func(c *cluster) {
			c.crashByPart(at, partCrashes, 10*containedArrivals, stable+time.Second)
			c.disturbances.spans = []span{{subject: everywhere, from: at, to: at.Add(2 * time.Second)}}
		}},
		{"half of the sound requests began", func(c *cluster) {
			c.crashByPart(at, partCrashes, 1, time.Minute)
			c.begin("usual", at.Add(-time.Minute), soundLeast, soundLeast)
			c.begin("late", at.Add(2*stable+time.Second), soundLeast/2, soundLeast)
		}},
		{"too few sound requests were sent", func(c *cluster) {
			c.crashByPart(at, partCrashes, 1, time.Minute)
			c.begin("usual", at.Add(-time.Minute), soundLeast, soundLeast)
			c.begin("late", at.Add(2*stable+time.Second), 0, soundLeast-1)
		}},
		{"sound requests did not begin before the part was known for long", func(c *cluster) {
			c.crashByPart(at, partCrashes, 1, time.Minute)
			c.disturbances.spans = []span{{subject: atCrashed, from: at, to: at.Add(engineRestart)}}
			c.begin("usual", at.Add(-time.Minute), soundLeast, soundLeast)
			c.begin("early", at.Add(time.Second), 0, soundLeast)
		}},
		{"a caller lost its connection while planned work went on", func(c *cluster) {
			c.stream("a", "", 0, 2, at)
			c.wrote("a", "v1", 1, 2)
			c.ledger.sent["a"].err = errLinkLost
			c.disturbances.spans = []span{{kind: planned, from: at, to: at.Add(time.Second)}}
		}},
	}
	for _, test := range cases {
		c := observed()
		test.see(c)
		for n := range 1000 {
			c.ledger.Sent(&sent{id: fmt.Sprint("calm", n), path: "/status/", at: at, ended: at, served: true})
		}
		c.judge(at.Add(-time.Hour))
		assert.Equal(t, c.promises(), "", test.name)
	}
}

// A fault of an upstream leaves an instance in touch with the others, but calls off the bounds
// that hold while it is calm.
func TestFaultsOfUpstreamsLeaveInstancesInTouch(t *testing.T) {
	at := time.Now().Add(-time.Minute)
	cases := []struct {
		subject         int
		inTouch, isCalm bool
	}{{atUpstreams, true, false}, {everywhere, false, false}, {1, false, false}, {2, true, true}}
	for _, test := range cases {
		d := &disturbances{spans: []span{{subject: test.subject, from: at, to: at.Add(time.Second)}}}
		assert.Equal(t, d.isInTouch(1, at.Add(2*time.Second), at.Add(3*time.Second)), test.inTouch, "subject %d", test.subject)
		assert.Equal(t, d.isCalm(1, at.Add(2*time.Second), at.Add(3*time.Second)), test.isCalm, "subject %d", test.subject)
		assert.Assert(t, d.isInTouch(1, at.Add(5*time.Second), at.Add(6*time.Second)), "the fault is over for long")
	}
}
