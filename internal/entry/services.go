package entry

import (
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/state/bundle"
)

// serviceState is the state of one service. It is kept for each service, so that the faults of one
// service don't affect the others.
type serviceState struct {
	generation bundle.Generation // generation in which the upstreams were last set
	detector   *outlier.Detector
	budget     *retry.Budget
	queue      *admission.Queue
	waiters    map[admission.RequestID]*waiter
	perCall    movingMean // duration of a plain call
	perToken   movingMean // duration of a token of a stream
}

// service returns the state of the call's service. It updates the upstreams if the call's
// generation is newer than the state's. The caller holds mu.
func (t *upstreamTable) service(c *call) *serviceState {
	s, ok := t.services[c.service.Name]
	if !ok {
		s = t.newService()
		t.services[c.service.Name] = s
	}
	if generation := c.view.Bundle.Generation; !ok || generation > s.generation {
		s.generation = generation
		s.detector.SetUpstreams(upstreamIDs(c.view.upstreams[c.service.Name]))
	}
	return s
}

func (t *upstreamTable) newService() *serviceState {
	retries := retry.DefaultSettings()
	retries.BudgetRatio = t.settings.Upstreams.RetryShare
	retries.Burst = t.settings.Upstreams.RetryBurst
	retries.MaxAttempts = t.settings.Upstreams.MaxAttempts
	ejection := outlier.DefaultSettings()
	ejection.ConsecutiveFailures = t.settings.Upstreams.EjectAfter
	ejection.BaseEjectionTime = t.settings.Upstreams.EjectFor
	queue := admission.DefaultSettings()
	queue.MaxWaiting = t.settings.Queue.Length
	queue.RetryAfterMin = t.settings.Queue.RetryAfter
	return &serviceState{
		detector: outlier.New(ejection, nil),
		budget:   retry.NewBudget(retries),
		queue:    admission.New(queue, t.random),
		waiters:  make(map[admission.RequestID]*waiter),
	}
}

func upstreamIDs(upstreams []bundle.Upstream) []bundle.UpstreamID {
	ids := make([]bundle.UpstreamID, 0, len(upstreams))
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	return ids
}

// acquireSlot acquires a slot for a request in progress of the service and reports whether one was free.
func (t *upstreamTable) acquireSlot(c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.holdsSlot = t.bulkhead.TryAcquire(c.service.Name)
	return c.holdsSlot
}

// releaseSlot releases the call's slot, if it holds one.
func (t *upstreamTable) releaseSlot(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.holdsSlot {
		t.bulkhead.Release(c.service.Name)
	}
}

// recordRequest adds a request of a caller to the retry budget of its service.
func (t *upstreamTable) recordRequest(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(c).budget.RecordRequest()
}

// retryAfter returns the time after which a refused caller of the service is told to retry.
func (t *upstreamTable) retryAfter(now time.Time, c *call) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(c).queue.RetryAfter(now)
}

// spendRetry takes a retry from the service's budget and reports whether the attempt is allowed.
func (t *upstreamTable) spendRetry(c *call, attempt int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(c).budget.Spend(attempt)
}

// meanWeight is the weight of the latest sample in a moving mean.
const meanWeight = 0.05

// movingMean is an exponentially weighted mean in seconds. It is zero before the first sample.
type movingMean float64

func (m movingMean) add(sample time.Duration) movingMean {
	if m == 0 {
		return movingMean(sample.Seconds())
	}
	return m + meanWeight*(movingMean(sample.Seconds())-m)
}

func (m movingMean) scaled(units int) time.Duration {
	return time.Duration(float64(m) * float64(units) * float64(time.Second))
}
