package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryweir/internal/state/object"
	"savoryweir/internal/state/streams"
	"savoryweir/platform"
)

const (
	// versionCheckTimeout is how long a caller waits until the store has listed the versions: two calls to a slow store.
	versionCheckTimeout = 600 * time.Millisecond
	// maxVersionCheckAge is the age, by a clock that counts suspension, up to which a check counts as made now.
	maxVersionCheckAge = time.Second
	// The checks of all instances together begin up to 200 times a second, and each instance waits between the minimum and the
	// maximum from one to the next.
	versionCheckGapPerInstance = 5 * time.Millisecond
	minVersionCheckGap         = 50 * time.Millisecond
	maxVersionCheckGap         = time.Second
)

var (
	errCheckTooOld  = errors.New("the list of software versions is too old; the process was suspended")
	errCheckOfACopy = errors.New("the store came back from an older copy; upstreams may not be listed again yet")
)

// servedVersions are the software versions in the store.
type servedVersions struct {
	now    []streams.Origin // of the upstreams that are listed
	lately []streams.Origin // in the record of versions
}

// versionCheck asks the store which software versions serve, at the moment at which something is concluded from the answer. Callers
// that arrive while a check is under way share the next one.
type versionCheck struct {
	node *Node

	mu            sync.Mutex // guards all fields below
	running, next *versionQuery
	begunAt       time.Time // of the last query
}

// versionQuery is one reading of the versions. Its fields are set before done is closed.
type versionQuery struct {
	done    chan struct{}
	begunAt time.Duration // boot time
	served  servedVersions
	err     error
}

// await returns the versions as read from the store after the call began. It returns errCheckOfACopy if the store may
// lack some.
func (c *versionCheck) await(ctx context.Context) (servedVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, versionCheckTimeout)
	defer cancel()
	q := c.query()
	select {
	case <-q.done:
	case <-ctx.Done():
		return servedVersions{}, ctx.Err()
	}
	switch {
	case q.err != nil:
		return servedVersions{}, q.err
	case c.node.bootTime()-q.begunAt > maxVersionCheckAge:
		return servedVersions{}, errCheckTooOld
	case q.begunAt < c.node.store.CompleteFrom():
		return servedVersions{}, errCheckOfACopy
	default:
		return q.served, nil
	}
}

// query returns a query that begins after the call.
func (c *versionCheck) query() *versionQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &versionQuery{done: make(chan struct{})}
		if c.running == nil {
			c.startNext()
		}
	}
	q := c.next
	if q == nil {
		q = c.running // has just been started
	}
	return q
}

// startNext starts the next query when the time has come. The caller holds c.mu.
func (c *versionCheck) startNext() {
	wait := time.Until(c.begunAt.Add(c.gap()))
	if wait <= 0 {
		c.begin()
		return
	}
	c.running = c.next // stands for the wait, so that no other timer is started
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.begin()
	})
}

// begin runs the next query. The caller holds c.mu.
func (c *versionCheck) begin() {
	q := c.next
	c.running, c.next, c.begunAt = q, nil, time.Now()
	q.begunAt = c.node.bootTime()
	go func() {
		q.served, q.err = c.read()
		close(q.done)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running = nil
		if c.next != nil {
			c.startNext()
		}
	}()
}

// gap returns the time between the beginnings of two queries.
func (c *versionCheck) gap() time.Duration {
	return min(max(time.Duration(c.node.instanceCount())*versionCheckGapPerInstance, minVersionCheckGap), maxVersionCheckGap)
}

// read lists the upstreams and reads the record of versions.
func (c *versionCheck) read() (servedVersions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), versionCheckTimeout)
	defer cancel()
	var record []object.Object
	var recordErr error
	var group sync.WaitGroup
	group.Go(func() { record, _, recordErr = c.node.store.ListAt(ctx, kindSoftwareVersions) })
	upstreams, _, err := c.node.store.ListAt(ctx, platform.KindUpstreams)
	group.Wait()
	var served servedVersions
	if err = errors.Join(err, recordErr); err != nil {
		return served, err
	}
	for _, o := range upstreams {
		if u, err := platform.DecodeUpstream(string(o.Name), o.Version, o.Data); err == nil {
			served.now = append(served.now, streams.Origin{Service: u.Service, Version: u.SoftwareVersion})
		}
	}
	for _, o := range record {
		past, err := decodeVersionRecord(o.Data)
		if err != nil {
			return servedVersions{}, err
		}
		served.lately = append(served.lately, past.served...)
	}
	return served, nil
}
