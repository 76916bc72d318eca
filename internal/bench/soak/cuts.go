package soak

import (
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cutMode is how an instance loses its path to all upstreams. New connections are always reset: a
// proxy can't keep the kernel from completing them.
type cutMode int

const (
	cutNew   cutMode = iota // open connections live on
	cutReset                // open connections are reset
	cutHang                 // open connections pass nothing on any more
	cutModes
)

const (
	// cutsPerRun is how many cuts are added to a plan; each of them may concern another instance.
	cutsPerRun = 3
	// servedShare is the least share of first attempts served at cut instances, as a part of that at others.
	servedShare = 2.0 / 3
	// cutSlack and cutSlackShare are the first attempts that may fail anyway.
	cutSlack, cutSlackShare = 10, 0.02
)

// AddInstanceCuts adds to a plan that instances are cut off from all upstreams for some seconds. It is
// drawn apart, so that the other faults of a seed stay the same.
func AddInstanceCuts(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 12))
	plan = slices.Clone(plan)
	for range cutsPerRun {
		plan = append(plan, Fault{At: time.Duration(random.Int64N(int64(length / 4))), Lasts: length/2 + time.Duration(random.Int64N(int64(length/4))), Kind: KindInstanceCut, Target: random.IntN(1 << 10), Share: random.Float64()})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// instanceCuts knows which instances are cut off from the upstreams. It is safe for concurrent use.
type instanceCuts struct {
	processes map[int]func() int // process IDs by instance; not changed once instances run

	mu     sync.Mutex // guards all below
	active map[int]cutMode
	spans  []span
}

func newInstanceCuts() *instanceCuts {
	return &instanceCuts{processes: make(map[int]func() int), active: make(map[int]cutMode)}
}

// cutOff cuts an instance off for a time, unless it is already. For the promises it stays in touch.
func (c *cluster) cutOff(i *instance, f Fault) {
	mode := cutMode(f.Share * float64(cutModes))
	c.cuts.mu.Lock()
	if _, isCut := c.cuts.active[i.number]; isCut || len(c.cuts.active) == len(c.instances)-1 {
		c.cuts.mu.Unlock()
		return
	}
	c.cuts.active[i.number] = mode
	c.cuts.spans = append(c.cuts.spans, span{subject: i.number, from: time.Now()})
	c.cuts.mu.Unlock()
	for _, s := range c.stations() {
		s.proxy().cutPairs(i.number, mode)
	}
	time.Sleep(f.Lasts)
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	delete(c.cuts.active, i.number)
	for n := range c.cuts.spans {
		if s := &c.cuts.spans[n]; s.subject == i.number && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// isCut reports whether the instance that opened a connection is cut off.
func (c *instanceCuts) isCut(client *net.TCPConn) bool {
	c.mu.Lock()
	isActive := len(c.active) > 0
	c.mu.Unlock()
	if !isActive {
		return false
	}
	inode, ok := inodeOfPeer(client)
	return ok && slices.ContainsFunc(c.cutProcesses(), func(pid int) bool { return holds(pid, inode) })
}

// cutProcesses returns the process IDs of the instances that are cut off.
func (c *instanceCuts) cutProcesses() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pids []int
	for number := range c.active {
		pids = append(pids, c.processes[number]())
	}
	return pids
}

// opened reports whether an instance opened a connection.
func (c *instanceCuts) opened(instance int, client *net.TCPConn) bool {
	inode, ok := inodeOfPeer(client)
	return ok && holds(c.processes[instance](), inode)
}

// holds reports whether a process has a socket open.
func holds(pid int, inode string) bool {
	files, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "fd", "*"))
	return slices.ContainsFunc(files, func(name string) bool {
		target, err := os.Readlink(name)
		return err == nil && target == "socket:["+inode+"]"
	})
}

// cutPairs does to the open connections of an instance what its cut does.
func (p *Proxy) cutPairs(instance int, mode cutMode) {
	if mode == cutNew {
		return
	}
	p.mu.Lock()
	pairs := make([]*pair, 0, len(p.pairs))
	for c := range p.pairs {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		if !p.cuts.opened(instance, c.client) {
			continue
		}
		if mode == cutReset {
			c.reset()
			continue
		}
		p.mu.Lock()
		c.silent = true
		p.signal()
		p.mu.Unlock()
	}
}

// judgeCuts checks that callers of instances that are cut off are served nearly as often as those of
// the others.
func (c *cluster) judgeCuts(requests []*sent) {
	for _, s := range c.cuts.spans {
		from, to := s.from.Add(stable), s.to
		if to.IsZero() {
			to = time.Now()
		}
		var asked, served [2]int // at the others, at those cut off
		for _, r := range requests {
			where := c.cuts.where(r)
			if r.at.Before(from) || !r.at.Before(to) || r.resumes != "" || r.crashing || where == nobody || strings.HasPrefix(r.path, "/extra") || c.disturbances.between(r.instance, r.at.Add(-stable), r.ended, unplanned) || c.disturbances.between(r.instance, r.at.Add(-stable), r.ended, planned) {
				continue
			}
			asked[where]++
			if r.served {
				served[where]++
			}
		}
		failed := asked[1] - served[1]
		isWorse := float64(served[1]*asked[0]) < servedShare*float64(served[0]*asked[1])
		if isWorse && float64(failed) > cutSlack+cutSlackShare*float64(asked[0]+asked[1]) {
			c.ledger.violate(PromiseCut, from, "instances that were cut off from all upstreams served %d of %d first attempts, the others %d of %d", served[1], asked[1], served[0], asked[0])
		}
	}
}

// beganDuring reports whether the instance of a request was cut off while the request was under way. Its
// upstream's connection may then have been reset in the middle of the answer.
func (c *instanceCuts) beganDuring(r *sent) bool {
	return slices.ContainsFunc(c.spans, func(s span) bool {
		return s.subject == r.instance && !s.from.Before(r.at) && !s.from.After(r.ended)
	})
}

// where returns 1 for a request at an instance that had been cut off for the stable time, 0 for one at an
// instance that was not cut off, and nobody in between.
func (c *instanceCuts) where(r *sent) int {
	where := 0
	for _, s := range c.spans {
		switch {
		case s.subject != r.instance || r.at.Before(s.from) || !s.to.IsZero() && r.at.After(s.to.Add(stable)):
		case r.at.After(s.from.Add(stable)) && (s.to.IsZero() || r.at.Before(s.to)):
			return 1
		default:
			where = nobody
		}
	}
	return where
}
