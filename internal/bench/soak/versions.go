package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/standin/upstream"
)

// AddReleases adds to a plan, once or twice, that a share of the engines is replaced by ones of
// another version. While versions serve side by side, instances are killed, callers' connections
// are reset, and streams break off at their engines. It is drawn apart, so that the other faults
// of a seed stay the same.
func AddReleases(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 9))
	plan = slices.Clone(plan)
	phase := length / time.Duration(1+random.IntN(2))
	for from := time.Duration(0); from+phase <= length; from += phase {
		plan = append(plan, Fault{
			At: from + time.Duration(random.Int64N(int64(phase/8))), Lasts: phase/8 + time.Duration(random.Int64N(int64(phase/4))),
			Kind: KindVersionRelease, Target: random.IntN(1 << 10), Share: releasedLeast + random.Float64()*(releasedMost-releasedLeast),
		})
		for _, kind := range besideReleases {
			f := Fault{At: from + phase/4 + time.Duration(random.Int64N(int64(phase/2))), Kind: kind, Target: random.IntN(1 << 10)}
			if kind == KindAnswersLost {
				f.Lasts, f.Share = phase/4, 1
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// besideReleases are the faults that come with each release.
var besideReleases = []Kind{
	KindKill, KindKill, KindKillAll, KindCallersReset, KindCallersReset, KindUpstreamReset, KindUpstreamReset, KindAnswersLost, KindAnswersLost,
}

const (
	// A release replaces at least releasedLeast and at most releasedMost of the engines.
	releasedLeast, releasedMost = 0.35, 0.7
	firstVersion                = "v1"
	// startLead is how long an engine that starts first runs before the one that it replaces leaves.
	startLead = time.Second
)

// release replaces a share of the engines one after another by ones of the next version: every
// other one starts before the old one leaves, the rest come back at the same place.
func (c *cluster) release(f Fault, stop <-chan struct{}) {
	c.mu.Lock()
	c.releases++
	version := fmt.Sprintf("v%d", 1+c.releases)
	c.mu.Unlock()
	count := max(1, int(f.Share*float64(c.options.Engines)+0.5))
	var group sync.WaitGroup
	for n := range count {
		slot := (f.Target + n) % c.options.Engines
		if n%2 == 0 {
			group.Go(func() { c.replace(slot, version, stop) })
		} else {
			group.Go(func() {
				s := c.station(slot)
				s.Release(version)
				c.drain(s, 0)
			})
		}
		time.Sleep(f.Lasts / time.Duration(count))
	}
	group.Wait()
}

// replace starts an engine in the place of another one, which then leaves for good.
func (c *cluster) replace(slot int, version string, stop <-chan struct{}) {
	next, err := c.startEngine(fmt.Sprintf("e%d%s", slot, version), slot, version, stop)
	if err != nil {
		c.options.Progress("seed %d: an engine of version %s did not start: %v", c.options.Seed, version, err)
		return
	}
	c.mu.Lock()
	old := c.upstreams[slot]
	c.upstreams[slot], c.replaced = next, append(c.replaced, old)
	c.mu.Unlock()
	time.Sleep(startLead)
	old.retired.Store(true)
	c.drain(old, 0)
}

// streamCounts are the new streams, and those that callers take up again, at instances in touch
// with the others, and how many of them brought an event.
type streamCounts struct {
	New, Began      int
	TakenUp, WentOn int
}

// countStreams counts streams of the resumable route. Of those that are taken up, it leaves out
// the ones whose version is unclear or served by fewer than enginesOfVersion engines.
func (c *cluster) countStreams(requests []*sent) streamCounts {
	var n streamCounts
	versions := make(map[string]string) // of the first attempts that brought an event
	for _, s := range requests {
		if !s.resumable {
			continue
		}
		if possible := c.ledger.writers(s, s.after+1); s.resumes == "" && s.held > 0 && len(possible) == 1 {
			versions[s.id] = possible[0]
		}
		version, isKnown := versions[s.resumes]
		switch {
		case s.ended.IsZero() || !c.disturbances.isInTouch(s.instance, s.at, s.ended):
		case s.resumes == "":
			n.New++
			if s.held > 0 {
				n.Began++
			}
		case isKnown && c.ledger.engines(version, s.at, s.ended) >= enginesOfVersion:
			n.TakenUp++
			if s.held > s.after {
				n.WentOn++
			}
		}
	}
	return n
}

const (
	enginesOfVersion = 2
	// takenUpLeast is how many streams must be taken up for their share to be judged.
	takenUpLeast = 12
	// wentOnShare is the least share of streams that go on, as a part of the share that begins.
	wentOnShare = 0.5
)

// judgeTakenUp checks that streams that are taken up go on about as often as new ones begin.
func (c *cluster) judgeTakenUp(requests []*sent) {
	n := c.countStreams(requests)
	if n.TakenUp < takenUpLeast || n.New == 0 {
		return
	}
	if wentOn, began := float64(n.WentOn)/float64(n.TakenUp), float64(n.Began)/float64(n.New); wentOn < wentOnShare*began {
		c.ledger.violate(PromiseTakenUp, c.ledger.began, "%d of %d streams that were taken up went on, %d of %d new ones began", n.WentOn, n.TakenUp, n.Began, n.New)
	}
}

// judgeVersions checks that one version can have written all events that a caller holds of a
// stream. An event that several runs wrote may be of each of them.
func (c *cluster) judgeVersions(requests []*sent) {
	possible := make(map[string][]string) // versions by the first attempt
	for _, s := range requests {
		first := s.id
		if s.resumes != "" {
			first = s.resumes
		}
		for event := s.after + 1; event <= s.held; event++ {
			versions := c.ledger.writers(s, event)
			before, known := possible[first]
			if known && len(before) == 0 {
				break // it has been told
			}
			if known {
				versions = slices.DeleteFunc(versions, func(v string) bool { return !slices.Contains(before, v) })
			}
			if possible[first] = versions; len(versions) == 0 {
				c.ledger.violate(PromiseOneVersion, s.at, "stream %s began at version %v; event %d of request %s at i%d was written by %s",
					first, before, event, s.id, s.instance, c.ledger.describe(s, event))
			}
		}
	}
}

// written is one event that a run wrote.
type written struct {
	run   upstream.Run
	event int
}

// service is the time in which an engine of a version took requests; to is zero while it does.
type service struct {
	version  string
	from, to time.Time
}

// Wrote implements upstream.Journal.
func (l *ledger) Wrote(r upstream.Run, event int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written[r.Request] = append(l.written[r.Request], written{run: r, event: event})
}

// Serving implements upstream.Journal.
func (l *ledger) Serving(id, version string, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[id]; serving {
		l.services[id] = &service{version: version, from: time.Now()}
	} else if s != nil && s.to.IsZero() {
		s.to = time.Now()
	}
}

// engines returns how many engines of a version served all through a span of time.
func (l *ledger) engines(version string, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, s := range l.services {
		if s.version == version && !s.from.After(from) && (s.to.IsZero() || !s.to.Before(to)) {
			count++
		}
	}
	return count
}

// writers returns the versions that wrote an event of an answer.
func (l *ledger) writers(s *sent, event int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var versions []string
	for _, w := range l.written[s.id] {
		if w.event == event && !slices.Contains(versions, w.run.Version) {
			versions = append(versions, w.run.Version)
		}
	}
	return versions
}

// describe names the versions and engines that wrote an event of an answer.
func (l *ledger) describe(s *sent, event int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := "no engine"
	for _, w := range l.written[s.id] {
		if w.event == event {
			text = w.run.Version + " at " + w.run.Upstream
		}
	}
	return text
}
