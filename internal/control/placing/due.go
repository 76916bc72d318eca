package placing

import (
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
)

// due returns the engines whose reports are wanted in this step: all after a change of the
// bundle, after the ledger had to be read and when an order is overdue; else those that are
// moving, that do not answer, or that were not asked for the report interval. A step that
// wants to move something asks the others too before it decides.
func (c *Cell) due(now time.Time, l *ledger.Ledger, scope Scope) []bundle.Upstream {
	isOverdue := len(c.tracker.overdue(now, c.settings.Resend)) > 0
	if c.known == nil || l.Generation != scope.Generation || isOverdue {
		return scope.Upstreams
	}
	var due []bundle.Upstream
	for _, u := range scope.Upstreams {
		e := l.Engine(u.ID)
		isOld := now.Sub(c.answered[u.ID]) >= c.settings.reportInterval()
		if isOld || e == nil || e.Unreachable || e.IsMoving() {
			due = append(due, u)
		}
	}
	return due
}

// except returns the engines that are not among the given ones.
func except(scope Scope, given []bundle.Upstream) []bundle.Upstream {
	var rest []bundle.Upstream
	for _, u := range scope.Upstreams {
		if !slices.ContainsFunc(given, func(g bundle.Upstream) bool { return g.ID == u.ID }) {
			rest = append(rest, u)
		}
	}
	return rest
}

// reportInterval is the longest time between two reports of an engine at rest. It leaves a
// step for a second question before a silent engine counts as lost, so that asking less
// often neither delays the notice of a loss nor makes one of a single lost answer.
func (s Settings) reportInterval() time.Duration {
	return min(s.ReportInterval, s.LostAfter-s.Interval)
}
