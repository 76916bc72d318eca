// Package routetable selects the route for a request and the service for a route.
package routetable

import (
	"cmp"
	"slices"
	"strings"

	"savoryweir/internal/state/fleet"
)

// Table finds routes by host and path. It is immutable after New.
type Table struct {
	byHost map[string][]*fleet.Route // longest prefix first
}

// New returns a table of the routes. Hosts are matched without regard to case.
func New(routes []fleet.Route) *Table {
	t := &Table{byHost: make(map[string][]*fleet.Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *fleet.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil if there is
// none. It ignores a port in host.
func (t *Table) Match(host, path string) *fleet.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// PickService selects a service of a route by the weights of its splits. point is in
// [0, 1) and determines the choice. PickService returns "" if no split has a positive weight.
func PickService(route *fleet.Route, point float64) string {
	totalWeight := 0
	for _, s := range route.Splits {
		totalWeight += max(s.Weight, 0)
	}
	remaining := int(point * float64(totalWeight))
	for _, s := range route.Splits {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= max(s.Weight, 0)
	}
	return ""
}
