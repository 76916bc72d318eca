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
	scheduleSeeds = 20
	scheduleSteps = 60
)

// schedule generates a random sequence of approvals and failures for some instances.
type schedule struct {
	*cluster
	random *rand.Rand
	valid  bundle.Generation // latest generation with enough signatures
}

// Runs random schedules of approvals, fallbacks, bundles with too few signatures, store
// outages, cut and stale links, slow answers and restarts. No instance may go back to an
// earlier generation or put a badly signed bundle in force, and all must end at the
// latest valid generation.
func TestRandomSchedulesNeverRevert(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withVirtualTime(t, func(_ *testing.T, b *cluster) {
				h := schedule{cluster: b, random: rand.New(rand.NewPCG(seed, 0))}
				for n := range 5 {
					b.start(n < 2, objectapi.LinkFaults{})
				}
				for range scheduleSteps {
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

// reachable returns a random subset of the instances, which exchange heads in this step.
func (h *schedule) reachable() []*instance {
	var some []*instance
	for _, i := range h.instances {
		if h.random.IntN(4) > 0 {
			some = append(some, i)
		}
	}
	return some
}

// step applies one random approval, fault or restart.
func (h *schedule) step() {
	i := h.instances[h.random.IntN(len(h.instances))]
	switch h.random.IntN(10) {
	case 0, 1:
		h.approveAny("anna", "babis")
		h.valid = h.latest()
	case 2:
		h.approveAny("anna")
	case 3:
		h.objects.SetFaults(objectapi.Faults{Outage: h.random.IntN(2) == 0})
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

// approveAny approves new or old content. It ends an outage first, as operators would
// wait for its end.
func (h *schedule) approveAny(signers ...approval.Operator) {
	h.objects.SetFaults(objectapi.Faults{})
	h.approve(testBundle(fmt.Sprint(h.random.IntN(6))), signers...)
}

// latest returns the generation of the pointer.
func (h *schedule) latest() bundle.Generation {
	pointer, err := h.store.Pointer(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	return pointer.Approval.Generation
}

// restart replaces an instance by a successor with the same link. The successor gets the
// heads of the running instances first, as in the peer protocol, because its link to the
// store may be stale.
func (h *schedule) restart(old *instance) {
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

// heal ends all faults of the store and the links.
func (h *schedule) heal() {
	h.objects.SetFaults(objectapi.Faults{})
	for _, i := range h.instances {
		i.link.SetFaults(objectapi.LinkFaults{})
	}
}
