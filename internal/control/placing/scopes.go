package placing

import (
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/roster"
)

// scopes returns the scopes of the cells of all services that are assigned to this instance.
func (h *Holder) scopes(b *bundle.Bundle, members []member.Member) []Scope {
	var own []Scope
	for _, s := range b.Services {
		r, ok := h.Inputs.Roster(s.Name)
		if s.Kind != bundle.KindGeneration || !ok {
			continue
		}
		own = append(own, h.serviceScopes(b, s.Name, r, members)...)
	}
	return own
}

// serviceScopes returns the scopes of one service's cells that are assigned to this instance,
// including the cells that are being emptied.
func (h *Holder) serviceScopes(b *bundle.Bundle, service bundle.ServiceName, r roster.Stored, members []member.Member) []Scope {
	var own []Scope
	for index := range r.Ledgers {
		name := CellName(service, index)
		if membership.IsAssigned(h.Self, OwnerTask(name), 1, members) {
			own = append(own, Scope{Name: name, Generation: b.Generation, Assignment: &Assignment{Index: index}})
		}
	}
	if len(own) == 0 {
		return nil
	}
	common := h.assignment(b, service, r)
	for i := range own {
		a := common
		a.Index = own[i].Assignment.Index
		own[i].Assignment = &a
		own[i].fill(b, a)
	}
	return own
}

// assignment returns the part of the assignment that all cells of a service share. It is
// recomputed only when the roster or the bundle has changed.
func (h *Holder) assignment(b *bundle.Bundle, service bundle.ServiceName, r roster.Stored) Assignment {
	known, ok := h.assignments[service]
	if ok && known.Roster.Version == r.Version && known.generation == b.Generation {
		return known.Assignment
	}
	a := Assignment{Service: service, Roster: r, Upstreams: b.UpstreamsOf(service), HomeCells: make(map[bundle.ModelID]int)}
	for _, m := range b.Models {
		if m.Service == service {
			a.HomeCells[m.ID] = r.HomeCell(m.ID)
		}
	}
	h.assignments[service] = cachedAssignment{Assignment: a, generation: b.Generation}
	return a
}

// cachedAssignment is an assignment with the generation of the bundle from which it was computed.
type cachedAssignment struct {
	Assignment
	generation bundle.Generation
}

// fill adds the service's engines, and the models and adapters whose home is this cell.
func (s *Scope) fill(b *bundle.Bundle, a Assignment) {
	s.Upstreams = a.Upstreams
	for _, m := range b.Models {
		if home, ok := a.HomeCells[m.ID]; ok && home == a.Index {
			s.Models = append(s.Models, m)
		}
	}
	for _, adapter := range b.Adapters {
		if home, ok := a.HomeCells[adapter.Model]; ok && home == a.Index {
			s.Adapters = append(s.Adapters, adapter)
		}
	}
}
