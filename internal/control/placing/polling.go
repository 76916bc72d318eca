package placing

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// enginesToPoll returns the engines to ask for a report in this reconciliation. These are all
// engines after a change of the bundle, after the ledger had to be read, and when an order is
// overdue. Otherwise they are the engines that have orders in progress, that are unreachable, or
// whose last report is at least one report interval old. If the plan then has orders, decide polls
// the remaining engines before any order is sent.
func (c *Cell) enginesToPoll(now time.Time, l *ledger.Ledger, scope Scope) []bundle.Upstream {
	isOverdue := len(c.tracker.overdue(now, c.settings.Resend)) > 0
	if c.lastWritten == nil || l.Generation != scope.Generation || isOverdue {
		return scope.Upstreams
	}
	var toPoll []bundle.Upstream
	for _, u := range scope.Upstreams {
		e := l.Engine(u.ID)
		isOld := now.Sub(c.lastReportAt[u.ID]) >= c.settings.reportInterval()
		if isOld || e == nil || e.Unreachable || e.AwaitsOrderEffect() {
			toPoll = append(toPoll, u)
		}
	}
	return toPoll
}

// upstreamsExcept returns the upstreams of the scope that are not among the given ones.
func upstreamsExcept(scope Scope, given []bundle.Upstream) []bundle.Upstream {
	var rest []bundle.Upstream
	for _, u := range scope.Upstreams {
		if !slices.ContainsFunc(given, func(g bundle.Upstream) bool { return g.ID == u.ID }) {
			rest = append(rest, u)
		}
	}
	return rest
}

// reportInterval returns the longest time between two reports of an idle engine. It leaves one
// reconciliation for a second poll before an unresponsive engine counts as lost, so that polling
// less often neither delays the detection of a loss nor takes a single lost answer for a loss.
func (s Settings) reportInterval() time.Duration {
	return min(s.ReportInterval, s.LostAfter-s.Interval)
}
