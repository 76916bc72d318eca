package bundlecheck

import "savoryweir/internal/state/bundle"

// index finds the parts of a bundle by name. If a name is defined twice, the index holds the
// first definition.
type index struct {
	zones       map[bundle.Zone]bool
	serviceOf   map[bundle.ServiceName]bundle.Service
	upstreamsOf map[bundle.ServiceName][]bundle.Upstream
	modelOf     map[bundle.ModelID]bundle.Model
	hasModel    map[bundle.ServiceName]bool
}

func newIndex(b *bundle.Bundle) index {
	i := index{
		zones:       make(map[bundle.Zone]bool),
		serviceOf:   make(map[bundle.ServiceName]bundle.Service),
		upstreamsOf: make(map[bundle.ServiceName][]bundle.Upstream),
		modelOf:     make(map[bundle.ModelID]bundle.Model),
		hasModel:    make(map[bundle.ServiceName]bool),
	}
	for _, zone := range b.Zones {
		i.zones[zone] = true
	}
	for _, s := range b.Services {
		if _, ok := i.serviceOf[s.Name]; !ok {
			i.serviceOf[s.Name] = s
		}
	}
	for _, u := range b.Upstreams {
		i.upstreamsOf[u.Service] = append(i.upstreamsOf[u.Service], u)
	}
	for _, m := range b.Models {
		i.hasModel[m.Service] = true
		if _, ok := i.modelOf[m.ID]; !ok {
			i.modelOf[m.ID] = m
		}
	}
	return i
}
