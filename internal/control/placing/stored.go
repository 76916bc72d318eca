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

// stored is a ledger with the version of its object, zero if there is none yet.
type stored struct {
	ledger  *ledger.Ledger
	version object.Version
}

// current returns the stored ledger. What this instance wrote last needs no read: if
// another instance has written since, the next conditional update fails and shows it.
func (c *Cell) current(ctx context.Context, name object.Name) (stored, error) {
	if c.known != nil {
		return *c.known, nil
	}
	clear(c.homes) // another holder may have adopted engines
	return c.read(ctx, name)
}

func (c *Cell) read(ctx context.Context, name object.Name) (stored, error) {
	const step errs.Step = "read placement cell"
	o, err := c.store.Get(ctx, CellKind, name)
	if errors.Is(err, object.ErrNotFound) {
		return stored{ledger: &ledger.Ledger{}}, nil
	}
	if err != nil {
		return stored{}, errs.Wrap(err, step, "store")
	}
	l, err := ledgerfile.Decode(o.Data)
	if err != nil {
		return stored{}, errs.Wrap(err, step, "store")
	}
	return stored{ledger: l, version: o.Version}, nil
}

// mustRenew reports whether the lease, the generation or the roster has to be written anew.
func (c *Cell) mustRenew(now time.Time, current stored, scope Scope) bool {
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

// write replaces the ledger by conditional update and learns the outcome of a lost answer.
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
