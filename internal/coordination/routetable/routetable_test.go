package routetable

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table := New([]fleet.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	matchedRoute := func(host, path string) string {
		if r := table.Match(host, path); r != nil {
			return r.Name
		}
		return ""
	}
	assert.Equal(t, matchedRoute("a.example", "/x/1"), "short")
	assert.Equal(t, matchedRoute("A.Example:80", "/x/y/1"), "long")
	assert.Equal(t, matchedRoute("b.example", "/x/y/1"), "other")
	assert.Equal(t, matchedRoute("a.example", "/x"), "")
	assert.Equal(t, matchedRoute("c.example", "/x/1"), "")
}

func TestPickServiceFollowsWeights(t *testing.T) {
	route := &fleet.Route{Splits: []fleet.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[PickService(route, float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, PickService(&fleet.Route{}, 0.5), "")
}
