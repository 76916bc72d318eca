package cells_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/control/cells"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

// Size, duration and fault rate of a simulation.
const (
	simulationSeeds = 20
	simulatedNodes  = 6
	simulatedCells  = 3
	publishTime     = 2 * time.Minute
	convergenceTime = time.Minute
	compareInterval = 10 * time.Second
	maxMessageDelay = 3 * time.Second
	faultsPercent   = 20
)

var errLost = errors.New("message lost")

// simulation is a group of instances that publish and fetch over a network that loses,
// duplicates and reorders messages and partitions into halves. Instances are restarted.
type simulation struct {
	t  *testing.T
	mu sync.Mutex // guards all fields below except the nodes' stores

	random    *rand.Rand
	nodes     []*node
	published map[news.CellHead][]replica.Replica
	split     bool
	faulty    bool
	wholes    int // number of cells that were fetched whole
	deltas    int
}

// node is one instance. It is the Fetcher and the Broadcaster of its store.
type node struct {
	*simulation
	index      int
	store      atomic.Pointer[cells.Store]
	stop       context.CancelFunc
	seen       map[news.CellID]uint64
	lastAnswer []replica.Delta // the previous answer, which may arrive again
}

// newSimulation starts the instances.
func newSimulation(ctx context.Context, t *testing.T, seed uint64) *simulation {
	h := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)),
		published: make(map[news.CellHead][]replica.Replica),
	}
	for i := range simulatedNodes {
		h.nodes = append(h.nodes, &node{simulation: h, index: i})
	}
	for _, n := range h.nodes {
		n.restart(ctx)
	}
	return h
}

func (n *node) self() member.Member { return member.Member{ID: member.ID(fmt.Sprint(n.index))} }

// restart replaces the node's store by an empty one.
func (n *node) restart(ctx context.Context) {
	if n.stop != nil {
		n.stop()
	}
	ctx, n.stop = context.WithCancel(ctx)
	store := cells.New(zerolog.Nop())
	n.mu.Lock()
	n.store.Store(store)
	n.seen, n.lastAnswer = make(map[news.CellID]uint64), nil
	n.mu.Unlock()
	go func() { _ = store.Run(ctx, n, n) }()
}

func (h *simulation) isLost(a, b int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isCut := h.split && a%2 != b%2
	return isCut || (h.faulty && h.random.IntN(100) < faultsPercent)
}

// randomBelow returns a random number below n.
func (h *simulation) randomBelow(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// setFaults sets whether the halves are partitioned, and whether messages are lost and delayed.
func (h *simulation) setFaults(split, faulty bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.split, h.faulty = split, faulty
}

func (h *simulation) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.faulty {
		return time.Millisecond
	}
	return time.Duration(h.random.Int64N(int64(maxMessageDelay)))
}

// Offer implements cells.Broadcaster. Each message may be lost, delayed or duplicated.
func (n *node) Offer(ctx context.Context, batch news.Batch) error {
	n.check(batch.Cells)
	for _, to := range n.nodes {
		for range 1 + n.randomBelow(2) {
			if to == n || n.isLost(n.index, to.index) {
				continue
			}
			wait := n.delay()
			go func() {
				if !pause.For(ctx, wait) {
					return
				}
				for _, head := range batch.Cells {
					to.store.Load().OfferCell(head, n.self())
				}
			}()
		}
	}
	return nil
}

// FetchCellsFrom implements cells.Fetcher. An answer may be delayed or lost, or may contain
// the previous answer again.
func (n *node) FetchCellsFrom(ctx context.Context, from member.Member, known []news.CellHead, others bool) ([]replica.Delta, error) {
	source := n.nodes[int(from.ID[0]-'0')]
	if n.isLost(n.index, source.index) || !pause.For(ctx, n.delay()/2) {
		return nil, errLost
	}
	answer := source.store.Load().Since(known, others)
	if !pause.For(ctx, n.delay()/2) || n.isLost(n.index, source.index) {
		return nil, errLost
	}
	return n.countAndDuplicate(answer), nil
}

// countAndDuplicate counts the cells of an answer and at random appends the previous answer.
func (n *node) countAndDuplicate(answer []replica.Delta) []replica.Delta {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range answer {
		if d.IsFull() {
			n.wholes++
		} else {
			n.deltas++
		}
	}
	before := n.lastAnswer
	n.lastAnswer = answer
	if n.faulty && n.random.IntN(100) < faultsPercent {
		answer = slices.Concat(answer, before)
	}
	return answer
}

// count returns how many cells were fetched whole and how many as deltas. If reset is true, it
// sets both counts to zero.
func (h *simulation) count(reset bool) (wholes, deltas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wholes, deltas = h.wholes, h.deltas
	if reset {
		h.wholes, h.deltas = 0, 0
	}
	return wholes, deltas
}

// check checks that the stored cells of an instance equal the published ones and that no version
// decreased.
func (n *node) check(heads []news.CellHead) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, head := range heads {
		cell, ok := n.store.Load().Cell(head.Cell)
		if !ok {
			continue // the message was sent before a restart
		}
		assert.Check(n.t, cell.Head.Version >= n.seen[head.Cell], "instance %d went back from version %d to %d", n.index, n.seen[head.Cell], cell.Head.Version)
		n.seen[head.Cell] = cell.Head.Version
		published, ok := n.published[cell.Head]
		assert.Check(n.t, ok, "version %v was never published", cell.Head)
		assert.Check(n.t, slices.Equal(published, cell.Replicas), "instance %d, %v: %v, published %v", n.index, cell.Head, cell.Replicas, published)
	}
}

