// Package membership measures failure detection and spread of news in virtual
// time: many detectors in one process, joined by a network that delays and
// loses messages. Only what the decisions see is modelled.
package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
)

// rpcOverheadBytes is what one remote call adds to its two messages: HTTP/2
// frames, compressed headers, TLS records and TCP/IP headers, both ways together.
const rpcOverheadBytes = 420

// tickInterval is how often each detector is ticked.
const tickInterval = 100 * time.Millisecond

// Scenario is one run.
type Scenario struct {
	Instances  int
	Zones      int
	Seed       uint64
	Loss       float64       // probability that a message is lost
	Latency    time.Duration // one way, between any two instances
	Membership membership.Settings
	Spread     gossip.Settings
}

// event is one thing that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Traffic counts the remote calls that an instance made and their bytes.
type Traffic struct {
	Calls uint64
	Bytes uint64
}

// node is one instance.
type node struct {
	id       member.ID
	detector *membership.Detector
	board    *gossip.State
	stopped  bool
	frozen   time.Time // no event is handled before
	traffic  Traffic
	headAt   time.Time // when the last head arrived
}

// Net is the network with its instances.
type Net struct {
	scenario Scenario
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventHeap
	seq      int
	nodes    map[member.ID]*node
	order    []*node
	cut      func(from, to *node) bool

	// FalseDeaths counts the times that a running instance held another running one for dead.
	FalseDeaths int
	// DeathsSeen records when each instance held a stopped one for dead.
	DeathsSeen map[member.ID][]time.Duration
	stoppedAt  map[member.ID]time.Time
}

// NewNet returns a network in which all instances know one another.
func NewNet(s Scenario) *Net {
	n := &Net{
		scenario:   s,
		random:     rand.New(rand.NewPCG(s.Seed, uint64(s.Instances))),
		start:      time.Unix(1_800_000_000, 0),
		nodes:      make(map[member.ID]*node),
		DeathsSeen: make(map[member.ID][]time.Duration),
		stoppedAt:  make(map[member.ID]time.Time),
	}
	n.now = n.start
	var all []member.Member
	for i := range s.Instances {
		all = append(all, member.Member{
			ID:          member.ID(fmt.Sprintf("i-%04d", i)),
			Address:     fmt.Sprintf("10.0.%d.%d:7700", i/250, i%250),
			Zone:        bundle.Zone(fmt.Sprintf("zone-%d", i%s.Zones)),
			Incarnation: member.NewIncarnation(n.start),
			State:       member.Alive,
		})
	}
	for _, self := range all {
		n.add(self, all)
	}
	return n
}

func (n *Net) add(self member.Member, known []member.Member) *node {
	random := rand.New(rand.NewPCG(n.scenario.Seed, n.random.Uint64()))
	added := &node{
		id:       self.ID,
		detector: membership.New(n.scenario.Membership, self, random),
		board:    gossip.NewState(n.scenario.Spread),
	}
	added.detector.Start(n.now)
	for _, m := range known {
		added.detector.Table().Merge(n.now, m)
	}
	n.nodes[self.ID] = added
	n.order = append(n.order, added)
	n.after(time.Duration(random.Int64N(int64(tickInterval))), func() { n.tick(added) })
	return added
}

func (n *Net) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.now.Add(d), seq: n.seq, run: run})
}

// Run advances virtual time by d.
func (n *Net) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// whenAwake runs f now, or when the node thaws. Stopped nodes run nothing.
func (n *Net) whenAwake(at *node, f func()) {
	if at.stopped {
		return
	}
	if wait := at.frozen.Sub(n.now); wait > 0 {
		n.after(wait, func() { n.whenAwake(at, f) })
		return
	}
	f()
}

func (n *Net) tick(at *node) {
	n.whenAwake(at, func() {
		n.perform(at, at.detector.Tick(n.now))
		n.note(at)
		n.pushUrgent(at, at.id)
		n.after(tickInterval, func() { n.tick(at) })
	})
}

func (n *Net) perform(at *node, actions []membership.Action) {
	for _, a := range actions {
		switch a.Kind {
		case membership.ActionProbe:
			n.probe(at, a.Target, func() {})
		case membership.ActionIndirectProbe:
			n.probeVia(at, a)
		}
	}
}

// note records the changes of state that an instance has seen.
func (n *Net) note(at *node) {
	for _, c := range at.detector.TakeChanges() {
		if c.Member.State != member.Dead {
			continue
		}
		stopped, isStopped := n.stoppedAt[c.Member.ID]
		if isStopped {
			n.DeathsSeen[c.Member.ID] = append(n.DeathsSeen[c.Member.ID], n.now.Sub(stopped))
			continue
		}
		n.FalseDeaths++
	}
}

// send delivers a message unless it is lost or the path is cut.
func (n *Net) send(from, to *node, deliver func()) {
	if n.random.Float64() < n.scenario.Loss || (n.cut != nil && n.cut(from, to)) {
		return
	}
	n.after(n.scenario.Latency, func() { n.whenAwake(to, deliver) })
}

