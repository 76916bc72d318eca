// Package bundlestore keeps bundles in the platform's store: immutable sections,
// signatures, the history of approvals, and one pointer to the latest approval.
package bundlestore

import (
	"context"
	"errors"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

const peer errs.Peer = "store"

// Retries of a write whose outcome is unknown.
const (
	maxAttempts  = 6
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// ReadWriter is the part of the object API that is used.
type ReadWriter interface {
	object.Reader
	object.Writer
}

// Store reads and writes bundles.
type Store struct{ objects ReadWriter }

// New returns a store on the object API.
func New(objects ReadWriter) *Store { return &Store{objects: objects} }

// Pointer is the latest approval with the version of its object.
type Pointer struct {
	Approval approval.Approval
	Hash     bundle.Hash // hash of the approval's data
	Version  object.Version
	data     []byte // as stored
}

// Head returns the head that the pointer stands for.
func (p Pointer) Head() bundle.Head {
	return bundle.Head{Generation: p.Approval.Generation, Manifest: p.Approval.Manifest, Approval: p.Hash}
}

// DecodePointer reads the object of the pointer.
func DecodePointer(o object.Object) (Pointer, error) {
	a, err := approvalfile.DecodeApproval(o.Data)
	if err != nil {
		return Pointer{}, errs.Wrap(err, "decode bundle pointer", peer)
	}
	return Pointer{Approval: a, Hash: bundle.HashOf(o.Data), Version: o.Version, data: o.Data}, nil
}

// Pointer returns the latest approval. It is zero when no bundle was approved yet.
func (s *Store) Pointer(ctx context.Context) (Pointer, error) {
	o, err := s.objects.Get(ctx, approvalfile.KindPointer, approvalfile.PointerName)
	if errors.Is(err, object.ErrNotFound) {
		return Pointer{}, nil
	}
	if err != nil {
		return Pointer{}, errs.Wrap(err, "read bundle pointer", peer)
	}
	return DecodePointer(o)
}

// Section returns the data of a section, checked against its hash.
func (s *Store) Section(ctx context.Context, hash bundle.Hash) ([]byte, error) {
	const step errs.Step = "read bundle section"
	o, err := s.objects.Get(ctx, approvalfile.KindSection, approvalfile.SectionName(hash))
	if err != nil {
		return nil, errs.Wrap(err, step, peer)
	}
	if bundle.HashOf(o.Data) != hash {
		return nil, errs.New(step, peer, "section "+hash.String()+" does not match its hash")
	}
	return o.Data, nil
}

// Bundle returns the bundle with the given manifest.
func (s *Store) Bundle(ctx context.Context, manifest bundle.Hash) (*bundle.Bundle, error) {
	sections := make(bundlefile.Sections)
	for {
		b, err := bundlefile.Decode(manifest, sections)
		var missing *bundlefile.MissingError
		if !errors.As(err, &missing) {
			return b, errs.Wrap(err, "decode bundle", peer)
		}
		for _, hash := range missing.Hashes {
			if sections[hash], err = s.Section(ctx, hash); err != nil {
				return nil, err
			}
		}
	}
}

// PutSections writes sections. One that exists already is touched, which raises its
// version: so an approval under way keeps it from being deleted, see
// package retention. The content never changes.
func (s *Store) PutSections(ctx context.Context, sections []bundlefile.Section) error {
	for _, section := range sections {
		name := approvalfile.SectionName(section.Hash)
		if err := s.putImmutable(ctx, approvalfile.KindSection, name, section.Data); err != nil {
			return errs.Wrap(err, "write bundle section", peer)
		}
	}
	return nil
}

// createImmutable creates an object whose name determines its data. One that exists
// already, also after a lost answer, is as good as written.
func (s *Store) createImmutable(ctx context.Context, kind object.Kind, name object.Name, data []byte) error {
	return repeat(ctx, isTransient, func() error {
		_, err := s.objects.Create(ctx, kind, name, data)
		if errors.Is(err, object.ErrConflict) {
			return nil
		}
		return err
	})
}

// putImmutable creates an object whose name determines its data, or raises the
// version of one that exists.
func (s *Store) putImmutable(ctx context.Context, kind object.Kind, name object.Name, data []byte) error {
	mayPass := func(err error) bool { return isTransient(err) || isOvertaken(err) }
	return repeat(ctx, mayPass, func() error { return s.createOrTouch(ctx, kind, name, data) })
}

// repeat writes again, after a longer wait each time, while the error may pass.
func repeat(ctx context.Context, mayPass func(error) bool, write func() error) error {
	wait := firstBackoff
	for attempt := 1; ; attempt++ {
		err := write()
		if err == nil || attempt == maxAttempts || !mayPass(err) {
			return err
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (s *Store) createOrTouch(ctx context.Context, kind object.Kind, name object.Name, data []byte) error {
	_, err := s.objects.Create(ctx, kind, name, data)
	if !errors.Is(err, object.ErrConflict) {
		return err
	}
	found, err := s.objects.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	_, err = s.objects.Touch(ctx, kind, name, found.Version)
	return err
}

// isOvertaken reports whether another writer came between a read and a write.
func isOvertaken(err error) bool {
	return errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound)
}

func isTransient(err error) bool {
	return errors.Is(err, object.ErrOutcomeUnknown) || errors.Is(err, object.ErrThrottled)
}

func sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// PutSignature writes an operator's signature of a manifest. Signatures of ed25519 are
// deterministic, so a repeated one is the same.
func (s *Store) PutSignature(ctx context.Context, manifest bundle.Hash, signature approval.Signature) error {
	data, err := approvalfile.EncodeSignature(signature)
	if err != nil {
		return errs.Wrap(err, "encode signature", errs.Self)
	}
	name := approvalfile.SignatureName(manifest, signature.Operator)
	return errs.Wrap(s.putImmutable(ctx, approvalfile.KindSignature, name, data), "write signature", peer)
}

// Signatures returns the recorded signatures of a manifest, unverified.
func (s *Store) Signatures(ctx context.Context, manifest bundle.Hash) ([]approval.Signature, error) {
	found, err := s.objects.List(ctx, approvalfile.KindSignature, approvalfile.SignaturePrefix(manifest))
	if err != nil {
		return nil, errs.Wrap(err, "list signatures", peer)
	}
	var signatures []approval.Signature
	for _, o := range found {
		signature, err := approvalfile.DecodeSignature(o.Data)
		if err != nil {
			return nil, errs.Wrap(err, "decode signature "+errs.Step(o.Name), peer)
		}
		signatures = append(signatures, signature)
	}
	return signatures, nil
}
