// Package rosterplan decides which placement cell each engine of a service belongs to,
// and how many cells there are. It keeps what is assigned unless the sizes of the cells
// leave a wide range, so that few engines change their cell.
package rosterplan

import (
	"math"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/roster"
)

// Settings are the wanted sizes.
type Settings struct {
	CellSize  int // engines of a cell
	CellCount int // of the service, zero to follow the number of engines
}

// The range of sizes within which nothing is changed, as shares.
const (
	growAt    = 1.5  // of the wanted size, in the mean of all cells
	shrinkAt  = 0.5  // of the wanted size, in the mean of all cells
	highShare = 1.25 // of the mean, for one cell
	lowShare  = 0.75 // of the mean, for one cell
)

// HandoverComplete reports whether an engine's last hand-over is complete. Only such an engine
// may be assigned anew.
type HandoverComplete func(roster.Entry) bool

// Next returns the roster that should follow, and whether it differs.
func Next(current roster.Roster, engines []bundle.Upstream, settled HandoverComplete, s Settings) (roster.Roster, bool) {
	p := newPlan(current.Clone(), engines, settled)
	p.resize(cellCount(current.Cells, len(engines), s))
	for _, u := range engines {
		p.place(u)
	}
	p.balance(engines)
	return p.next, p.changed
}

// cellCount follows the number of engines with hysteresis.
func cellCount(cells, engines int, s Settings) int {
	if s.CellCount > 0 {
		return s.CellCount
	}
	wanted := max(1, int(math.Round(float64(engines)/float64(s.CellSize))))
	if cells == 0 {
		return wanted
	}
	mean := float64(engines) / float64(cells)
	if mean > growAt*float64(s.CellSize) || mean < shrinkAt*float64(s.CellSize) {
		return wanted
	}
	return cells
}

// plan is a roster in work.
type plan struct {
	next    roster.Roster
	zones   map[bundle.UpstreamID]bundle.Zone
	settled HandoverComplete
	counts  []map[bundle.Zone]int // engines per cell and zone
	totals  []int                 // engines per cell
	changed bool
}

func newPlan(next roster.Roster, engines []bundle.Upstream, settled HandoverComplete) *plan {
	p := &plan{next: next, settled: settled, zones: make(map[bundle.UpstreamID]bundle.Zone)}
	for _, u := range engines {
		p.zones[u.ID] = u.Zone
	}
	return p
}

func (p *plan) resize(cells int) {
	if cells != p.next.Cells {
		p.next.Cells, p.changed = cells, true
	}
	p.next.Ledgers = max(p.next.Ledgers, cells)
	p.totals = make([]int, p.next.Ledgers)
	p.counts = make([]map[bundle.Zone]int, p.next.Ledgers)
	for i := range p.counts {
		p.counts[i] = make(map[bundle.Zone]int)
	}
	for _, e := range p.next.Entries {
		if zone, ok := p.zones[e.Engine]; ok {
			p.count(e.Cell, zone, 1)
		}
	}
}

func (p *plan) count(cell int, zone bundle.Zone, by int) {
	p.counts[cell][zone] += by
	p.totals[cell] += by
}

// place assigns an engine that is new, or whose cell is given up.
func (p *plan) place(u bundle.Upstream) {
	e, ok := p.next.Entry(u.ID)
	switch {
	case !ok:
		cell := p.emptiest(u.Zone)
		p.next.Set(roster.Entry{Engine: u.ID, Cell: cell, From: roster.NoCell})
		p.count(cell, u.Zone, 1)
		p.changed = true
	case e.Cell >= p.next.Cells && p.settled(e):
		p.move(e, p.emptiest(u.Zone))
	}
}

func (p *plan) move(e roster.Entry, to int) {
	zone := p.zones[e.Engine]
	p.count(e.Cell, zone, -1)
	p.count(to, zone, 1)
	p.next.Set(roster.Entry{Engine: e.Engine, Cell: to, From: e.Cell, Move: e.Move + 1})
	p.changed = true
}

// emptiest returns the cell with the fewest engines, of those the one with the fewest of the zone.
func (p *plan) emptiest(zone bundle.Zone) int {
	best := 0
	for i := 1; i < p.next.Cells; i++ {
		fewer := p.totals[i] < p.totals[best]
		same := p.totals[i] == p.totals[best]
		if fewer || (same && p.counts[i][zone] < p.counts[best][zone]) {
			best = i
		}
	}
	return best
}

// balance evens out the fullest cell and the emptiest while one of them is out of range.
// It moves many engines between two cells rather than a few between many, since each
// hand-over makes one cell read the ledger of the other.
func (p *plan) balance(engines []bundle.Upstream) {
	mean := float64(len(engines)) / float64(p.next.Cells)
	high, low := int(math.Ceil(mean*highShare)), int(math.Floor(mean*lowShare))
	for {
		from, to := p.fullest(), p.emptiest("")
		outOfRange := p.totals[from] > high || p.totals[to] < low
		if !outOfRange || !p.even(engines, from, to, high) {
			return
		}
	}
}

// even moves half of the difference between two cells, as far as the one stays within its
// range. It reports whether an engine was moved.
func (p *plan) even(engines []bundle.Upstream, from, to, high int) bool {
	moved := false
	for range min((p.totals[from]-p.totals[to])/2, high-p.totals[to]) {
		e, ok := p.candidate(engines, from, to)
		if !ok {
			return moved
		}
		p.move(e, to)
		moved = true
	}
	return moved
}

func (p *plan) fullest() int {
	best := 0
	for i := range p.next.Cells {
		if p.totals[i] > p.totals[best] {
			best = i
		}
	}
	return best
}

// candidate returns the engine to move whose zone differs most between the two cells.
func (p *plan) candidate(engines []bundle.Upstream, from, to int) (roster.Entry, bool) {
	var best roster.Entry
	found, widest := false, 0
	for _, u := range engines {
		e, ok := p.next.Entry(u.ID)
		if !ok || e.Cell != from || !p.settled(e) {
			continue
		}
		surplus := p.counts[from][u.Zone] - p.counts[to][u.Zone]
		if !found || surplus > widest {
			best, found, widest = e, true, surplus
		}
	}
	return best, found
}
