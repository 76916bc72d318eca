package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/standin/upstream"
)

const (
	// tagPart and notesPart are the first parts of all prompts of a route.
	tagPart, notesPart = "a1", "b1"
	// middleParts is how many parts the prompts of a route have in second place.
	middleParts = 4
	// crashingPart crashes each engine that begins to write an answer to a prompt that holds it.
	crashingPart = "c7d1"
	// engineRestart is how long such an engine is away.
	engineRestart = 2 * time.Second
	// leastCrashing and mostCrashing are the requests in a second whose prompts hold that part.
	leastCrashing, mostCrashing = 5.0, 10.0
	crashingCallers             = 100_000 // numbers of callers that send these begin here
	// partCrashes is the number of crashes from which a part is known.
	partCrashes = 5
	// containedArrivals are the runs that are allowed once a part has been known for longer than stable.
	containedArrivals = 3
	// soundLeast is how many requests must have been sent for their share to be judged.
	soundLeast = 20
	// soundShare is the least share of sound requests that begin, as a part of the usual share.
	soundShare = 0.5
)

// AddCrashingPart adds to a plan that requests come whose prompts hold the crashing part, until
// its end. It is drawn apart, so that the other faults of a seed stay the same.
func AddCrashingPart(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 10))
	at := length/8 + time.Duration(random.Int64N(int64(length/8)))
	plan = append(slices.Clone(plan), Fault{At: at, Lasts: length - at, Kind: KindCrashingPart, Share: random.Float64()})
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// sharedParts draws the parts of a prompt that other requests of its route have too.
func (c *caller) sharedParts(first string) []string {
	if !c.cluster.options.Parts {
		return nil
	}
	if c.random.IntN(3) == 0 {
		return []string{first}
	}
	return []string{first, fmt.Sprintf("%s%d", first, c.random.IntN(middleParts))}
}

// drawCrashing draws a request that is sound but for one part of its prompt.
func (c *caller) drawCrashing() question {
	c.number++
	id := c.name
	shared := c.sharedParts(tagPart)
	return question{
		method: http.MethodPost, path: "/tag/" + id, body: id, service: engineService, model: c.model(), repeatable: true,
		events: 2 + c.random.IntN(c.mostEvents()), own: c.random.Uint64(), crashing: true,
		shared: slices.Insert(shared, 1+c.random.IntN(len(shared)), crashingPart),
	}
}

// sendCrashingParts sends requests whose prompts hold the crashing part to any instances, no two
// alike, and waits for their answers.
func (c *cluster) sendCrashingParts(f Fault, stop <-chan struct{}) {
	gap := time.Duration(float64(time.Second) / (leastCrashing + f.Share*(mostCrashing-leastCrashing)))
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n, end := 0, time.After(f.Lasts); ; n++ {
		group.Go(func() {
			from := newCaller(c, crashingCallers+n)
			if from.connect(nobody) {
				from.send(from.drawCrashing())
			}
			from.leave()
		})
		select {
		case <-ticker.C:
		case <-end:
			return
		case <-stop:
			return
		}
	}
}

// partCounts are the crashes by the crashing part, the runs of requests that hold it sent by
// instances in touch once it was known, and the sound requests with the same first part.
type partCounts struct {
	Sent, Crashes, LateRuns int
	// Late are the sound requests while crashing ones come and the part is known; the usual ones
	// were sent outside unplanned disruption.
	Late, LateBegan   int
	Usual, UsualBegan int
}

func (c *cluster) countParts(requests []*sent, runs map[string][]upstream.Run) partCounts {
	crashes := c.ledger.partCrashTimes()
	n := partCounts{Crashes: len(crashes)}
	var last time.Time // crashing request
	for _, s := range requests {
		if s.crashing {
			n.Sent++
			last = s.at
		}
	}
	if len(crashes) == 0 {
		return n
	}
	known := crashes[min(len(crashes), partCrashes)-1]
	for _, s := range requests {
		if s.crashing {
			n.LateRuns += c.countLateRuns(runs[s.id], s, crashes)
			continue
		}
		if !s.isStream || s.firstPart != tagPart || s.resumes != "" || s.ended.IsZero() {
			continue
		}
		began := 0
		if s.held > 0 {
			began = 1
		}
		during := s.at.After(known.Add(2*stable)) && s.at.Before(last)
		switch {
		case during && c.disturbances.isInTouch(s.instance, s.at, s.ended) && !c.disturbances.own(atUpstreams, s.at.Add(-stable), s.ended):
			n.Late++
			n.LateBegan += began
		case !during && !c.disturbances.between(everywhere, s.at.Add(-stable), s.ended, unplanned):
			n.Usual++
			n.UsualBegan += began
		}
	}
	return n
}

// countLateRuns counts the runs of a request with the crashing part once the part was known.
func (c *cluster) countLateRuns(runs []upstream.Run, s *sent, crashes []time.Time) int {
	if len(crashes) < partCrashes {
		return 0
	}
	late := 0
	for _, r := range runs {
		if r.Began.After(crashes[partCrashes-1].Add(stable)) && c.disturbances.isInTouch(s.instance, r.Began, r.Began) {
			late++
		}
	}
	return late
}

// judgeParts checks that requests that hold the crashing part are contained, and that sound ones
// with the same first part are served.
func (c *cluster) judgeParts(requests []*sent, runs map[string][]upstream.Run) {
	crashes := c.ledger.partCrashTimes()
	if len(crashes) == 0 {
		return
	}
	n, known := c.countParts(requests, runs), crashes[min(len(crashes), partCrashes)-1].Add(stable)
	if n.LateRuns > containedArrivals {
		c.ledger.violate(PromisePartContained, known, "%d requests with the crashing part ran once it was known, %d crashes", n.LateRuns, n.Crashes)
	}
	if n.Late < soundLeast || n.Usual < soundLeast {
		return
	}
	if late, usual := float64(n.LateBegan)/float64(n.Late), float64(n.UsualBegan)/float64(n.Usual); late < soundShare*usual {
		c.ledger.violate(PromiseSoundBegin, known, "%d of %d sound requests began beside crashing ones, %d of %d usually", n.LateBegan, n.Late, n.UsualBegan, n.Usual)
	}
}

// partCrashTimes returns the times of crashes by the crashing part.
func (l *ledger) partCrashTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.crashes)
}
