package objectapi

import (
	"maps"
	"slices"

	"savoryweir/internal/state/object"
)

// Backup is a copy of the store's content at one moment.
type Backup struct {
	objects  map[key]object.Object
	version  object.Version
	log      []object.Event
	logStart object.Version
}

// Backup returns a copy of the present content.
func (m *Memory) Backup() Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Backup{objects: maps.Clone(m.objects), version: m.version, log: slices.Clone(m.log), logStart: m.logStart}
}

// Restore replaces the content by a backup and begins a new era: what was written since the
// backup is gone, and its revisions are given out again.
func (m *Memory) Restore(b Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.version = m.inCurrentEra(max(b.version, 1)) // the store's revision is never zero
	m.logStart = m.inCurrentEra(b.logStart)
	m.objects = make(map[key]object.Object, len(b.objects))
	for k, o := range b.objects {
		o.Version = m.inCurrentEra(o.Version)
		m.objects[k] = o
	}
	m.log = nil
	for _, e := range b.log {
		e.Object.Version = m.inCurrentEra(e.Object.Version)
		m.log = append(m.log, e)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Era returns the number of times that the store has been restored.
func (m *Memory) Era() object.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// inCurrentEra returns a version with the same revision in the current era. The caller
// holds m.mu.
func (m *Memory) inCurrentEra(v object.Version) object.Version {
	moved, err := object.NewVersion(m.era, v.Revision())
	if err != nil {
		panic(err) // the revision was valid before, and eras are few
	}
	return moved
}
