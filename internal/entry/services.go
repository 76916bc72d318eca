package entry

import (
	"time"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/state/bundle"
)

// serviceState is what this entry keeps for one service, so that the trouble of
// one leaves the others alone.
type serviceState struct {
	generation bundle.Generation // under which the upstreams were last set
	detector   *outlier.Detector
	budget     *retry.Budget
	queue      *admission.Queue
	waiters    map[admission.RequestID]*waiter
	perCall    movingMean // of plain calls
	perToken   movingMean // of streams
}

// service returns the state of the call's service under the call's generation
// or a later one. The caller holds mu.
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
	ejection.Failures = t.settings.Upstreams.EjectAfter
	ejection.EjectFor = t.settings.Upstreams.EjectFor
	queue := admission.DefaultSettings()
	queue.Length = t.settings.Queue.Length
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

// acquireSlot takes one of the service's places for requests in progress and reports whether there was one.
func (t *upstreamTable) acquireSlot(c *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.holdsSlot = t.bulkhead.Enter(c.service.Name)
	return c.holdsSlot
}

// releaseSlot returns the call's place, if it has one.
func (t *upstreamTable) releaseSlot(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.holdsSlot {
		t.bulkhead.Leave(c.service.Name)
	}
}

// recordRequest counts one request of a caller for the retry budget.
func (t *upstreamTable) recordRequest(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(c).budget.RecordRequest()
}

// retryAfter returns when a caller of the service is told to come back.
func (t *upstreamTable) retryAfter(now time.Time, c *call) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(c).queue.RetryAfter(now)
}

// spendRetry takes a retry from the budget and reports whether there was one.
func (t *upstreamTable) spendRetry(c *call, attempt int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(c).budget.Spend(attempt)
}

// meanWeight is the weight of the latest sample in a moving mean.
const meanWeight = 0.05

// movingMean is an exponentially weighted mean in seconds. Zero means that there was no sample.
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
