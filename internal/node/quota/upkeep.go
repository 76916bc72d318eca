package quota

import (
	"context"
	"time"

	"savoryweir/internal/coordination/quota"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
)

// Run lends the share of this instance to the owners of quotas until ctx ends. It does nothing while no customer has a
// quota.
func (q *Quotas) Run(ctx context.Context) {
	for tick := 0; pause.For(ctx, upkeepInterval); tick++ {
		config := q.Config()
		if config == nil || len(config.Customers) == 0 {
			continue
		}
		q.upkeep(ctx, config, tick)
	}
}

// limitTable holds the quotas of a configuration.
type limitTable struct {
	config     *fleet.Config
	byCustomer map[string]quota.Limits
	groups     map[quota.Group]bool // that have customers with a quota
}

// update reads the quotas of a configuration, unless it is the one known.
func (t *limitTable) update(c *fleet.Config) {
	if t.config == c {
		return
	}
	t.config, t.byCustomer, t.groups = c, make(map[string]quota.Limits), make(map[quota.Group]bool)
	if c == nil {
		return
	}
	for n := range c.Customers {
		if customer := &c.Customers[n]; customer.Quota.PerSecond > 0 {
			t.byCustomer[customer.Name] = limitsOf(customer.Quota)
			t.groups[quota.GroupOf(customer.Name)] = true
		}
	}
}

// limitsOf returns the quota of a customer by the configuration in force here. The caller holds q.mu.
func (q *Quotas) limitsOf(customer string) (quota.Limits, bool) {
	q.limits.update(q.Config())
	l, ok := q.limits.byCustomer[customer]
	return l, ok
}

// upkeep sends the messages that are due.
func (q *Quotas) upkeep(ctx context.Context, config *fleet.Config, tick int) {
	q.mu.Lock()
	q.limits.update(config)
	now := q.Clock()
	for customer, l := range q.limits.byCustomer {
		q.member.Open(now, customer, l, q.Bounds())
	}
	groups := q.limits.groups
	if tick%pruneTicks == 0 {
		q.prune(now)
	}
	q.logRefusals(now)
	q.mu.Unlock()
	for g := range groups {
		q.renew(ctx, g)
	}
	q.tellNews()
}

// prune forgets what is no longer used. The caller holds q.mu.
func (q *Quotas) prune(now time.Duration) {
	q.member.Prune(now)
	for customer, a := range q.accounts {
		if _, hasQuota := q.limits.byCustomer[customer]; !hasQuota && !a.isAsking {
			delete(q.accounts, customer)
		}
	}
}

// renew sends the message that keeps the share of a group lent to its owner, if one is due.
func (q *Quotas) renew(ctx context.Context, g quota.Group) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	ask, to, isDue := q.member.Upkeep(now, g, q.owner(now, g), q.share())
	if !isDue {
		return
	}
	replies := q.send(now, to, ask)
	q.logLoan(g, to, ask)
	go q.await(to, ask, replies)
}

// logLoan logs that the share of a group is lent to another instance than before. The caller holds q.mu.
func (q *Quotas) logLoan(g quota.Group, to string, ask quota.Ask) {
	if ask.Loan.Share == 0 || q.lentTo[g] == to {
		return
	}
	q.Log.Info().Str("event", "quota.lent").Str("group", string(g)).Str("to", to).Str("before", q.lentTo[g]).Float64("share", ask.Loan.Share).
		Msg("share of the quotas of a group of customers is lent to another instance")
	q.lentTo[g] = to
}

// tellNews tells owners what was given back and spent by requests, where no request waits for credit.
func (q *Quotas) tellNews() {
	life := q.Bounds().CreditLife()
	for _, customer := range q.customersWithNews(life) {
		q.mu.Lock()
		a := q.account(customer)
		ask, to, replies := q.claim(a, nil)
		sentAt := q.Clock()
		q.mu.Unlock()
		go func() {
			reply, ok := q.await(to, ask, replies)
			q.recordTold(a, to, ask, reply, ok, sentAt)
		}()
	}
}

// recordTold records the reply to a question for no request.
func (q *Quotas) recordTold(a *account, owner string, ask quota.Ask, reply quota.Reply, isReply bool, sentAt time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !isReply {
		a.Spend(ask.Claims[0].Spent)
	}
	for _, g := range reply.Grants {
		a.Fill(owner, sentAt, g.Ahead)
	}
}

func (q *Quotas) customersWithNews(life time.Duration) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	var list []string
	for customer, a := range q.accounts {
		if !a.isAsking && a.HasNews(now, life) {
			list = append(list, customer)
		}
	}
	return list
}

// refusals counts the refusals of a customer since the last line of the log.
type refusals struct {
	count    int
	left     float64
	owner    string
	wait     time.Duration // the longest
	loggedAt time.Duration
}

// refusalLogInterval is the shortest time between two lines on the refusals of a customer.
const refusalLogInterval = time.Second

// refuse records a refusal. left is the credit that the owner has told of; without an owner, too many requests
// wait here. The caller holds q.mu.
func (q *Quotas) refuse(now time.Duration, a *account, left float64, owner string, wait time.Duration) {
	q.Count(a.customer, "refused")
	r := &a.refused
	r.count++
	r.left, r.owner, r.wait = left, owner, max(r.wait, wait)
	if now-r.loggedAt >= refusalLogInterval {
		q.logRefused(now, a)
	}
}

func (q *Quotas) logRefused(now time.Duration, a *account) {
	r := a.refused
	q.Log.Info().Str("event", "quota.refused").Str("customer", a.customer).Int("requests", r.count).Float64("left", r.left).Str("owner", r.owner).
		Float64("per_second", a.perSecond).Float64("quota", a.limits.PerSecond).Dur("wait", r.wait).Msg("requests beyond the quota of a customer are refused")
	a.refused = refusals{loggedAt: now}
}

// logRefusals logs the refusals that have not been logged yet. The caller holds q.mu.
func (q *Quotas) logRefusals(now time.Duration) {
	for _, a := range q.accounts {
		if a.refused.count > 0 && now-a.refused.loggedAt >= refusalLogInterval {
			q.logRefused(now, a)
		}
	}
}
