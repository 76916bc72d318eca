package bundlecheck

import (
	"cmp"
	"slices"

	"savoryweir/internal/state/bundle"
)

// demand is a model version that must be loaded on a number of engines.
type demand struct {
	model    bundle.Model
	replicas int
	isOld    bool // whether this is an old version that serves until the new one is ready
}

// remainingMemory is the memory of one engine that no model has been placed in yet.
type remainingMemory struct {
	memory bundle.MiB
	models map[bundle.ModelID]bool // models of the new bundle placed on the engine
}

// checkMemory checks that the models fit the memory of their engines. During the rollout
// one replica of each replaced or removed version stays loaded until its successor is
// ready and the requests under the old generation have ended, so old and new versions must
// fit together.
func (c *checker) checkMemory(old *bundle.Bundle) {
	for _, s := range c.bundle.Services {
		if s.Kind != bundle.KindGeneration {
			continue
		}
		engines := c.upstreamsOf[s.Name]
		demands := newDemands(c.bundle, s.Name)
		if unplaced, ok := pack(engines, demands); !ok {
			c.reportOvercommit(s, engines, demands, unplaced)
			continue
		}
		retiring := c.oldDemands(old, s.Name)
		combined := append(demands, retiring...)
		if unplaced, ok := pack(engines, combined); !ok {
			c.reportRolloutOvercommit(s, engines, combined, retiring, unplaced)
		}
	}
}

// reportOvercommit adds a fault for the first model that could not be placed.
func (c *checker) reportOvercommit(s bundle.Service, engines []bundle.Upstream, demands []demand, unplaced demand) {
	c.addFault(modelSection(unplaced.model), "memory-mib",
		"memory of service %s is overcommitted: all models with their replicas need %d MiB, the %d engines have %d MiB, and this model does not fit",
		s.Name, sumDemands(demands), len(engines), sumEngines(engines))
}

// reportRolloutOvercommit adds a fault at the largest replaced or removed model as the one
// to change. A removed model has no section in the new bundle, so its fault is reported at
// the service.
func (c *checker) reportRolloutOvercommit(s bundle.Service, engines []bundle.Upstream, combined, retiring []demand, unplaced demand) {
	largest := slices.MaxFunc(retiring, func(a, b demand) int { return cmp.Compare(a.model.Memory, b.model.Memory) })
	section := serviceSection(s)
	if _, kept := c.modelOf[largest.model.ID]; kept {
		section = modelSection(largest.model)
	}
	version := "the new version"
	if unplaced.isOld {
		version = "old version " + unplaced.model.Version
	}
	c.addFault(section, "version",
		"memory of service %s is overcommitted during the roll-out: old and new versions together need %d MiB, the %d engines have %d MiB, and %s of model %s does not fit; replace or remove fewer models in one bundle",
		s.Name, sumDemands(combined), len(engines), sumEngines(engines), version, unplaced.model.ID)
}

// newDemands returns the models of the service in the new bundle with their least numbers of
// replicas.
func newDemands(b *bundle.Bundle, service bundle.ServiceName) []demand {
	var demands []demand
	for _, m := range b.Models {
		if m.Service == service {
			demands = append(demands, demand{model: m, replicas: m.MinReplicas})
		}
	}
	return demands
}

// oldDemands returns the versions in force that the new bundle no longer has.
func (c *checker) oldDemands(old *bundle.Bundle, service bundle.ServiceName) []demand {
	if old == nil {
		return nil
	}
	var retiring []demand
	for _, m := range old.Models {
		if m.Service != service {
			continue
		}
		kept, ok := c.modelOf[m.ID]
		if !ok || kept.Version != m.Version || kept.Service != m.Service {
			retiring = append(retiring, demand{model: m, replicas: 1, isOld: true})
		}
	}
	return retiring
}

func sumDemands(demands []demand) bundle.MiB {
	var sum bundle.MiB
	for _, d := range demands {
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

// pack places all demands by best fit, largest first, with the replicas of a version on
// different engines. It returns the first demand that does not fit, and false. Best fit may
// fail although a perfect packing exists; that refuses only bundles that fill nearly all
// memory.
func pack(engines []bundle.Upstream, demands []demand) (demand, bool) {
	remaining := make([]remainingMemory, len(engines))
	for i, u := range engines {
		remaining[i] = remainingMemory{memory: u.Memory, models: make(map[bundle.ModelID]bool)}
	}
	ordered := slices.Clone(demands)
	slices.SortStableFunc(ordered, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.model.Memory, a.model.Memory), cmp.Compare(a.model.ID, b.model.ID))
	})
	for _, d := range ordered {
		for range d.replicas {
			if !place(remaining, d) {
				return d, false
			}
		}
	}
	return demand{}, true
}

// place puts one replica on the engine with the least sufficient memory and reports whether
// there was one.
func place(remaining []remainingMemory, d demand) bool {
	best := -1
	for i := range remaining {
		if remaining[i].memory < d.model.Memory || (!d.isOld && remaining[i].models[d.model.ID]) {
			continue
		}
		if best < 0 || remaining[i].memory < remaining[best].memory {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	remaining[best].memory -= d.model.Memory
	if !d.isOld {
		remaining[best].models[d.model.ID] = true
	}
	return true
}
