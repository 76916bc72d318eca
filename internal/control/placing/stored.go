package placing

import (
	"context"
	"errors"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/ledgerfile"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/state/object"
)

// storedLedger is a ledger with the version of its store object, which is zero if there is none yet.
type storedLedger struct {
	ledger  *ledger.Ledger
	version object.Version
}

// current returns the stored ledger. If this instance knows what it last wrote, it reads nothing:
// if another instance has written since, the next conditional update fails.
func (c *Cell) current(ctx context.Context, name object.Name) (storedLedger, error) {
	if c.lastWritten != nil {
		return *c.lastWritten, nil
	}
	clear(c.homeLedgers) // another holder may have adopted engines
	return c.read(ctx, name)
}

func (c *Cell) read(ctx context.Context, name object.Name) (storedLedger, error) {
	const step errs.Step = "read placement cell"
	o, err := c.store.Get(ctx, CellKind, name)
	if errors.Is(err, object.ErrNotFound) {
		return storedLedger{ledger: &ledger.Ledger{}}, nil
	}
	if err != nil {
		return storedLedger{}, errs.Wrap(err, step, "store")
	}
	l, err := ledgerfile.Decode(o.Data)
	if err != nil {
		return storedLedger{}, errs.Wrap(err, step, "store")
	}
	return storedLedger{ledger: l, version: o.Version}, nil
}

// mustRenew reports whether the ledger has to be written to renew the lease or to record a new
// generation or roster.
func (c *Cell) mustRenew(now time.Time, current storedLedger, scope Scope) bool {
	l := current.ledger
	half := l.LeaseUntil.Add(-c.settings.Lease / 2)
	stale := l.Generation != scope.Generation || l.Roster != scope.rosterVersion()
	return current.version == 0 || l.Holder != c.instance || !now.Before(half) || stale
}

// rosterVersion returns the version of the roster that the scope follows, or zero.
func (s Scope) rosterVersion() object.Version {
	if s.Assignment == nil {
		return 0
	}
	return s.Assignment.Roster.Version
}

// write replaces the ledger by a conditional update. If the outcome is unknown because the answer
// was lost, it reads the ledger back and compares the nonce.
func (c *Cell) write(ctx context.Context, now time.Time, scope Scope, l *ledger.Ledger, expected object.Version) (object.Version, error) {
	const step errs.Step = "write placement cell"
	l.Holder, l.LeaseUntil = c.instance, now.Add(c.settings.Lease)
	l.Nonce, l.Generation, l.Roster = c.nonce(), scope.Generation, scope.rosterVersion()
	data, err := ledgerfile.Encode(l)
	if err != nil {
		return 0, errs.Wrap(err, step, errs.Self)
	}
	version, err := c.replace(ctx, scope.Name, data, expected)
	if !errors.Is(err, object.ErrOutcomeUnknown) {
		return version, errs.Wrap(err, step, "store")
	}
	found, readErr := c.read(ctx, scope.Name)
	if readErr != nil {
		return 0, readErr
	}
	if found.ledger.Nonce != l.Nonce {
		return 0, errs.Wrap(err, step, "store")
	}
	return found.version, nil
}

func (c *Cell) replace(ctx context.Context, name object.Name, data []byte, expected object.Version) (object.Version, error) {
	if expected == 0 {
		return c.store.Create(ctx, CellKind, name, data)
	}
	return c.store.Update(ctx, CellKind, name, data, expected)
}
