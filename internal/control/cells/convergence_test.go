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

// Size and times of a history.
const (
	historySeeds  = 20
	historyNodes  = 6
	historyCells  = 3
	historyTime   = 2 * time.Minute
	healTime      = time.Minute
	compareDelay  = 10 * time.Second
	longestDelay  = 3 * time.Second
	faultsPercent = 20
)

var errLost = errors.New("message lost")

// history is a group of instances that publish and fetch over a path that loses,
// doubles and reorders messages, splits in halves, and restarts instances.
type history struct {
	t  *testing.T
	mu sync.Mutex // guards all below but the nodes' stores

	random    *rand.Rand
	nodes     []*node
	published map[news.CellHead][]replica.Replica
	split     bool
	faulty    bool
	wholes    int // fetched cells that were whole
	deltas    int
}

// node is one instance. It is the fetcher and the spreader of its store.
type node struct {
	*history
	index int
	store atomic.Pointer[cells.Store]
	stop  context.CancelFunc
	seen  map[news.CellID]uint64
	late  []replica.Delta // an answer that may arrive again
}

// newHistory starts the instances.
func newHistory(ctx context.Context, t *testing.T, seed uint64) *history {
	h := &history{
		t: t, random: rand.New(rand.NewPCG(seed, 1)),
		published: make(map[news.CellHead][]replica.Replica),
	}
	for i := range historyNodes {
		h.nodes = append(h.nodes, &node{history: h, index: i})
	}
	for _, n := range h.nodes {
		n.restart(ctx)
	}
	return h
}

func (n *node) self() member.Member { return member.Member{ID: member.ID(fmt.Sprint(n.index))} }

// restart replaces the store by an empty one.
func (n *node) restart(ctx context.Context) {
	if n.stop != nil {
		n.stop()
	}
	ctx, n.stop = context.WithCancel(ctx)
	store := cells.New(zerolog.Nop())
	n.mu.Lock()
	n.store.Store(store)
	n.seen, n.late = make(map[news.CellID]uint64), nil
	n.mu.Unlock()
	go func() { _ = store.Run(ctx, n, n) }()
}

func (h *history) isLost(a, b int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isCut := h.split && a%2 != b%2
	return isCut || (h.faulty && h.random.IntN(100) < faultsPercent)
}

// draw returns a number below n.
func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// setFaults sets whether the halves are cut off from one another and whether messages suffer.
func (h *history) setFaults(split, faulty bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.split, h.faulty = split, faulty
}

func (h *history) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.faulty {
		return time.Millisecond
	}
	return time.Duration(h.random.Int64N(int64(longestDelay)))
}

