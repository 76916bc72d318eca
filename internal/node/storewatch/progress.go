package storewatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryweir/internal/state/object"
)

var errBehind = errors.New("other instances have seen newer objects")

// progress is how far a follower has come, shared with those that compare it with
// other instances. It is safe for concurrent use.
type progress struct {
	mu        sync.Mutex // guards all below
	version   object.Version
	newest    object.Version
	theirs    object.Version // newest object that another instance has seen
	behind    time.Time      // since when others are ahead, zero if they are not
	healthy   bool
	interrupt context.CancelCauseFunc // ends the watch that is waiting
}

func (p *progress) newestSeen() object.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

func (p *progress) isHealthy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthy
}

func (p *progress) setHealthy(healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthy = healthy
}

// advance records that all changes up to a version are known.
func (p *progress) advance(version object.Version, objects []object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = version
	for _, o := range objects {
		p.newest = max(p.newest, o.Version)
	}
	if p.theirs <= version {
		p.behind = time.Time{}
	}
}

func (p *progress) compare(now time.Time, theirs object.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if theirs <= p.version {
		return
	}
	p.theirs = max(p.theirs, theirs)
	if p.behind.IsZero() {
		p.behind = now
	}
	if p.interrupt != nil && now.Sub(p.behind) > behindDelay {
		p.interrupt(errBehind)
	}
}

// gap returns by how many versions others are ahead.
func (p *progress) gap() object.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.theirs, p.version) - p.version
}

// asked records that the store is being asked for what is missing; if something
// still is, it is asked again after a while.
func (p *progress) asked(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind = now
}

func (p *progress) isBehind(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.behind.IsZero() && now.Sub(p.behind) > behindDelay
}

// begin returns a context for a watch, which compare may end.
func (p *progress) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupt = cancel
	return ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.interrupt = nil
		cancel(nil)
	}
}
