// Package objectapi is a stand-in for the platform's object API: versioned
// objects with conditional updates, watches, rate limits and faults. It keeps
// everything in memory and is meant for tests and the demo only.
package objectapi

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"savoryweir/internal/state/object"
)

// eventLogLength is how many changes a watch can fall behind before it gets a full list.
const eventLogLength = 8192

// Limits are the call rates of the store. Zero means unlimited.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Counts are the calls that the store has received, throttled ones included.
type Counts struct {
	Gets, Lists, StaleLists, Watches, Creates, Updates, Deletes, InstanceLists uint64
	Conflicts, Throttled, Refused, BytesWritten                                uint64
}

// Writes returns the number of calls that count against the write rate.
func (c Counts) Writes() uint64 { return c.Creates + c.Updates + c.Deletes }

// Reads returns the number of calls that count against the read rate.
func (c Counts) Reads() uint64 { return c.Gets + c.Lists + c.Watches + c.InstanceLists }

// key names one object.
type key struct {
	kind object.Kind
	name object.Name
}

// Memory is the store. It is safe for concurrent use and implements object.Store.
type Memory struct {
	now    func() time.Time
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex // guards all below
	objects   map[key]object.Object
	era       object.Era // number of times that the store was restored from a backup
	version   object.Version
	log       []object.Event
	logStart  object.Version // every change after this version is in log
	changed   chan struct{}  // closed and replaced at each change
	counts    Counts
	faults    Faults
	stale     *Memory // what lists that may be stale return; nil for the present content
	instances []listedInstance
}