// Offer implements cells.Spreader: each message is lost, late or doubled.
func (n *node) Offer(ctx context.Context, batch news.Batch) error {
	n.check(batch.Cells)
	for _, to := range n.nodes {
		for range 1 + n.draw(2) {
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

// FetchCellsFrom implements cells.Fetcher. Answers come late, not at all, or an
// earlier one comes again.
func (n *node) FetchCellsFrom(ctx context.Context, from member.Member, known []news.CellHead, others bool) ([]replica.Delta, error) {
	source := n.nodes[int(from.ID[0]-'0')]
	if n.isLost(n.index, source.index) || !pause.For(ctx, n.delay()/2) {
		return nil, errLost
	}
	answer := source.store.Load().Since(known, others)
	if !pause.For(ctx, n.delay()/2) || n.isLost(n.index, source.index) {
		return nil, errLost
	}
	return n.repeat(answer), nil
}

// repeat counts an answer and adds now and then what came before.
func (n *node) repeat(answer []replica.Delta) []replica.Delta {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range answer {
		if d.IsWhole() {
			n.wholes++
		} else {
			n.deltas++
		}
	}
	before := n.late
	n.late = answer
	if n.faulty && n.random.IntN(100) < faultsPercent {
		answer = slices.Concat(answer, before)
	}
	return answer
}

// count returns how many cells were fetched whole and how many as deltas, and may start anew.
func (h *history) count(reset bool) (wholes, deltas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wholes, deltas = h.wholes, h.deltas
	if reset {
		h.wholes, h.deltas = 0, 0
	}
	return wholes, deltas
}

// check holds what an instance took in against what was published.
func (n *node) check(heads []news.CellHead) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, head := range heads {
		cell, ok := n.store.Load().Cell(head.Cell)
		if !ok {
			continue // the message is of the time before a restart
		}
		assert.Check(n.t, cell.Head.Version >= n.seen[head.Cell], "instance %d went back from %d to %d", n.index, n.seen[head.Cell], cell.Head.Version)
		n.seen[head.Cell] = cell.Head.Version
		published, ok := n.published[cell.Head]
		assert.Check(n.t, ok, "version %v was never published", cell.Head)
		assert.Check(n.t, slices.Equal(published, cell.Replicas), "instance %d, %v: %v, published %v", n.index, cell.Head, cell.Replicas, published)
	}
}

// publish changes a cell as its holder does: from what it knows, at a version above it.
func (n *node) publish(ctx context.Context, id news.CellID) {
	store := n.store.Load()
	known, _ := store.Cell(id)
	if next, ok := n.change(id, known); ok {
		assert.NilError(n.t, store.Publish(ctx, next, n))
	}
}

// change returns a changed cell and notes it as published.
func (n *node) change(id news.CellID, known replica.Cell) (replica.Cell, bool) {
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
		return next, false // two holders within one millisecond are not tried
	}
	n.published[next.Head] = next.Replicas
	return next, true
}

// compare asks another instance for all where the two differ, as the digests do.
func (n *node) compare() {
	other := n.nodes[n.draw(len(n.nodes))]
	if other != n && !n.isLost(n.index, other.index) && !slices.Equal(n.store.Load().Heads(), other.store.Load().Heads()) {
		n.store.Load().OfferAll(other.self())
	}
}

// run drives the group for a time. While split, each half has a holder of its own.
func (h *history) run(ctx context.Context, d time.Duration, publishing bool) {
	end := time.Now().Add(d)
	for step := 0; time.Now().Before(end); step++ {
		time.Sleep(time.Duration(50+h.draw(400)) * time.Millisecond)
		if publishing {
			holder := step / 40 % len(h.nodes) // each keeps the cells for a while
			h.nodes[(holder+h.draw(2))%len(h.nodes)].publish(ctx, news.CellID(fmt.Sprint("c", h.draw(historyCells))))
			if h.draw(100) == 0 {
				h.nodes[h.draw(len(h.nodes))].restart(ctx)
			}
			h.setFaults(step/60%3 == 1, true)
		}
		if step%int(compareDelay/(250*time.Millisecond)) == 0 {
			for _, n := range h.nodes {
				n.compare()
			}
		}
	}
}

// newest returns the newest heads that any instance has. A version that went with a restart
// of its holder before anyone fetched it is not among them.
func (h *history) newest() []news.CellHead {
	newest := make(map[news.CellID]news.CellHead)
	for _, n := range h.nodes {
		for _, head := range n.store.Load().Heads() {
			if head.Version > newest[head.Cell].Version {
				newest[head.Cell] = head
			}
		}
	}
	var heads []news.CellHead
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		heads = append(heads, newest[id])
	}
	return heads
}

// Whatever is lost, doubled or late, no instance ever holds replicas that were not
// published under their version, none goes back, and all agree in the end.
func TestReplicasConvergeInHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				h := newHistory(ctx, t, seed)
				h.setFaults(false, true)
				h.run(ctx, historyTime, true)
				h.setFaults(false, false)
				want := h.newest()
				h.run(ctx, healTime, false)
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

// Without faults an instance fetches each cell whole once, and then changes only. Changes that
// come fast are fetched together.
func TestChangesAreFetchedAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h := newHistory(ctx, t, 1)
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
		assert.Equal(t, deltas, changes*(historyNodes-1))
		for range changes {
			h.nodes[0].publish(ctx, "c0")
			time.Sleep(100 * time.Millisecond)
		}
		wholes, deltas = h.count(false)
		most := (changes/20 + 1) * (historyNodes - 1) // a fetch every 2 s
		assert.Assert(t, wholes+deltas <= most, "%d whole cells and %d deltas, bound %d", wholes, deltas, most)
	})
}
