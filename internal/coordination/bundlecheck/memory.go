package bundlecheck

import (
	"cmp"
	"slices"

	"savoryweir/internal/state/bundle"
)

// demand is one model version that must be resident on a number of engines.
type demand struct {
	model    bundle.Model
	replicas int
	isOld    bool // an old version that serves until the new one is ready
}

// free is the memory left on one engine.
type free struct {
	memory bundle.MiB
	models map[bundle.ModelID]bool // models with the same version on the engine
}

// memory checks that the models fit their engines. During the roll-out one replica of
// each replaced or removed version stays until its successor is ready and the
// requests under the old generation have ended, so both must fit together.
func (c *checker) memory(old *bundle.Bundle) {
	for _, s := range c.bundle.Services {
		if s.Kind != bundle.KindGeneration {
			continue
		}
		engines := c.upstreamsOf[s.Name]
		needed := newDemands(c.bundle, s.Name)
		if misfit, ok := pack(engines, needed); !ok {
			c.overcommitted(s, engines, needed, misfit)
			continue
		}
		leaving := c.oldDemands(old, s.Name)
		both := append(needed, leaving...)
		if misfit, ok := pack(engines, both); !ok {
			c.overcommittedInRollout(s, engines, both, leaving, misfit)
		}
	}
}

func (c *checker) overcommitted(s bundle.Service, engines []bundle.Upstream, needed []demand, misfit demand) {
	c.fault(modelSection(misfit.model), "memory-mib",
		"memory of service %s is overcommitted: all models with their replicas need %d MiB, the %d engines have %d MiB, and this model found no room",
		s.Name, sumDemands(needed), len(engines), sumEngines(engines))
}

// overcommittedInRollout names the largest replaced or removed model as the one to change.
func (c *checker) overcommittedInRollout(s bundle.Service, engines []bundle.Upstream, both, leaving []demand, misfit demand) {
	largest := slices.MaxFunc(leaving, func(a, b demand) int { return cmp.Compare(a.model.Memory, b.model.Memory) })
	section := serviceSection(s)
	if _, kept := c.modelOf[largest.model.ID]; kept {
		section = modelSection(largest.model)
	}
	version := "the new version"
	if misfit.isOld {
		version = "old version " + misfit.model.Version
	}
	c.fault(section, "version",
		"memory of service %s is overcommitted during the roll-out: old and new versions together need %d MiB, the %d engines have %d MiB, and %s of model %s found no room; replace or remove fewer models in one bundle",
		s.Name, sumDemands(both), len(engines), sumEngines(engines), version, misfit.model.ID)
}

func newDemands(b *bundle.Bundle, service bundle.ServiceName) []demand {
	var needed []demand
	for _, m := range b.Models {
		if m.Service == service {
			needed = append(needed, demand{model: m, replicas: m.MinReplicas})
		}
	}
	return needed
}

// oldDemands returns the versions in force that the new bundle no longer has.
func (c *checker) oldDemands(old *bundle.Bundle, service bundle.ServiceName) []demand {
	if old == nil {
		return nil
	}
	var leaving []demand
	for _, m := range old.Models {
		if m.Service != service {
			continue
		}
		kept, ok := c.modelOf[m.ID]
		if !ok || kept.Version != m.Version || kept.Service != m.Service {
			leaving = append(leaving, demand{model: m, replicas: 1, isOld: true})
		}
	}
	return leaving
}

func sumDemands(needed []demand) bundle.MiB {
	var sum bundle.MiB
	for _, d := range needed {
		sum += d.model.Memory * bundle.MiB(d.replicas)
	}
	return sum
}

func sumEngines(engines []bundle.Upstream) bundle.MiB {
	var sum bundle.MiB
	for _, u := range engines {
		sum += u.Memory
	}
	return sum
}

// pack places all demands by best fit, largest first, replicas of one version on
// different engines. It returns the first demand without room. Best fit may fail
// where a perfect packing exists, which refuses only bundles that fill nearly all memory.
func pack(engines []bundle.Upstream, needed []demand) (demand, bool) {
	room := make([]free, len(engines))
	for i, u := range engines {
		room[i] = free{memory: u.Memory, models: make(map[bundle.ModelID]bool)}
	}
	ordered := slices.Clone(needed)
	slices.SortStableFunc(ordered, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.model.Memory, a.model.Memory), cmp.Compare(a.model.ID, b.model.ID))
	})
	for _, d := range ordered {
		for range d.replicas {
			if !place(room, d) {
				return d, false
			}
		}
	}
	return demand{}, true
}

func place(room []free, d demand) bool {
	best := -1
	for i := range room {
		if room[i].memory < d.model.Memory || (!d.isOld && room[i].models[d.model.ID]) {
			continue
		}
		if best < 0 || room[i].memory < room[best].memory {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	room[best].memory -= d.model.Memory
	if !d.isOld {
		room[best].models[d.model.ID] = true
	}
	return true
}
