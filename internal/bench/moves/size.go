package moves

import (
	"fmt"
	"io"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/state/ledger"
)

// Numbers of the size that they have in a store with some days of writes.
const (
	sampleFence    ledger.Fence = 30_000_000
	sampleSequence uint64       = 20_000
)

// ledgerBytes returns the size of the cell's ledger as it stands.
func (c *cell) ledgerBytes() int {
	l := &ledger.Ledger{Holder: "entry-0001", LeaseUntil: time.UnixMilli(1_900_000_000_000), Nonce: 1 << 60, Generation: 1000}
	for _, e := range c.engines {
		l.Engines = append(l.Engines, sampleEngine(e))
	}
	data, err := ledgerfile.Encode(l)
	if err != nil {
		return 0
	}
	return len(data)
}

func sampleEngine(e placement.Engine) ledger.Engine {
	engine := ledger.Engine{ID: e.ID, Boot: string(e.ID) + "-0123456789ab", Sequence: sampleSequence, Fence: sampleFence, Memory: e.Memory}
	for _, i := range e.Replicas {
		engine.Items = append(engine.Items, ledger.Item{
			Slot: i.Slot, Memory: i.Memory, Resident: true, Ready: true, Loads: []ledger.Fence{sampleFence},
		})
	}
	return engine
}

// leaseWritesPerSecond is one write in half a lease of 30 s.
const leaseWritesPerSecond = 1.0 / 15

// PrintCosts writes what the ledgers of one run cost, for each engine and each cell.
func PrintCosts(w io.Writer, s Scenario, r Result) {
	engines, cells := float64(s.Engines()), float64(len(s.Services))
	hours := s.Duration.Hours()
	fmt.Fprintf(w, "ledger, %s: %d bytes in %d cells (%.0f bytes an engine); for moves %.1f writes an engine and hour, %.0f bytes an engine and hour;\n",
		s.Name, r.LedgerBytes, len(s.Services), float64(r.LedgerBytes)/engines,
		float64(r.StoreWrites)/engines/hours, float64(r.StoreWrites)/engines/hours*float64(r.LedgerBytes)/cells)
	fmt.Fprintf(w, "  for leases %.3f writes/s and %.0f bytes/s in each cell\n\n", leaseWritesPerSecond, leaseWritesPerSecond*float64(r.LedgerBytes)/cells)
}
