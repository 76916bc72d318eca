package gateway

import (
	"context"
	"net/http"
	"time"

	"savoryweir/internal/coordination/quota"
	"savoryweir/internal/state/fleet"
)

// Quotas keeps the quotas of customers over all instances together.
type Quotas interface {
	// Acquire obtains credit for a request, and waits for it where it is expected within maxWait. If it returns
	// false, wait is the time after which there may be some.
	Acquire(ctx context.Context, c *fleet.Customer, amount float64, maxWait time.Duration) (ticket quota.Ticket, isGranted bool, wait time.Duration)
	// GiveBack returns the credit of a request that no upstream has run.
	GiveBack(customer string, t quota.Ticket)
	// Spend records that a further upstream may have run a request.
	Spend(customer string, amount float64)
}

const (
	// maxQuotaWait is the longest wait for credit. It may take up half of the time to the route's target.
	maxQuotaWait = 250 * time.Millisecond
	reasonQuota  = "quota of the customer is used up"
)

// credit is what a request has taken of its customer's quota.
type credit struct {
	ticket quota.Ticket
	runs   int // sends that upstreams may have run; guarded by the mutex of the call
}

// hasQuota reports whether the request counts to a quota here. A forwarded one has been counted by its sender.
func (c *call) hasQuota() bool {
	return c.customer != nil && c.customer.Quota.PerSecond > 0 && c.gateway.Quotas != nil && c.forwarded == nil
}

// takeCredit obtains the credit of the request, or refuses the request and returns false.
func (c *call) takeCredit() bool {
	if !c.hasQuota() {
		return true
	}
	maxWait := maxQuotaWait
	if target := c.route.TargetLatency; target > 0 {
		maxWait = min(maxWait, max(time.Until(c.arrivedAt.Add(target))/2, 0))
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	ticket, isGranted, wait := c.gateway.Quotas.Acquire(ctx, c.customer, c.quotaAmount(), maxWait)
	if !isGranted {
		if c.callerDisconnected() {
			c.abandon()
		}
		c.refuse(http.StatusTooManyRequests, wait, reasonQuota)
		return false
	}
	c.credit.ticket = ticket
	return true
}

// quotaAmount returns what the request counts to the quota of its customer.
func (c *call) quotaAmount() float64 {
	q := c.customer.Quota
	if !q.CountsTokens {
		return 1
	}
	if tokens := c.params.PromptTokens + c.params.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return q.PlainTokens
}

// countRun records that an upstream may have run the request. Each run after the first one counts to the quota beside
// the credit that was obtained. The caller holds c.mu.
func (c *call) countRun() {
	c.credit.runs++
	if c.credit.runs > 1 && c.hasQuota() {
		c.gateway.Quotas.Spend(c.customer.Name, c.credit.ticket.Amount)
	}
}

// returnCredit gives the credit back if no upstream can have run the request.
func (c *call) returnCredit() {
	if c.credit.ticket.Amount > 0 && !c.possiblyExecuted() {
		c.gateway.Quotas.GiveBack(c.customer.Name, c.credit.ticket)
	}
}
