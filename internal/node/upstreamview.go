package node

import (
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
)

// upstreamView knows whether this instance has the entries of all upstreams in the newest era of the store: also those that the
// store lacked when it came back from an older copy, and that the upstreams have written again.
type upstreamView struct {
	node *Node

	mu           sync.Mutex // guards the fields below
	calledAt     time.Duration
	hasCalled    bool       // calledAt is the time of the latest call that the store has answered
	confirmedEra object.Era // latest era in which another instance knew all entries and this one had them too
}

// beginProof records a call for the entries that is made now, once it is answered.
func (v *upstreamView) beginProof() func() {
	calledAt := v.node.bootTime()
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.calledAt, v.hasCalled = calledAt, true
	}
}

// isComplete reports whether this instance has the entries of all upstreams.
func (v *upstreamView) isComplete() bool {
	completeFrom, era := v.node.store.CompleteFrom(), v.node.store.Era()
	v.mu.Lock()
	defer v.mu.Unlock()
	return era == 0 || v.confirmedEra == era || v.hasCalled && v.calledAt >= completeFrom
}

// encode returns what the other instances are told, nil if the store has never come back from an older copy.
func (v *upstreamView) encode() *pb.StoreEra {
	era, age := v.node.store.EraAge()
	if era == 0 {
		return nil
	}
	m := &pb.StoreEra{Era: uint32(era), KnownMillis: uint64(age.Milliseconds()), KnowsUpstreams: v.isComplete()}
	if past := v.node.streams.past(); past.knowsPast && past.era == era && age < pastToldFor {
		m.KnowsPast = true
		for _, o := range past.served {
			m.Served = append(m.Served, encodeOrigin(o))
		}
	}
	return m
}

// pastToldFor is how long in an era the instances tell each other which software versions have served. After that, all that run know.
const pastToldFor = 2 * streams.Retention

// receive records what another instance tells.
func (v *upstreamView) receive(m *pb.FleetMessage) {
	if m.StoreEra == nil {
		return
	}
	era := object.Era(m.StoreEra.Era)
	v.node.store.ObserveEraAge(era, decodeMillis(m.StoreEra.KnownMillis))
	if m.StoreEra.KnowsPast {
		past := servedPast{era: era, knowsPast: true}
		for _, o := range m.StoreEra.Served {
			past.served = append(past.served, streams.Origin{Service: o.Service, Version: o.Version})
		}
		v.node.streams.learnPast(past)
	}
	version := v.node.upstreamInformer.Version()
	if m.StoreEra.KnowsUpstreams && version.Era() == era && object.Version(m.NewestUpstream) <= version {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.confirmedEra = max(v.confirmedEra, era)
	}
}

// maxEraAge limits the ages that are told.
const maxEraAge = 24 * time.Hour

func decodeMillis(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxEraAge.Milliseconds()))) * time.Millisecond
}
