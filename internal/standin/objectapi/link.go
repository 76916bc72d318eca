package objectapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"savoryweir/internal/state/object"
)

// LinkFaults are the failures of one client's path to the store.
type LinkFaults struct {
	// Cut makes every call fail without effect.
	Cut bool
	// Delay is waited before each call.
	Delay time.Duration
	// LoseAnswers is how many of the next writes take effect but answer ErrOutcomeUnknown.
	LoseAnswers int
	// LateWrites is how many of the next writes answer ErrOutcomeUnknown at once
	// and reach the store only after LateBy.
	LateWrites int
	LateBy     time.Duration
	// Stale makes Get return the objects as they stood when it was switched on.
	Stale bool
}

// Link is one client's path to a store, with faults of its own. It implements object.Store.
type Link struct {
	store *Memory

	mu     sync.Mutex // guards all below
	faults LinkFaults
	frozen map[key]object.Object
	era    object.Era // newest era that an answer over this path has shown
}

// NewLink returns a path to store without faults.
func NewLink(store *Memory) *Link { return &Link{store: store} }

// SetFaults replaces the faults of the path.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Stale && !l.faults.Stale {
		l.frozen = l.store.snapshot()
	}
	l.faults = f
}

func (m *Memory) snapshot() map[key]object.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := make(map[key]object.Object, len(m.objects))
	for k, o := range m.objects {
		copied[k] = clone(o)
	}
	return copied
}

// pass waits for the delay and fails when the path is cut.
func (l *Link) pass(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Cut {
		return object.ErrUnavailable
	}
	return wait(ctx, f.Delay)
}

// Era returns the newest era that an answer over this path has shown.
func (l *Link) Era() object.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// observeEra records the era of an answer that has just passed.
func (l *Link) observeEra() {
	era := l.store.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era = max(l.era, era)
}

// takeWriteFault uses up one fault of a write.
func (l *Link) takeWriteFault() (lose, late bool, lateBy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		return true, false, 0
	case l.faults.LateWrites > 0:
		l.faults.LateWrites--
		return false, true, l.faults.LateBy
	default:
		return false, false, 0
	}
}

// writeFunc performs one write at the store.
type writeFunc func(context.Context) (object.Version, error)

// do performs one write under the link's faults.
func (l *Link) do(ctx context.Context, write writeFunc) (object.Version, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	lose, late, lateBy := l.takeWriteFault()
	if late {
		time.AfterFunc(lateBy, func() { _, _ = write(context.Background()) })
		return 0, object.ErrOutcomeUnknown
	}
	version, err := write(ctx)
	if lose {
		return 0, object.ErrOutcomeUnknown
	}
	l.observeEra()
	return version, err
}

// Get implements object.Reader.
func (l *Link) Get(ctx context.Context, kind object.Kind, name object.Name) (object.Object, error) {
	if err := l.pass(ctx); err != nil {
		return object.Object{}, err
	}
	l.mu.Lock()
	stale, frozen := l.faults.Stale, l.frozen
	l.mu.Unlock()
	if !stale {
		l.observeEra()
		return l.store.Get(ctx, kind, name)
	}
	o, ok := frozen[key{kind, name}]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return clone(o), nil
}

// List implements object.Reader.
func (l *Link) List(ctx context.Context, kind object.Kind, prefix string) ([]object.Object, error) {
	if err := l.pass(ctx); err != nil {
		return nil, err
	}
	return l.store.List(ctx, kind, prefix)
}

// Create implements object.Writer.
func (l *Link) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	data = slices.Clone(data)
	return l.do(ctx, func(ctx context.Context) (object.Version, error) {
		return l.store.Create(ctx, kind, name, data)
	})
}

// Update implements object.Writer.
func (l *Link) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	data = slices.Clone(data)
	return l.do(ctx, func(ctx context.Context) (object.Version, error) {
		return l.store.Update(ctx, kind, name, data, expected)
	})
}

// Touch implements object.Writer.
func (l *Link) Touch(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) (object.Version, error) {
	return l.do(ctx, func(ctx context.Context) (object.Version, error) { return l.store.Touch(ctx, kind, name, expected) })
}

// Delete implements object.Writer.
func (l *Link) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	_, err := l.do(ctx, func(ctx context.Context) (object.Version, error) {
		return 0, l.store.Delete(ctx, kind, name, expected)
	})
	return err
}

// Watch implements object.Watcher.
func (l *Link) Watch(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	if err := l.pass(ctx); err != nil {
		return nil, after, err
	}
	return l.store.Watch(ctx, kind, after, wait)
}

// Instances implements object.Store.
func (l *Link) Instances(ctx context.Context) ([]object.Instance, error) {
	if err := l.pass(ctx); err != nil {
		return nil, err
	}
	return l.store.Instances(ctx)
}

// ListAt returns the objects of a kind with the store's version.
func (l *Link) ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	if err := l.pass(ctx); err != nil {
		return nil, 0, err
	}
	l.observeEra()
	return l.store.ListAt(ctx, kind)
}

// ListStaleAt returns the objects of a kind as they were some time ago.
func (l *Link) ListStaleAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	if err := l.pass(ctx); err != nil {
		return nil, 0, err
	}
	l.observeEra()
	return l.store.ListStaleAt(ctx, kind)
}

// WatchSince waits for changes after a version. A cut ends the wait.
func (l *Link) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	if err := l.pass(ctx); err != nil {
		return nil, after, err
	}
	events, next, err := l.store.WatchSince(ctx, kind, after, wait)
	if passed := l.pass(ctx); passed != nil {
		return nil, after, passed
	}
	l.observeEra()
	return events, next, err
}
