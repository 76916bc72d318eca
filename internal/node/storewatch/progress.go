package storewatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryweir/internal/state/object"
)

var errBehind = errors.New("watch canceled: other instances have seen newer objects")

// progress tracks the versions that an informer and the other instances have seen. It is
// safe for concurrent use.
type progress struct {
	mu          sync.Mutex              // guards all fields below
	version     object.Version          // version up to which all changes are known
	newest      object.Version          // version of the newest object seen
	peerVersion object.Version          // version of the newest object that another instance has seen
	behindSince time.Time               // time since which others are ahead, or of the last catch-up; zero if they are not
	healthy     bool                    // the store answered the last call
	hasListed   bool                    // all objects have been listed since the start
	cancelWatch context.CancelCauseFunc // cancels the current watch; nil if there is none
}

func (p *progress) newestVersion() object.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

func (p *progress) knownVersion() object.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

func (p *progress) setListed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasListed = true
}

func (p *progress) isListed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasListed
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

// advance records that all changes up to a version are known, and the objects among them.
func (p *progress) advance(version object.Version, objects []object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = version
	for _, o := range objects {
		p.newest = max(p.newest, o.Version)
	}
	if p.peerVersion <= version {
		p.behindSince = time.Time{}
	}
}

// observePeerVersion records the version of the newest object that another instance has
// seen. It cancels the current watch if this instance has been behind for longer than
// catchUpDelay.
func (p *progress) observePeerVersion(now time.Time, peerVersion object.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peerVersion <= p.version {
		return
	}
	p.peerVersion = max(p.peerVersion, peerVersion)
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if p.cancelWatch != nil && now.Sub(p.behindSince) > catchUpDelay {
		p.cancelWatch(errBehind)
	}
}

// lag returns the number of changes by which other instances are ahead, math.MaxUint64 if
// they are in a later era of the store.
func (p *progress) lag() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerVersion.ChangesSince(p.version)
}

// newestPeerVersion returns the version of the newest object that another instance has seen.
func (p *progress) newestPeerVersion() object.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerVersion
}

// recordCatchUp records that the store is being asked for the missing changes. If some
// are still missing after another catchUpDelay, the store is asked again.
func (p *progress) recordCatchUp(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindSince = now
}

// isBehind reports whether other instances have been ahead for longer than catchUpDelay.
func (p *progress) isBehind(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.behindSince.IsZero() && now.Sub(p.behindSince) > catchUpDelay
}

// beginWatch returns a context for a watch, which observePeerVersion may cancel, and a
// function to call when the watch has ended.
func (p *progress) beginWatch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelWatch = cancel
	return ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelWatch = nil
		cancel(nil)
	}
}
