// Package rosterplan decides how many placement cells a service has and to which cell
// each of its engines belongs. It keeps existing assignments while the cell sizes stay
// within a wide range, so that few engines change their cell.
package rosterplan

import (
	"math"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/roster"
)

// Settings are the desired sizes.
type Settings struct {
	CellSize  int // desired engines per cell
	CellCount int // fixed number of cells of the service, zero to follow the number of engines
}

// The thresholds of cell sizes, as shares. No engine is reassigned and no cell is added
// while the sizes are within them.
const (
	growThreshold   = 1.5  // of the desired size, for the mean of all cells
	shrinkThreshold = 0.5  // of the desired size, for the mean of all cells
	maxCellShare    = 1.25 // of the mean, for a single cell
	minCellShare    = 0.75 // of the mean, for a single cell
)

// HandoverComplete reports whether an engine's last handover between cells is complete. Only
// such an engine may be reassigned.
type HandoverComplete func(roster.Entry) bool

// Next returns the roster that should replace the current one, and whether the two differ.
func Next(current roster.Roster, engines []bundle.Upstream, handoverComplete HandoverComplete, s Settings) (roster.Roster, bool) {
	p := newPlan(current.Clone(), engines, handoverComplete)
	p.resize(cellCount(current.Cells, len(engines), s))
	for _, u := range engines {
		p.assign(u)
	}
	p.balance(engines)
	return p.next, p.changed
}

// cellCount returns the number of cells, which follows the number of engines with
// hysteresis unless the settings fix it.
func cellCount(cells, engines int, s Settings) int {
	if s.CellCount > 0 {
		return s.CellCount
	}
	desired := max(1, int(math.Round(float64(engines)/float64(s.CellSize))))
	if cells == 0 {
		return desired
	}
	mean := float64(engines) / float64(cells)
	if mean > growThreshold*float64(s.CellSize) || mean < shrinkThreshold*float64(s.CellSize) {
		return desired
	}
	return cells
}

// plan is the next roster while it is being computed.
type plan struct {
	next             roster.Roster
	zones            map[bundle.UpstreamID]bundle.Zone
	handoverComplete HandoverComplete
	zoneCounts       []map[bundle.Zone]int // engines per cell and zone
	cellSizes        []int                 // engines per cell
	changed          bool
}

func newPlan(next roster.Roster, engines []bundle.Upstream, handoverComplete HandoverComplete) *plan {
	p := &plan{next: next, handoverComplete: handoverComplete, zones: make(map[bundle.UpstreamID]bundle.Zone)}
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
	p.cellSizes = make([]int, p.next.Ledgers)
	p.zoneCounts = make([]map[bundle.Zone]int, p.next.Ledgers)
	for i := range p.zoneCounts {
		p.zoneCounts[i] = make(map[bundle.Zone]int)
	}
	for _, e := range p.next.Entries {
		if zone, ok := p.zones[e.Engine]; ok {
			p.addToCounts(e.Cell, zone, 1)
		}
	}
}

func (p *plan) addToCounts(cell int, zone bundle.Zone, by int) {
	p.zoneCounts[cell][zone] += by
	p.cellSizes[cell] += by
}

// assign assigns a cell to an engine that is new or whose cell is being removed. An engine
// of the second kind keeps its cell until its last handover is complete.
func (p *plan) assign(u bundle.Upstream) {
	e, ok := p.next.Entry(u.ID)
	switch {
	case !ok:
		cell := p.smallestCell(u.Zone)
		p.next.Set(roster.Entry{Engine: u.ID, Cell: cell, From: roster.NoCell})
		p.addToCounts(cell, u.Zone, 1)
		p.changed = true
	case e.Cell >= p.next.Cells && p.handoverComplete(e):
		p.move(e, p.smallestCell(u.Zone))
	}
}

func (p *plan) move(e roster.Entry, to int) {
	zone := p.zones[e.Engine]
	p.addToCounts(e.Cell, zone, -1)
	p.addToCounts(to, zone, 1)
	p.next.Set(roster.Entry{Engine: e.Engine, Cell: to, From: e.Cell, Move: e.Move + 1})
	p.changed = true
}

// smallestCell returns the cell with the fewest engines. Among equal cells, it prefers the
// one with the fewest engines in the zone.
func (p *plan) smallestCell(zone bundle.Zone) int {
	best := 0
	for i := 1; i < p.next.Cells; i++ {
		fewer := p.cellSizes[i] < p.cellSizes[best]
		same := p.cellSizes[i] == p.cellSizes[best]
		if fewer || (same && p.zoneCounts[i][zone] < p.zoneCounts[best][zone]) {
			best = i
		}
	}
	return best
}

// balance equalizes the largest and the smallest cell while one of them is out of range.
// It moves many engines between two cells rather than a few between many cells, since for
// each pair of cells with a handover one cell must read the ledger of the other.
func (p *plan) balance(engines []bundle.Upstream) {
	mean := float64(len(engines)) / float64(p.next.Cells)
	maxSize, minSize := int(math.Ceil(mean*maxCellShare)), int(math.Floor(mean*minCellShare))
	for {
		from, to := p.largestCell(), p.smallestCell("")
		outOfRange := p.cellSizes[from] > maxSize || p.cellSizes[to] < minSize
		if !outOfRange || !p.equalize(engines, from, to, maxSize) {
			return
		}
	}
}

// equalize moves half of the size difference from one cell to the other, as long as the
// receiving cell does not exceed maxSize engines. It reports whether an engine was moved.
func (p *plan) equalize(engines []bundle.Upstream, from, to, maxSize int) bool {
	moved := false
	for range min((p.cellSizes[from]-p.cellSizes[to])/2, maxSize-p.cellSizes[to]) {
		e, ok := p.engineToMove(engines, from, to)
		if !ok {
			return moved
		}
		p.move(e, to)
		moved = true
	}
	return moved
}

func (p *plan) largestCell() int {
	best := 0
	for i := range p.next.Cells {
		if p.cellSizes[i] > p.cellSizes[best] {
			best = i
		}
	}
	return best
}

// engineToMove returns an engine of cell from. It chooses the zone whose number of engines
// in from exceeds that in to the most, and skips engines whose last handover is not complete.
func (p *plan) engineToMove(engines []bundle.Upstream, from, to int) (roster.Entry, bool) {
	var best roster.Entry
	found, largestSurplus := false, 0
	for _, u := range engines {
		e, ok := p.next.Entry(u.ID)
		if !ok || e.Cell != from || !p.handoverComplete(e) {
			continue
		}
		surplus := p.zoneCounts[from][u.Zone] - p.zoneCounts[to][u.Zone]
		if !found || surplus > largestSurplus {
			best, found, largestSurplus = e, true, surplus
		}
	}
	return best, found
}
