package controlview

import (
	"math/rand/v2"
	"slices"
)

// candidates returns the addresses of the control processes of other instances in the order
// in which they are tried: members in the same availability zone, then the other members,
// then the configured peers. The order within each group is random, so that entries spread
// over the instances.
func (s *Source) candidates() []string {
	var sameZone, otherZones []string
	for _, m := range s.members {
		switch {
		case string(m.ID) == s.Instance.ID || !m.IsUsable():
		case string(m.Zone) == s.Instance.Zone:
			sameZone = append(sameZone, m.Address)
		default:
			otherZones = append(otherZones, m.Address)
		}
	}
	var all []string
	for _, group := range [][]string{sameZone, otherZones, slices.Clone(s.Settings.Peers)} {
		shuffle(s.Random, group)
		for _, address := range group {
			if !slices.Contains(all, address) {
				all = append(all, address)
			}
		}
	}
	return all
}

func shuffle(random *rand.Rand, list []string) {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
