package objectapi

import (
	"context"
	"time"

	"savoryweir/internal/state/object"
)

// Faults are the failures that the store shows.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// Delay is waited before each call takes effect.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is how many of the next writes take effect but answer ErrOutcomeUnknown.
	LoseAnswers int `json:"lose_answers"`
}

// SetFaults replaces the faults. Waiting watches notice an outage at once.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) admitRead(ctx context.Context, count func(*Counts)) error {
	_, err := m.admit(ctx, count, false)
	return err
}

// admitWrite also reports whether the answer to this write is to be lost.
func (m *Memory) admitWrite(ctx context.Context, count func(*Counts)) (bool, error) {
	return m.admit(ctx, count, true)
}

func (m *Memory) admit(ctx context.Context, count func(*Counts), isWrite bool) (loseAnswer bool, err error) {
	if err := wait(ctx, m.delay()); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	count(&m.counts)
	if m.faults.Outage {
		m.counts.Refused++
		return false, object.ErrUnavailable
	}
	limiter := m.reads
	if isWrite {
		limiter = m.writes
	}
	if !limiter.AllowN(m.now(), 1) {
		m.counts.Throttled++
		return false, object.ErrThrottled
	}
	if isWrite && m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return true, nil
	}
	return false, nil
}

func (m *Memory) delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.Delay
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return object.ErrUnavailable
	}
}

// listedInstance becomes visible in the list, or changes there, at visibleAt.
type listedInstance struct {
	instance  object.Instance
	visibleAt time.Time
	removed   bool
}

// SetInstance adds or replaces an instance in the list after the given lag.
func (m *Memory) SetInstance(i object.Instance, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = append(m.instances, listedInstance{instance: i, visibleAt: m.now().Add(lag)})
}

// RemoveInstance takes an instance off the list after the given lag.
func (m *Memory) RemoveInstance(id string, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = append(m.instances, listedInstance{
		instance:  object.Instance{ID: id},
		visibleAt: m.now().Add(lag),
		removed:   true,
	})
}

// Instances implements object.Store.
func (m *Memory) Instances(ctx context.Context) ([]object.Instance, error) {
	if err := m.admitRead(ctx, func(c *Counts) { c.InstanceLists++ }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var visible []object.Instance
	for _, change := range m.instances {
		if change.visibleAt.After(now) {
			continue
		}
		visible = without(visible, change.instance.ID)
		if !change.removed {
			visible = append(visible, change.instance)
		}
	}
	return visible, nil
}

func without(list []object.Instance, id string) []object.Instance {
	var rest []object.Instance
	for _, i := range list {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	return rest
}
