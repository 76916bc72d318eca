// Package owners chooses, without coordination, the instance that grants a budget which all instances share. All
// rank each other alike by hash, so that they agree as far as they know the same instances.
package owners

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owners chooses the owners of budgets with keys of type K. Each instance passes over those from which it gets
// no replies. It is not safe for concurrent use.
type Owners[K ~string] struct {
	self            string
	suspicionPeriod time.Duration
	suspectUntil    map[string]time.Time
}

// New returns the owners as seen by one instance. An owner that doesn't reply is passed over for suspicionPeriod.
func New[K ~string](self string, suspicionPeriod time.Duration) *Owners[K] {
	return &Owners[K]{self: self, suspicionPeriod: suspicionPeriod, suspectUntil: make(map[string]time.Time)}
}

// Suspect passes over an instance that did not reply.
func (o *Owners[K]) Suspect(now time.Time, instance string) {
	o.suspectUntil[instance] = now.Add(o.suspicionPeriod)
}

// IsSuspected reports whether an instance is passed over.
func (o *Owners[K]) IsSuspected(now time.Time, instance string) bool {
	return now.Before(o.suspectUntil[instance])
}

// Choose returns the instance to ask for the budget of a key, given the other instances. If all are passed over, it
// returns this one.
func (o *Owners[K]) Choose(now time.Time, of K, others []string) string {
	best, bestWeight := o.self, uint64(0)
	if !o.IsSuspected(now, o.self) {
		bestWeight = weight(o.self, of)
	}
	for _, instance := range others {
		if w := weight(instance, of); isAbove(instance, w, best, bestWeight) && !o.IsSuspected(now, instance) {
			best, bestWeight = instance, w
		}
	}
	return best
}

// Rank returns the rank of this instance among all for a key, zero for the owner.
func (o *Owners[K]) Rank(of K, others []string) int {
	rank, own := 0, weight(o.self, of)
	for _, instance := range others {
		if isAbove(instance, weight(instance, of), o.self, own) {
			rank++
		}
	}
	return rank
}

func isAbove(a string, weightOfA uint64, b string, weightOfB uint64) bool {
	return weightOfA > weightOfB || weightOfA == weightOfB && a > b
}

func weight[K ~string](instance string, of K) uint64 {
	return xxhash.Sum64String(instance + "/" + string(of))
}
