package placing

import (
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/roster"
)

// scopes returns the cells of all services that fall to this instance.
func (h *Holder) scopes(b *bundle.Bundle, members []member.Member) []Scope {
	var own []Scope
	for _, s := range b.Services {
		r, ok := h.Inputs.Roster(s.Name)
		if s.Kind != bundle.KindGeneration || !ok {
			continue
		}
		own = append(own, h.scopesOf(b, s.Name, r, members)...)
	}
	return own
}

// scopesOf returns the cells of one service that fall to this instance, also those that
// are being emptied.
func (h *Holder) scopesOf(b *bundle.Bundle, service bundle.ServiceName, r roster.Stored, members []member.Member) []Scope {
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

// assignment returns what is the same for all cells of a service. It is worked out anew
// with each roster and bundle only.
func (h *Holder) assignment(b *bundle.Bundle, service bundle.ServiceName, r roster.Stored) Assignment {
	known, ok := h.assignments[service]
	if ok && known.Roster.Version == r.Version && known.generation == b.Generation {
		return known.Assignment
	}
	a := Assignment{Service: service, Roster: r, Upstreams: b.UpstreamsOf(service), HomeCells: make(map[bundle.ModelID]int)}
	for _, m := range b.Models {
		if m.Service == service {
			a.HomeCells[m.ID] = r.Home(m.ID)
		}
	}
	h.assignments[service] = knownAssignment{Assignment: a, generation: b.Generation}
	return a
}

// knownAssignment is an assignment with the bundle that it was worked out from.
type knownAssignment struct {
	Assignment
	generation bundle.Generation
}

// fill adds the service's engines and the models and adapters at home in the cell.
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
