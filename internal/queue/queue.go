// Package ring provides the bounded queue that joins the goroutines of a process.
package queue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue for many writers and readers.
type Queue[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns a ring that holds at most capacity items. Capacity is at least 1.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, max(capacity, 1))}
}

// Offer adds item unless the ring is full. It reports whether the item was added.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Put adds item and waits for room until ctx ends.
func (r *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Get removes the oldest item and waits for one until ctx ends.
func (r *Queue[T]) Get(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// C returns the channel of the waiting items, for use in a select statement.
func (r *Queue[T]) C() <-chan T { return r.items }

// Drain removes and returns up to limit waiting items without blocking.
func (r *Queue[T]) Drain(limit int) []T {
	var batch []T
	for len(batch) < limit {
		select {
		case item := <-r.items:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

// Len returns the number of waiting items.
func (r *Queue[T]) Len() int { return len(r.items) }

// Rejected returns how many items Offer has refused.
func (r *Queue[T]) Rejected() uint64 { return r.rejected.Load() }