func (n *Net) updates(from *node, to member.ID) *pb.Updates {
	return peercodec.EncodeUpdates(from.detector.Piggyback(to), from.board.NextBatch(n.now))
}

func (n *Net) probe(from *node, target member.Member, answered func()) {
	to, ok := n.nodes[target.ID]
	if !ok {
		return
	}
	request := &pb.ProbeRequest{Time: &pb.Timestamp{WallMillis: n.now.UnixMilli()}, Sender: string(from.id), Updates: n.updates(from, target.ID)}
	from.traffic.Calls++
	from.traffic.Bytes += uint64(proto.Size(request)) + rpcOverheadBytes
	n.send(from, to, func() {
		n.receive(to, from.id, request.GetUpdates())
		response := &pb.ProbeResponse{Time: request.GetTime(), Updates: n.updates(to, from.id)}
		to.traffic.Bytes += uint64(proto.Size(response))
		n.send(to, from, func() {
			from.detector.OnAck(n.now, to.id)
			n.receive(from, to.id, response.GetUpdates())
			answered()
		})
	})
}

func (n *Net) probeVia(from *node, a membership.Action) {
	via, ok := n.nodes[a.Via.ID]
	if !ok {
		return
	}
	from.traffic.Calls++
	from.traffic.Bytes += rpcOverheadBytes
	n.send(from, via, func() {
		isAnswered := false
		n.probe(via, a.Target, func() {
			isAnswered = true
			n.send(via, from, func() { from.detector.OnAck(n.now, a.Target.ID) })
		})
		n.after(a.Timeout, func() {
			if !isAnswered {
				n.send(via, from, func() { from.detector.OnNack(a.Target.ID) })
			}
		})
	})
}

// receive takes in updates and passes on fresh news at once.
func (n *Net) receive(at *node, from member.ID, updates *pb.Updates) {
	at.detector.OnUpdates(n.now, peercodec.DecodeMembers(updates.GetMembers()))
	n.note(at)
	batch := peercodec.DecodeNews(updates)
	fresh := at.board.Merge(n.now, batch)
	if at.board.SetHead(batch.Head) {
		at.headAt = n.now
		fresh.Head = batch.Head
	}
	if !fresh.IsEmpty() {
		n.push(at, from)
		return
	}
	n.pushUrgent(at, from)
}

// pushUrgent passes on what the detector holds for urgent.
func (n *Net) pushUrgent(at *node, except member.ID) {
	if at.detector.TakeUrgent() {
		n.push(at, except)
	}
}

// push sends the news at once to all neighbours but the one that it came from.
func (n *Net) push(at *node, except member.ID) {
	for _, m := range at.detector.Neighbours() {
		if m.ID != except {
			n.probe(at, m, func() {})
		}
	}
}

// Stop kills the i-th instance.
func (n *Net) Stop(i int) {
	n.order[i].stopped = true
	n.stoppedAt[n.order[i].id] = n.now
}

// Freeze pauses the i-th instance for d.
func (n *Net) Freeze(i int, d time.Duration) { n.order[i].frozen = n.now.Add(d) }

// Cut sets which paths lose every message. Nil heals all.
func (n *Net) Cut(isCut func(from, to int) bool) {
	if isCut == nil {
		n.cut = nil
		return
	}
	index := make(map[*node]int, len(n.order))
	for i, at := range n.order {
		index[at] = i
	}
	n.cut = func(from, to *node) bool { return isCut(index[from], index[to]) }
}

// Accept puts a new bundle head in force at the i-th instance.
func (n *Net) Accept(i int, generation bundle.Generation) {
	at := n.order[i]
	at.board.SetHead(news.Head{Generation: generation, Manifest: news.Hash{1}})
	at.headAt = n.now
	n.push(at, at.id)
}

// HeadDelays returns how long after since each running instance had the generation.
// Instances without it are counted in missing.
func (n *Net) HeadDelays(generation bundle.Generation, since time.Time) (delays []time.Duration, missing int) {
	for _, at := range n.order {
		if at.stopped {
			continue
		}
		if at.board.Snapshot(n.now).Head.Generation < generation {
			missing++
			continue
		}
		delays = append(delays, at.headAt.Sub(since))
	}
	return delays, missing
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// TotalTraffic returns the sum over all instances.
func (n *Net) TotalTraffic() Traffic {
	var total Traffic
	for _, at := range n.order {
		total.Calls += at.traffic.Calls
		total.Bytes += at.traffic.Bytes
	}
	return total
}

// Disagreement returns the number of pairs in which a running instance holds
// another running one for not usable, or does not know it.
func (n *Net) Disagreement() int {
	count := 0
	for _, a := range n.order {
		for _, b := range n.order {
			if a.stopped || b.stopped {
				continue
			}
			r, known := a.detector.Table().Get(b.id)
			if !known || !r.IsUsable() {
				count++
			}
		}
	}
	return count
}
