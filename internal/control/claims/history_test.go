package claims

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
)

// defaultSeedCount is the number of histories that a test run checks. The environment
// variable ORDERS_SEEDS overrides it, and ORDERS_FIRST_SEED overrides the first seed.
const defaultSeedCount = 12

func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	return numberFrom(t, "ORDERS_FIRST_SEED", 1), numberFrom(t, "ORDERS_SEEDS", defaultSeedCount)
}

// numberFrom returns the number in an environment variable, or the fallback if the
// variable is empty.
func numberFrom(t *testing.T, variable string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// fault is a kind of fault that a history injects. The function that start returns
// ends the fault.
type fault struct {
	name  string
	start func(h *history) (end func())
}

// history is one seeded run of callers while faults are injected.
type history struct {
	cluster     *cluster
	upstream    *upstream
	model       *model
	faultCounts map[string]int
}

func (h *history) randomNode() *node {
	return h.cluster.nodes[fmt.Sprintf("i%03d", h.cluster.randomIntN(len(h.cluster.nodes)))]
}

// liveNodeCount returns the number of instances whose control process is running.
func (h *history) liveNodeCount() int {
	live := 0
	for _, n := range h.cluster.nodes {
		if !n.isDead() {
			live++
		}
	}
	return live
}

// maxViewLag is the maximum time until an instance learns of a change of members.
const maxViewLag = 5 * time.Second

func allFaults() []fault {
	return []fault{
		{"kill", func(h *history) func() {
			n := h.randomNode()
			if n.isDead() || h.liveNodeCount() < 3 {
				return func() {}
			}
			n.kill()
			h.model.recordKill(n)
			h.cluster.publishMembers(maxViewLag)
			return func() {
				n.startControl()
				n.startEntry()
				h.cluster.publishMembers(maxViewLag)
			}
		}},
		{"kill control", func(h *history) func() {
			n := h.randomNode()
			if n.isDead() || h.liveNodeCount() < 3 {
				return func() {}
			}
			n.killControl()
			h.cluster.publishMembers(maxViewLag)
			return func() {
				n.startControl()
				h.cluster.publishMembers(maxViewLag)
			}
		}},
		{"freeze", func(h *history) func() {
			n := h.randomNode()
			n.freeze()
			return n.thaw
		}},
		{"outage", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{Outage: true})
			return func() { h.cluster.store.SetFaults(objectapi.Faults{}) }
		}},
		{"lost answers", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{LoseAnswers: 1 + h.cluster.randomIntN(10)})
			return func() {}
		}},
		{"late writes", func(h *history) func() {
			delay := time.Duration(h.cluster.randomIntN(int(5 * time.Second)))
			h.randomNode().link.SetFaults(objectapi.LinkFaults{LateWrites: 1 + h.cluster.randomIntN(4), LateBy: delay})
			return func() {}
		}},
		{"stale reads", func(h *history) func() {
			n := h.randomNode()
			n.link.SetFaults(objectapi.LinkFaults{Stale: true})
			return func() { n.link.SetFaults(objectapi.LinkFaults{}) }
		}},
		{"cut from store", func(h *history) func() {
			n := h.randomNode()
			n.link.SetFaults(objectapi.LinkFaults{Cut: true})
			return func() { n.link.SetFaults(objectapi.LinkFaults{}) }
		}},
		{"slow store", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{Delay: 700 * time.Millisecond})
			return func() { h.cluster.store.SetFaults(objectapi.Faults{}) }
		}},
	}
}

// injectFaults injects random faults, which may overlap, until the given time. It
// returns when all faults have ended.
func (h *history) injectFaults(until time.Time) {
	list := allFaults()
	for time.Now().Before(until) {
		d := list[h.cluster.randomIntN(len(list))]
		end := d.start(h)
		h.faultCounts[d.name]++
		length := time.Duration(h.cluster.randomIntN(int(12 * time.Second)))
		h.cluster.goRun(func() {
			time.Sleep(length)
			end()
		})
		time.Sleep(time.Duration(h.cluster.randomIntN(int(3 * time.Second))))
	}
	time.Sleep(12 * time.Second) // all faults have ended
}

// sendOrder sends one order and its resends, some of them at the same time, some
// later and some with another body.
func (h *history) sendOrder(key string) {
	resend := func(body string) callerOutcome {
		return h.upstream.request(h.randomNode(), h.model.newAttempt(key, body))
	}
	if h.cluster.randomFloat() < 0.3 {
		h.cluster.goRun(func() { resend("book") })
	}
	if h.cluster.randomFloat() < 0.05 {
		h.cluster.goRun(func() {
			time.Sleep(5 * time.Second)
			resend("cancel")
		})
	}
	for range 6 {
		t := resend("book")
		if t == outcomeRan && h.cluster.randomFloat() < 0.7 {
			return
		}
		time.Sleep(time.Duration(h.cluster.randomIntN(int(4 * time.Second))))
	}
}

// TestHistoriesRunOrdersAtMostOnce guards against orders that run twice, and against
// answers to callers that contradict what ran. It checks seeded histories of orders
// and resends in a cluster with kills, freezes and faults of the store.
func TestHistoriesRunOrdersAtMostOnce(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

const (
	historyDuration = 40 * time.Second
	orderInterval   = 100 * time.Millisecond
)

func runHistory(t *testing.T, seed uint64) {
	settings := testSettings()
	settings.Shards, settings.ActiveKiB, settings.SegmentKiB, settings.WritesPerSecond = 4, 1, 16, 20
	limits := objectapi.Limits{WritesPerSecond: 60}
	if seed%4 == 0 {
		settings.MaxRecords = 60 // so that the journal fills up
	}
	c := newCluster(t, 5, seed, settings, limits)
	c.setLostReplies(0.02)
	m := newModel()
	h := &history{cluster: c, model: m, upstream: &upstream{cluster: c, model: m}, faultCounts: make(map[string]int)}
	until := time.Now().Add(historyDuration)
	c.goRun(func() { h.injectFaults(until) })
	for i := 0; time.Now().Before(until); i++ {
		c.goRun(func() { h.sendOrder(strconv.Itoa(i)) })
		time.Sleep(orderInterval)
	}
	time.Sleep(2 * time.Minute) // callers, upstreams and faults end
	c.setLostReplies(0)
	unknown := h.upstream.verify(t, c.nodes["i000"])
	m.check()
	t.Logf("seed %d: %d requests, %d orders ran, %d unknown of %d in flight at a kill, %d refused by a full journal, slowest refusal %v, %d refused after an earlier request had run, %v",
		seed, len(m.attempts), len(m.runs), unknown, len(m.inFlightAtKill), m.journalFullRefusals, m.slowestRefusal, m.refusalsAfterRun(), h.faultCounts)
	for _, v := range m.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
}
