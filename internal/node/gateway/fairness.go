package gateway

import (
	"net/http"
	"sync"
	"time"

	"savoryweir/internal/coordination/dispatch"
	"savoryweir/internal/coordination/fairness"
	"savoryweir/internal/state/fleet"
)

const (
	// fairViewAge is the age at which the view of what customers use is computed anew.
	fairViewAge = 100 * time.Millisecond
	// reasonOverloaded is the reason with which admission refuses.
	reasonOverloaded = "overloaded"
	// plainWork is what a request without tokens counts as. Only its relation to the rounding of reports
	// to whole tokens matters.
	plainWork       = 100
	reasonOverShare = "customer is above its share while others are refused"
)

// fairRoom divides room that is short over customers and kinds of requests. It is safe for concurrent use.
type fairRoom struct {
	mu       sync.Mutex // guards all fields below
	ledger   *fairness.Ledger
	view     *fairness.View
	viewedAt time.Time
	thinner  *fairness.Thinner
}

func newFairRoom() *fairRoom {
	return &fairRoom{ledger: fairness.NewLedger(func(string) float64 { return 1 }), thinner: fairness.NewThinner()}
}

// refuses reports whether a request is refused so that others get their share, and the share of such
// requests that are. It records the refusal.
func (f *fairRoom) refuses(now time.Time, r fairness.Request) (isRefused bool, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || now.Sub(f.viewedAt) >= fairViewAge {
		f.view, f.viewedAt = f.ledger.View(now), now
	}
	share = f.view.RefusalShare(r)
	if !f.thinner.Refuses(r, share) {
		return false, share
	}
	f.ledger.RecordRefused(now, r, true)
	return true, share
}

func (f *fairRoom) update(change func(*fairness.Ledger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.ledger)
}

// CustomerWork returns the work of this instance by customer and route, nil unless room is short anywhere.
func (g *Gateway) CustomerWork() map[fairness.Row]fairness.Work {
	var rows map[fairness.Row]fairness.Work
	now := time.Now()
	g.fairRoom.update(func(l *fairness.Ledger) {
		if l.IsScarce(now) {
			rows = l.Local(now)
		}
	})
	return rows
}

// RecordPeerWork replaces the work of another instance.
func (g *Gateway) RecordPeerWork(instance string, rows map[fairness.Row]fairness.Work) {
	g.fairRoom.update(func(l *fairness.Ledger) { l.SetRemote(time.Now(), instance, rows) })
}

// RecordFleetWork replaces the work of all other instances by their sum.
func (g *Gateway) RecordFleetWork(rows map[fairness.Row]fairness.Work) {
	g.fairRoom.update(func(l *fairness.Ledger) { l.ReplaceRemote(time.Now(), rows) })
}

// isFairnessJudged reports whether the request counts for fairness: it is enabled, the configuration names
// customers, and no other instance has judged the request.
func (c *call) isFairnessJudged() bool {
	return c.gateway.FairShares && c.config != nil && len(c.config.Customers) > 0 && c.forwarded == nil
}

// fairnessRequest describes the request for fairness. Requests without tokens count alike.
func (c *call) fairnessRequest() fairness.Request {
	r := fairness.Request{Service: c.service, Customer: anonymousCustomer, Kind: c.route.Name, Tokens: plainWork}
	if c.customer != nil {
		r.Customer = c.customer.Name
	}
	if c.route.Kind == fleet.KindStream {
		r.Tokens = float64(c.unsharedPromptTokens() + c.expectedOutputTokens())
	}
	return r
}

// anonymousCustomer stands for the callers of public routes.
const anonymousCustomer = "-"

// refuseOverShare refuses a request so that others get their share of room that is short, and reports
// whether it did.
func (c *call) refuseOverShare() bool {
	if !c.isFairnessJudged() {
		return false
	}
	g, r, now := c.gateway, c.fairnessRequest(), time.Now()
	isRefused, share := g.fairRoom.refuses(now, r)
	if !isRefused {
		return false
	}
	retryAfter := dispatch.RetryDelay(time.Until(c.deadline))
	g.Log.Info().Str("event", "request.over_share").Str("request", c.params.ID).Str("customer", r.Customer).Str("route", r.Kind).Str("service", r.Service).
		Float64("refused_share", share).Float64("tokens", r.Tokens).Dur("retry_after", retryAfter).Msg("request refused; room is short and its customer or kind has more than its share")
	c.refuse(http.StatusServiceUnavailable, retryAfter, reasonOverShare)
	return true
}

// recordFairAdmission records that the request is sent to an upstream. Only the first send counts.
func (c *call) recordFairAdmission() {
	if !c.isFairnessJudged() || c.isAdmitted.Swap(true) {
		return
	}
	c.gateway.fairRoom.update(func(l *fairness.Ledger) { l.RecordAdmitted(time.Now(), c.fairnessRequest()) })
}

// recordFairRefusal records at the end of a request whether it was refused for want of room.
func (c *call) recordFairRefusal() {
	if c.status != http.StatusServiceUnavailable || c.route == nil || !c.isFairnessJudged() || !c.wasShortOfRoom() {
		return
	}
	record := (*fairness.Ledger).Revoke
	if !c.isAdmitted.Load() {
		record = func(l *fairness.Ledger, now time.Time, r fairness.Request) { l.RecordRefused(now, r, false) }
	}
	c.gateway.fairRoom.update(func(l *fairness.Ledger) { record(l, time.Now(), c.fairnessRequest()) })
}

// wasShortOfRoom reports whether the request was refused because upstreams have no room.
func (c *call) wasShortOfRoom() bool {
	return c.outcome == reasonOverloaded || c.outcome == reasonLimited || c.outcome != reasonOverShare && c.foundNoRoom.Load()
}
