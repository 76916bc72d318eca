// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
