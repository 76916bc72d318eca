package bundlestore

import (
	"context"
	"errors"
	"fmt"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// ConflictError reports that another approval took the generation first.
type ConflictError struct{ Winner approval.Approval }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was taken by %s's %s of bundle %s",
		e.Winner.Generation, e.Winner.Operator, e.Winner.Action, e.Winner.Manifest)
}

// OutcomeUnknownError reports that an approval may or may not have taken effect.
type OutcomeUnknownError struct {
	Attempt approval.Approval
	Cause   error
}

// Error implements the error interface.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether generation %d was approved is unknown (nonce %s): %v", e.Attempt.Generation, e.Attempt.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// AdvancePointer replaces the pointer current by the approval next, which must be of the
// following generation. The conditional update lets one of several racing approvals
// win; the others get a *RaceError. After a lost answer the pointer is read back and
// recognised by the nonce.
func (s *Store) AdvancePointer(ctx context.Context, current Pointer, next approval.Approval) error {
	if err := s.keepHistory(ctx, current); err != nil {
		return err
	}
	data, err := approvalfile.EncodeApproval(next)
	if err != nil {
		return errs.Wrap(err, "encode approval", errs.Self)
	}
	mayHaveRun := false
	wait := firstBackoff
	for attempt := 1; ; attempt++ {
		err := s.write(ctx, current.Version, data)
		if err == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || errors.Is(err, object.ErrOutcomeUnknown)
		if errors.Is(err, object.ErrConflict) || mayHaveRun {
			settled, result := s.settle(ctx, current, next)
			if settled {
				return result
			}
		}
		if !mayHaveRun && !isTransient(err) {
			return errs.Wrap(err, "move bundle pointer", peer)
		}
		if attempt == maxAttempts {
			return giveUp(mayHaveRun, next, err)
		}
		if err := sleep(ctx, wait); err != nil {
			return giveUp(mayHaveRun, next, err)
		}
		wait = min(2*wait, maxBackoff)
	}
}

func giveUp(mayHaveRun bool, next approval.Approval, err error) error {
	if mayHaveRun {
		return &OutcomeUnknownError{Attempt: next, Cause: err}
	}
	return errs.Wrap(err, "move bundle pointer", peer)
}

func (s *Store) write(ctx context.Context, expected object.Version, data []byte) error {
	var err error
	if expected == 0 {
		_, err = s.objects.Create(ctx, approvalfile.KindPointer, approvalfile.PointerName, data)
	} else {
		_, err = s.objects.Update(ctx, approvalfile.KindPointer, approvalfile.PointerName, data, expected)
	}
	return err
}

// settle reads back what became of the attempt. It is not settled while the pointer
// cannot be read or has not moved: then the write may be repeated, since at most one
// write can succeed against the expected version.
func (s *Store) settle(ctx context.Context, current Pointer, next approval.Approval) (settled bool, result error) {
	pointer, err := s.Pointer(ctx)
	if err != nil || pointer.Version <= current.Version {
		return false, nil
	}
	winner := pointer.Approval
	if winner.Generation > next.Generation {
		winner, err = s.history(ctx, next.Generation)
		if err != nil {
			return false, nil
		}
	}
	if winner.Nonce == next.Nonce {
		return true, nil
	}
	return true, &ConflictError{Winner: winner}
}

// keepHistory records the approval that the pointer holds before it is replaced.
func (s *Store) keepHistory(ctx context.Context, current Pointer) error {
	if current.Version == 0 {
		return nil
	}
	name := approvalfile.HistoryName(current.Approval.Generation)
	return errs.Wrap(s.createImmutable(ctx, approvalfile.KindHistory, name, current.data), "write bundle history", peer)
}

func (s *Store) history(ctx context.Context, generation bundle.Generation) (approval.Approval, error) {
	o, err := s.objects.Get(ctx, approvalfile.KindHistory, approvalfile.HistoryName(generation))
	if err != nil {
		return approval.Approval{}, errs.Wrap(err, "read bundle history", peer)
	}
	a, err := approvalfile.DecodeApproval(o.Data)
	return a, errs.Wrap(err, "decode bundle history", peer)
}

// ApprovalOf returns the approval of a generation, or an error that wraps object.ErrNotFound.
func (s *Store) ApprovalOf(ctx context.Context, generation bundle.Generation) (approval.Approval, error) {
	current, err := s.Pointer(ctx)
	if err != nil {
		return approval.Approval{}, err
	}
	if current.Approval.Generation == generation && generation != 0 {
		return current.Approval, nil
	}
	return s.history(ctx, generation)
}

// History returns the latest approvals, at most limit, the latest first.
func (s *Store) History(ctx context.Context, limit int) ([]approval.Approval, error) {
	current, err := s.Pointer(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	approvals := []approval.Approval{current.Approval}
	for g := current.Approval.Generation - 1; g > 0 && len(approvals) < limit; g-- {
		earlier, err := s.history(ctx, g)
		if errors.Is(err, object.ErrNotFound) {
			return approvals, nil // earlier ones are no longer kept
		}
		if err != nil {
			return nil, err
		}
		approvals = append(approvals, earlier)
	}
	return approvals, nil
}
