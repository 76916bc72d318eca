// Package queue provides the bounded queue through which the goroutines of a process
// exchange items.
package queue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in, first-out queue. It is safe for concurrent use by any number
// of producers and consumers.
type Queue[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns a queue that holds at most capacity items. A capacity below 1 is raised to 1.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, max(capacity, 1))}
}

// Offer adds item without blocking, unless the queue is full. It reports whether the item
// was added.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.rejected.Add(1)
		return false
	}
}

// Put adds item. If the queue is full, Put blocks until there is room or ctx ends; it then
// returns the cause of the end of ctx.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Get removes and returns the oldest item. If the queue is empty, Get blocks until an item
// arrives or ctx ends; it then returns the cause of the end of ctx.
func (q *Queue[T]) Get(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// C returns the channel of the queued items, for use in a select statement. A receive from
// it removes the item.
func (q *Queue[T]) C() <-chan T { return q.items }

// Drain removes and returns up to limit queued items without blocking.
func (q *Queue[T]) Drain(limit int) []T {
	var drained []T
	for len(drained) < limit {
		select {
		case item := <-q.items:
			drained = append(drained, item)
		default:
			return drained
		}
	}
	return drained
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Rejected returns the number of items that Offer did not add because the queue was full.
func (q *Queue[T]) Rejected() uint64 { return q.rejected.Load() }
