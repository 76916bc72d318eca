// Package inquiry asks the instances that grant budgets which all instances share, and passes over those that don't
// reply.
package inquiry

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/coordination/owners"
)

const (
	// replyTimeout is the time within which an owner replies: several round trips between regions.
	replyTimeout = 60 * time.Millisecond
	// missedReplies is the number of successive questions without a reply after which another
	// instance is asked. Datagrams may be lost.
	missedReplies = 2
)

// Inquiries holds the questions to the owners of budgets with keys of type K that have no reply of type R yet. It is
// safe for concurrent use.
type Inquiries[K ~string, R any] struct {
	others   func() []string
	onSilent func(owner string) // called when an owner is passed over

	mu      sync.Mutex // guards all fields below
	owners  *owners.Owners[K]
	lastID  uint64
	pending map[uint64]chan R
	missed  map[string]silence // by instance
}

// silence describes the successive questions to an instance that had no reply.
type silence struct {
	count     int
	noticedAt time.Time // time at which the latest one was given up
}

// New returns the inquiries of an instance. others returns the IDs of the other instances. An owner that doesn't reply is
// passed over for suspicionPeriod.
func New[K ~string, R any](self string, suspicionPeriod time.Duration, others func() []string, onSilent func(owner string)) *Inquiries[K, R] {
	return &Inquiries[K, R]{
		others: others, onSilent: onSilent, owners: owners.New[K](self, suspicionPeriod), pending: make(map[uint64]chan R), missed: make(map[string]silence),
	}
}

// Owner returns the instance to ask for a budget.
func (q *Inquiries[K, R]) Owner(now time.Time, of K) string {
	others := q.others()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owners.Choose(now, of, others)
}

// Rank returns the rank of this instance among all for a budget, zero for the owner.
func (q *Inquiries[K, R]) Rank(of K) int {
	others := q.others()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owners.Rank(of, others)
}

// IsSuspected reports whether an instance is passed over.
func (q *Inquiries[K, R]) IsSuspected(now time.Time, instance string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owners.IsSuspected(now, instance)
}

// Suspect passes over an instance.
func (q *Inquiries[K, R]) Suspect(now time.Time, instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owners.Suspect(now, instance)
}

// NextID returns the ID of a new question.
func (q *Inquiries[K, R]) NextID() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	return q.lastID
}

// Expect returns the channel on which the reply to a question will arrive that has not been sent yet.
func (q *Inquiries[K, R]) Expect(id uint64) <-chan R {
	replies := make(chan R, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[id] = replies
	return replies
}

// Await waits for the reply to a question that was sent to an owner. It returns false if there is none in time, or
// ctx has ended.
func (q *Inquiries[K, R]) Await(ctx context.Context, owner string, id uint64, replies <-chan R) (reply R, ok bool) {
	defer q.forget(id)
	sentAt := time.Now()
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case reply = <-replies:
		q.recordReply(owner)
		return reply, true
	case <-timeout.C:
		q.recordMissed(owner, sentAt)
	case <-ctx.Done():
	}
	return reply, false
}

// Deliver passes a reply to the question that it answers, if that is still open.
func (q *Inquiries[K, R]) Deliver(id uint64, reply R) {
	q.mu.Lock()
	replies := q.pending[id]
	delete(q.pending, id)
	q.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}

func (q *Inquiries[K, R]) forget(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

func (q *Inquiries[K, R]) recordReply(owner string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.missed, owner)
}

// recordMissed records that a question that was sent at a time had no reply. Questions that were on their way together
// met the same silence.
func (q *Inquiries[K, R]) recordMissed(owner string, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	missed := q.missed[owner]
	if sentAt.Before(missed.noticedAt) {
		return
	}
	missed = silence{count: missed.count + 1, noticedAt: time.Now()}
	if q.missed[owner] = missed; missed.count < missedReplies {
		return
	}
	delete(q.missed, owner)
	q.owners.Suspect(time.Now(), owner)
	q.onSilent(owner)
}
