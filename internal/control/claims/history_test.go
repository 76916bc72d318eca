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

// historySeeds is how many histories a run of the tests makes. The environment
// variable ORDERS_SEEDS replaces it, and ORDERS_FIRST_SEED the first seed.
const historySeeds = 12

func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	return numberFrom(t, "ORDERS_FIRST_SEED", 1), numberFrom(t, "ORDERS_SEEDS", historySeeds)
}

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

// disturbance is one fault that a history brings about. It returns its end.
type disturbance struct {
	name  string
	start func(h *history) (end func())
}

// history is one seeded run of callers under disturbances.
type history struct {
	cluster  *cluster
	upstream *upstream
	model    *model
	counts   map[string]int
}

func (h *history) anyNode() *node {
	return h.cluster.nodes[fmt.Sprintf("i%03d", h.cluster.intN(len(h.cluster.nodes)))]
}

// aliveNodes counts the instances whose control process runs.
func (h *history) aliveNodes() int {
	alive := 0
	for _, n := range h.cluster.nodes {
		if !n.isDead() {
			alive++
		}
	}
	return alive
}

const maxViewLag = 5 * time.Second

func disturbances() []disturbance {
	return []disturbance{
		{"kill", func(h *history) func() {
			n := h.anyNode()
			if n.isDead() || h.aliveNodes() < 3 {
				return func() {}
			}
			n.kill()
			h.model.killed(n)
			h.cluster.publish(maxViewLag)
			return func() {
				n.startControl()
				n.startEntry()
				h.cluster.publish(maxViewLag)
			}
		}},
		{"kill control", func(h *history) func() {
			n := h.anyNode()
			if n.isDead() || h.aliveNodes() < 3 {
				return func() {}
			}
			n.killControl()
			h.cluster.publish(maxViewLag)
			return func() {
				n.startControl()
				h.cluster.publish(maxViewLag)
			}
		}},
		{"freeze", func(h *history) func() {
			n := h.anyNode()
			n.freeze()
			return n.thaw
		}},
		{"outage", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{Outage: true})
			return func() { h.cluster.store.SetFaults(objectapi.Faults{}) }
		}},
		{"lost answers", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{LoseAnswers: 1 + h.cluster.intN(10)})
			return func() {}
		}},
		{"late writes", func(h *history) func() {
			late := time.Duration(h.cluster.intN(int(5 * time.Second)))
			h.anyNode().link.SetFaults(objectapi.LinkFaults{LateWrites: 1 + h.cluster.intN(4), LateBy: late})
			return func() {}
		}},
		{"stale reads", func(h *history) func() {
			n := h.anyNode()
			n.link.SetFaults(objectapi.LinkFaults{Stale: true})
			return func() { n.link.SetFaults(objectapi.LinkFaults{}) }
		}},
		{"cut from store", func(h *history) func() {
			n := h.anyNode()
			n.link.SetFaults(objectapi.LinkFaults{Cut: true})
			return func() { n.link.SetFaults(objectapi.LinkFaults{}) }
		}},
		{"slow store", func(h *history) func() {
			h.cluster.store.SetFaults(objectapi.Faults{Delay: 700 * time.Millisecond})
			return func() { h.cluster.store.SetFaults(objectapi.Faults{}) }
		}},
	}
}

// disturb brings about faults until the end of the history, alone and together.
func (h *history) disturb(until time.Time) {
	list := disturbances()
	for time.Now().Before(until) {
		d := list[h.cluster.intN(len(list))]
		end := d.start(h)
		h.counts[d.name]++
		lasting := time.Duration(h.cluster.intN(int(12 * time.Second)))
		h.cluster.goRun(func() {
			time.Sleep(lasting)
			end()
		})
		time.Sleep(time.Duration(h.cluster.intN(int(3 * time.Second))))
	}
	time.Sleep(12 * time.Second) // all ends are past
}

// call sends one order and its resends: some at the same moment, some later,
// some with another body.
func (h *history) call(key string) {
	resend := func(body string) told {
		return h.upstream.request(h.anyNode(), h.model.newAttempt(key, body))
	}
	if h.cluster.float() < 0.3 {
		h.cluster.goRun(func() { resend("book") })
	}
	if h.cluster.float() < 0.05 {
		h.cluster.goRun(func() {
			time.Sleep(5 * time.Second)
			resend("cancel")
		})
	}
	for range 6 {
		t := resend("book")
		if t == toldRan && h.cluster.float() < 0.7 {
			return
		}
		time.Sleep(time.Duration(h.cluster.intN(int(4 * time.Second))))
	}
}

func TestHistoriesRunOrdersAtMostOnce(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

const (
	historyLength = 40 * time.Second
	orderSpacing  = 100 * time.Millisecond
)

func runHistory(t *testing.T, seed uint64) {
	settings := defaultSettings()
	settings.Shards, settings.ActiveKiB, settings.SegmentKiB, settings.WritesPerSecond = 4, 1, 16, 20
	limits := objectapi.Limits{WritesPerSecond: 60}
	if seed%4 == 0 {
		settings.MaxRecords = 60 // the journal fills up
	}
	c := newCluster(t, 5, seed, settings, limits)
	c.setLostReplies(0.02)
	m := newModel()
	h := &history{cluster: c, model: m, upstream: &upstream{cluster: c, model: m}, counts: make(map[string]int)}
	until := time.Now().Add(historyLength)
	c.goRun(func() { h.disturb(until) })
	for i := 0; time.Now().Before(until); i++ {
		c.goRun(func() { h.call(strconv.Itoa(i)) })
		time.Sleep(orderSpacing)
	}
	time.Sleep(2 * time.Minute) // callers, upstreams and disturbances end
	c.setLostReplies(0)
	unknown := h.upstream.verify(t, c.nodes["i000"])
	m.check()
	t.Logf("seed %d: %d requests, %d orders ran, %d unknown of %d in flight at a kill, %d refused by a full journal, slowest refusal %v, %d refused after an earlier request had run, %v",
		seed, len(m.attempts), len(m.runs), unknown, len(m.cut), m.full, m.slowest, m.lateRefusals(), h.counts)
	for _, v := range m.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
}
