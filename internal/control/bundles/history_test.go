package bundles

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
)

const (
	historySeeds = 20
	historySteps = 60
)

// history is a seeded schedule of approvals and failures over some instances.
type history struct {
	*bench
	random *rand.Rand
	valid  bundle.Generation // latest generation with enough signatures
}

// Any schedule of approvals, fallbacks, badly signed bundles, store outages, cut and
// stale paths, slow answers and restarts leaves no process that reverts, brings no badly
// signed bundle into force, and ends with all at the latest valid generation.
func TestHistoriesNeverRevert(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, func(_ *testing.T, b *bench) {
				h := history{bench: b, random: rand.New(rand.NewPCG(seed, 0))}
				for n := range 5 {
					b.start(n < 2, objectapi.LinkFaults{})
				}
				for range historySteps {
					h.step()
					h.gossip(time.Duration(h.random.IntN(3))*time.Second, h.reachable()...)
				}
				h.heal()
				h.gossip(inForceWithin, h.instances...)
				h.wantGeneration(h.valid, h.instances...)
			})
		})
	}
}

// reachable returns the instances that exchange heads at present.
func (h *history) reachable() []*instance {
	var some []*instance
	for _, i := range h.instances {
		if h.random.IntN(4) > 0 {
			some = append(some, i)
		}
	}
	return some
}

func (h *history) step() {
	i := h.instances[h.random.IntN(len(h.instances))]
	switch h.random.IntN(10) {
	case 0, 1:
		h.approveAny("anna", "babis")
		h.valid = h.latest()
	case 2:
		h.approveAny("anna")
	case 3:
		h.memory.SetFaults(objectapi.Faults{Outage: h.random.IntN(2) == 0})
	case 4, 5:
		i.link.SetFaults(objectapi.LinkFaults{Cut: true})
	case 6:
		i.link.SetFaults(objectapi.LinkFaults{Stale: true})
	case 7:
		i.link.SetFaults(objectapi.LinkFaults{Delay: time.Duration(h.random.IntN(4000)) * time.Millisecond})
	case 8:
		i.link.SetFaults(objectapi.LinkFaults{})
	case 9:
		h.restart(i)
	}
}

// approveAny approves new or old content. Operators wait for an outage to end.
func (h *history) approveAny(signers ...approval.Operator) {
	h.memory.SetFaults(objectapi.Faults{})
	h.approve(testBundle(fmt.Sprint(h.random.IntN(6))), signers...)
}

func (h *history) latest() bundle.Generation {
	pointer, err := h.store.Pointer(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	return pointer.Approval.Generation
}

// restart replaces an instance. Its successor asks one that runs, as by the peer
// protocol, before it may trust its path to the store.
func (h *history) restart(old *instance) {
	n := 0
	for h.instances[n] != old {
		n++
	}
	h.stopInstance(old)
	watching, _ := old.watchState()
	successor := h.startOn(old.link, watching)
	h.instances = h.instances[:len(h.instances)-1]
	h.instances[n] = successor
	for _, other := range h.instances {
		if other != successor {
			successor.Offer(other.Head(), other)
		}
	}
	successor.OnPeersAnswered()
}

func (h *history) heal() {
	h.memory.SetFaults(objectapi.Faults{})
	for _, i := range h.instances {
		i.link.SetFaults(objectapi.LinkFaults{})
	}
}
