// Package quota keeps the quotas of customers over all instances together, without a coordinator and without calls to
// the store. Each instance has an equal share of every quota and lends it, for a short time, to the instance that it
// takes for the owner. An owner grants credit by demand, at the rate of the shares that it has been lent. As a share
// is lent to one owner at a time, the shares of all owners add up to one at most, whoever hears whom.
package quota

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits is the quota of a customer, in requests or in tokens.
type Limits struct {
	PerSecond float64
	Burst     float64
}

// min returns the lower limits of two.
func (l Limits) min(other Limits) Limits {
	return Limits{PerSecond: min(l.PerSecond, other.PerSecond), Burst: min(l.Burst, other.Burst)}
}

// Bounds is what the operator tolerates: in each Window, a customer may use its quota times 1 + Over, and Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

const (
	// The parts of Over by which the rate and the stock are raised, so that what lies within the quota is not
	// refused because of a delay or a few callers at once, and that of credit which is granted before its request
	// arrives. slackPart is the part of Slack that is added to the stock, for requests that are large against the
	// quota. The rest is kept for failures: requests that run twice and instances that are not known to all
	// others yet.
	ratePart   = 0.1
	stockPart  = 0.4
	creditPart = 0.3
	slackPart  = 0.6
	// leastStock is the time whose credit can be kept, and that of one request, also where the quota has no burst.
	leastStock = 200 * time.Millisecond
	// maxCreditLife limits how long such credit is kept.
	maxCreditLife = 250 * time.Millisecond
)

// rate returns what all owners together may grant of a quota: an amount per second, and the largest unused stock.
func (b Bounds) rate(l Limits) (perSecond, stock float64) {
	perSecond = l.PerSecond * (1 + ratePart*b.Over)
	stock = l.Burst + stockPart*b.Over*l.PerSecond*b.Window.Seconds() + slackPart*b.Slack
	if missing := max(perSecond*leastStock.Seconds(), 1) - stock; missing > 0 { // taken off what the window allows
		return max(perSecond-missing/b.Window.Seconds(), 0), stock + missing
	}
	return perSecond, stock
}

// CreditLife returns how long credit that was granted ahead of its requests may be used.
func (b Bounds) CreditLife() time.Duration {
	return min(time.Duration(creditPart*b.Over*float64(b.Window)), maxCreditLife)
}

// Group is a group of customers with the same owner. Shares are lent by group, so that the messages of an idle fleet
// don't grow with the number of customers.
type Group string

// groupCount is the number of groups. All builds that serve side by side must have the same.
const groupCount = 8

// GroupOf returns the group of a customer.
func GroupOf(customer string) Group {
	return Group(strconv.FormatUint(xxhash.Sum64String(customer)%groupCount, 10))
}