// publish changes a cell like its holder: it starts from the known replicas and increases the version.
func (n *node) publish(ctx context.Context, id news.CellID) {
	store := n.store.Load()
	known, _ := store.Cell(id)
	if next, ok := n.nextVersion(id, known); ok {
		assert.NilError(n.t, store.Publish(ctx, next, n))
	}
}

// nextVersion returns a changed cell and records it as published, or false if the version is taken.
func (n *node) nextVersion(id news.CellID, known replica.Cell) (replica.Cell, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := replica.Cell{Head: news.CellHead{Cell: id}}
	for _, r := range known.Replicas {
		if n.random.IntN(30) > 0 {
			next.Replicas = append(next.Replicas, r)
		}
	}
	added := replica.Replica{Upstream: bundle.UpstreamID(fmt.Sprint("e", n.random.IntN(10))), Model: bundle.ModelID(fmt.Sprint("m", n.random.IntN(8))), Ready: true}
	if !slices.Contains(next.Replicas, added) {
		next.Replicas = append(next.Replicas, added)
	}
	replica.Sort(next.Replicas)
	next.Head.Version = max(known.Head.Version+1, uint64(time.Now().UnixMilli()))
	if _, isTaken := n.published[next.Head]; isTaken {
		return next, false // two holders that publish in the same millisecond are not simulated
	}
	n.published[next.Head] = next.Replicas
	return next, true
}

// compareWithRandomPeer offers all cells of another instance if its heads differ, as the
// comparison of digests does.
func (n *node) compareWithRandomPeer() {
	other := n.nodes[n.randomBelow(len(n.nodes))]
	if other != n && !n.isLost(n.index, other.index) && !slices.Equal(n.store.Load().Heads(), other.store.Load().Heads()) {
		n.store.Load().OfferAll(other.self())
	}
}

// run runs the simulation for a time. During a partition, each half has its own holder.
func (h *simulation) run(ctx context.Context, d time.Duration, publishing bool) {
	end := time.Now().Add(d)
	for step := 0; time.Now().Before(end); step++ {
		time.Sleep(time.Duration(50+h.randomBelow(400)) * time.Millisecond)
		if publishing {
			holder := step / 40 % len(h.nodes) // each instance holds the cells for a while
			h.nodes[(holder+h.randomBelow(2))%len(h.nodes)].publish(ctx, news.CellID(fmt.Sprint("c", h.randomBelow(simulatedCells))))
			if h.randomBelow(100) == 0 {
				h.nodes[h.randomBelow(len(h.nodes))].restart(ctx)
			}
			h.setFaults(step/60%3 == 1, true)
		}
		if step%int(compareInterval/(250*time.Millisecond)) == 0 {
			for _, n := range h.nodes {
				n.compareWithRandomPeer()
			}
		}
	}
}

// newestHeads returns the newest heads that any instance has. A version is missing if its holder
// restarted before any other instance fetched it.
func (h *simulation) newestHeads() []news.CellHead {
	newestHeads := make(map[news.CellID]news.CellHead)
	for _, n := range h.nodes {
		for _, head := range n.store.Load().Heads() {
			if head.Version > newestHeads[head.Cell].Version {
				newestHeads[head.Cell] = head
			}
		}
	}
	var heads []news.CellHead
	for _, id := range slices.Sorted(maps.Keys(newestHeads)) {
		heads = append(heads, newestHeads[id])
	}
	return heads
}

// Messages are lost, duplicated and delayed, and instances restart. No instance may hold replicas
// that were not published under their version or go back to an older version, and all instances
// must agree in the end.
func TestReplicasConvergeUnderRandomFaults(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				h := newSimulation(ctx, t, seed)
				h.setFaults(false, true)
				h.run(ctx, publishTime, true)
				h.setFaults(false, false)
				want := h.newestHeads()
				h.run(ctx, convergenceTime, false)
				for _, n := range h.nodes {
					assert.DeepEqual(t, n.store.Load().Heads(), want)
					n.check(want)
				}
				wholes, deltas := h.count(false)
				assert.Assert(t, deltas > 0 && wholes > 0, "%d deltas, %d whole cells", deltas, wholes)
			})
		})
	}
}

// Without faults an instance fetches each cell whole only once and after that only its changes.
// Changes in quick succession are fetched together.
func TestChangesAreFetchedAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h := newSimulation(ctx, t, 1)
		const changes, warmUp = 100, 20
		for step := range warmUp + changes {
			if step == warmUp {
				h.count(true)
			}
			h.nodes[0].publish(ctx, "c0")
			time.Sleep(3 * time.Second)
		}
		wholes, deltas := h.count(true)
		assert.Equal(t, wholes, 0)
		assert.Equal(t, deltas, changes*(simulatedNodes-1))
		for range changes {
			h.nodes[0].publish(ctx, "c0")
			time.Sleep(100 * time.Millisecond)
		}
		wholes, deltas = h.count(false)
		most := (changes/20 + 1) * (simulatedNodes - 1) // one fetch every 2 s
		assert.Assert(t, wholes+deltas <= most, "%d whole cells and %d deltas, bound %d", wholes, deltas, most)
	})
}
