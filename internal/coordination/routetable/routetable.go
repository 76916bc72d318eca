// Package routetable selects the route of a request, and the service of a route.
package routetable

import (
	"cmp"
	"slices"
	"strings"

	"savoryweir/internal/state/fleet"
)

// Table finds routes by host and path. It does not change once built.
type Table struct {
	byHost map[string][]*fleet.Route // longest prefix first
}

// New returns the table of a configuration's routes.
func New(routes []fleet.Route) *Table {
	t := &Table{byHost: make(map[string][]*fleet.Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *fleet.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *fleet.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// PickService picks a service of a route by the weights of its splits. point is in
// [0, 1). It returns "" where no split has weight.
func PickService(route *fleet.Route, point float64) string {
	total := 0
	for _, s := range route.Splits {
		total += max(s.Weight, 0)
	}
	left := int(point * float64(total))
	for _, s := range route.Splits {
		if left < s.Weight {
			return s.Service
		}
		left -= max(s.Weight, 0)
	}
	return ""
}