// New returns an empty store. now is the source of time, usually time.Now.
func New(now func() time.Time, limits Limits) *Memory {
	return &Memory{
		now:     now,
		writes:  limiter(limits.WritesPerSecond),
		reads:   limiter(limits.ReadsPerSecond),
		objects: make(map[key]object.Object),
		changed: make(chan struct{}),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Counts returns the calls received so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get implements object.Reader.
func (m *Memory) Get(ctx context.Context, kind object.Kind, name object.Name) (object.Object, error) {
	if err := m.admitRead(ctx, func(c *Counts) { c.Gets++ }); err != nil {
		return object.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key{kind, name}]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return clone(o), nil
}

// List implements object.Reader.
func (m *Memory) List(ctx context.Context, kind object.Kind, prefix string) ([]object.Object, error) {
	found, _, err := m.ListAt(ctx, kind)
	return slices.DeleteFunc(found, func(o object.Object) bool { return !strings.HasPrefix(string(o.Name), prefix) }), err
}

// ListAt returns the objects of a kind in name order, with the store's version.
func (m *Memory) ListAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	if err := m.admitRead(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list(kind, ""), m.version, nil
}

// ListStaleAt returns the objects of a kind as of the start of staleness, if it is set.
func (m *Memory) ListStaleAt(ctx context.Context, kind object.Kind) ([]object.Object, object.Version, error) {
	m.mu.Lock()
	stale := m.stale
	m.counts.StaleLists++
	m.mu.Unlock()
	if stale == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.faults.Outage {
			return nil, 0, object.ErrUnavailable
		}
		return m.list(kind, ""), m.version, nil
	}
	return stale.list(kind, ""), stale.version, nil
}

// SetStale makes lists that may be stale return the present content until it is unset.
func (m *Memory) SetStale(stale bool) {
	backup := m.Backup()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stale = nil; stale {
		m.stale = &Memory{objects: backup.objects, version: backup.version}
	}
}

func (m *Memory) list(kind object.Kind, prefix string) []object.Object {
	var found []object.Object
	for k, o := range m.objects {
		if k.kind == kind && strings.HasPrefix(string(k.name), prefix) {
			found = append(found, clone(o))
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return found
}

// Create implements object.Writer.
func (m *Memory) Create(ctx context.Context, kind object.Kind, name object.Name, data []byte) (object.Version, error) {
	return m.write(ctx, func(c *Counts) { c.Creates++ }, key{kind, name}, 0, data)
}

// Update implements object.Writer.
func (m *Memory) Update(ctx context.Context, kind object.Kind, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	if expected == 0 {
		return 0, object.ErrConflict
	}
	return m.write(ctx, func(c *Counts) { c.Updates++ }, key{kind, name}, expected, data)
}

// Touch implements object.Writer.
func (m *Memory) Touch(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) (object.Version, error) {
	loseAnswer, err := m.admitWrite(ctx, func(c *Counts) { c.Updates++ })
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{kind, name}
	o, ok := m.objects[k]
	if !ok {
		return 0, answer(loseAnswer, object.ErrNotFound)
	}
	if o.Version.Revision() != expected.Revision() {
		m.counts.Conflicts++
		return 0, answer(loseAnswer, object.ErrConflict)
	}
	m.version++
	o.Version = m.version
	m.objects[k] = o
	m.publish(object.Event{Object: o})
	return o.Version, answer(loseAnswer, nil)
}

// Delete implements object.Writer.
func (m *Memory) Delete(ctx context.Context, kind object.Kind, name object.Name, expected object.Version) error {
	loseAnswer, err := m.admitWrite(ctx, func(c *Counts) { c.Deletes++ })
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{kind, name}
	o, ok := m.objects[k]
	if !ok {
		return answer(loseAnswer, object.ErrNotFound)
	}
	if o.Version.Revision() != expected.Revision() {
		m.counts.Conflicts++
		return answer(loseAnswer, object.ErrConflict)
	}
	delete(m.objects, k)
	m.version++
	o.Version = m.version
	m.publish(object.Event{Object: o, Deleted: true})
	return answer(loseAnswer, nil)
}

func (m *Memory) write(ctx context.Context, count func(*Counts), k key, expected object.Version, data []byte) (object.Version, error) {
	if len(data) > object.MaxSizeBytes {
		return 0, object.ErrTooLarge
	}
	loseAnswer, err := m.admitWrite(ctx, count)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[k].Version.Revision() != expected.Revision() {
		m.counts.Conflicts++
		return 0, answer(loseAnswer, object.ErrConflict)
	}
	if old, ok := m.objects[k]; ok && bytes.Equal(old.Data, data) {
		return old.Version, answer(loseAnswer, nil) // a write that changes nothing makes no version
	}
	m.version++
	o := object.Object{Kind: k.kind, Name: k.name, Version: m.version, Data: slices.Clone(data)}
	m.objects[k] = o
	m.counts.BytesWritten += uint64(len(data))
	m.publish(object.Event{Object: o})
	if loseAnswer {
		return 0, object.ErrOutcomeUnknown
	}
	return o.Version, nil
}

// answer replaces the outcome of a write whose answer is lost.
func answer(lost bool, err error) error {
	if lost {
		return object.ErrOutcomeUnknown
	}
	return err
}

// publish appends to the log and wakes the watches. The caller holds m.mu.
func (m *Memory) publish(e object.Event) {
	m.log = append(m.log, e)
	if len(m.log) > eventLogLength {
		m.logStart = m.log[0].Object.Version
		m.log = slices.Clone(m.log[1:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements object.Watcher. A watch that has fallen behind the log gets
// all present objects, without deletions.
func (m *Memory) Watch(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	events, next, err := m.WatchSince(ctx, kind, after, wait)
	if !errors.Is(err, object.ErrHistoryGone) {
		return events, next, err
	}
	present, next, err := m.ListAt(ctx, kind)
	for _, o := range present {
		events = append(events, object.Event{Object: o})
	}
	return events, next, err
}

// WatchSince waits for changes after a version, or returns object.ErrHistoryGone.
func (m *Memory) WatchSince(ctx context.Context, kind object.Kind, after object.Version, wait time.Duration) ([]object.Event, object.Version, error) {
	if err := m.admitRead(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, after, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		events, next, changed, err := m.eventsAfter(kind, after)
		if err != nil {
			return nil, after, err
		}
		if len(events) > 0 {
			return events, next, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, after, object.ErrUnavailable
		}
	}
}

func (m *Memory) eventsAfter(kind object.Kind, after object.Version) ([]object.Event, object.Version, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return nil, after, nil, object.ErrUnavailable
	}
	since := m.inCurrentEra(after) // requests name bare revisions
	if since < m.logStart || since > m.version {
		return nil, after, nil, object.ErrHistoryGone
	}
	var events []object.Event
	for _, e := range m.log {
		if e.Object.Kind == kind && e.Object.Version > since {
			events = append(events, object.Event{Object: clone(e.Object), Deleted: e.Deleted})
		}
	}
	return events, m.version, m.changed, nil
}

// DropHistory forgets all changes so far, as the store may do at any time.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log, m.logStart = nil, m.version
	close(m.changed)
	m.changed = make(chan struct{})
}

func clone(o object.Object) object.Object {
	o.Data = slices.Clone(o.Data)
	return o
}
