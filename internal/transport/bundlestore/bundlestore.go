// Package bundlestore stores bundles in the platform's object store: immutable sections,
// signatures, the history of approvals, and one pointer object with the latest approval.
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

// Limits of the retries of a write that failed temporarily or whose outcome is unknown.
const (
	maxAttempts    = 6
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// ReadWriter is the part of the object API that Store uses.
type ReadWriter interface {
	object.Reader
	object.Writer
}

// Store reads and writes bundles and their approvals.
type Store struct{ objects ReadWriter }

// New returns a store that uses the given object API.
func New(objects ReadWriter) *Store { return &Store{objects: objects} }

// Pointer is the content of the pointer object: the latest approval, with the object's
// version. The version is 0 if no bundle was approved yet.
type Pointer struct {
	Approval approval.Approval
	Hash     bundle.Hash // hash of the encoded approval
	Version  object.Version
	data     []byte // encoded approval as stored
}

// Head returns the bundle head that the pointer describes.
func (p Pointer) Head() bundle.Head {
	return bundle.Head{Generation: p.Approval.Generation, Manifest: p.Approval.Manifest, Approval: p.Hash}
}

// DecodePointer decodes the pointer object.
func DecodePointer(o object.Object) (Pointer, error) {
	a, err := approvalfile.DecodeApproval(o.Data)
	if err != nil {
		return Pointer{}, errs.Wrap(err, "decode bundle pointer", peer)
	}
	return Pointer{Approval: a, Hash: bundle.HashOf(o.Data), Version: o.Version, data: o.Data}, nil
}

// Pointer reads the latest approval. It returns the zero Pointer if no bundle was approved
// yet.
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

// Section reads a section. It returns an error if the data does not match the hash.
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

// Bundle reads the bundle with the given manifest and all its sections.
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

// PutSections writes sections. It touches a section that exists already, which raises the
// section's version and so keeps it from being deleted while an approval that needs it is
// in progress; see package retention. The content of a section never changes.
func (s *Store) PutSections(ctx context.Context, sections []bundlefile.Section) error {
	for _, section := range sections {
		name := approvalfile.SectionName(section.Hash)
		if err := s.putImmutable(ctx, approvalfile.KindSection, name, section.Data); err != nil {
			return errs.Wrap(err, "write bundle section", peer)
		}
	}
	return nil
}

// createImmutable creates an object whose name determines its data. If the object exists
// already, for example because the response to an earlier attempt was lost, the write
// counts as successful.
func (s *Store) createImmutable(ctx context.Context, kind object.Kind, name object.Name, data []byte) error {
	return retry(ctx, isTransient, func() error {
		_, err := s.objects.Create(ctx, kind, name, data)
		if errors.Is(err, object.ErrConflict) {
			return nil
		}
		return err
	})
}

// putImmutable creates an object whose name determines its data, or raises the version of
// the existing object.
func (s *Store) putImmutable(ctx context.Context, kind object.Kind, name object.Name, data []byte) error {
	isRetryable := func(err error) bool { return isTransient(err) || isWriteRace(err) }
	return retry(ctx, isRetryable, func() error { return s.createOrTouch(ctx, kind, name, data) })
}

// retry calls write, at most maxAttempts times and with exponential backoff, until it
// succeeds or returns an error that is not retryable.
func retry(ctx context.Context, isRetryable func(error) bool, write func() error) error {
	wait := initialBackoff
	for attempt := 1; ; attempt++ {
		err := write()
		if err == nil || attempt == maxAttempts || !isRetryable(err) {
			return err
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, maxBackoff)
	}
}

// createOrTouch makes one attempt to create the object or to raise its version.
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

// isWriteRace reports whether another writer changed or deleted the object between a read
// and a write.
func isWriteRace(err error) bool {
	return errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound)
}

// isTransient reports whether a repeated call may succeed.
func isTransient(err error) bool {
	return errors.Is(err, object.ErrOutcomeUnknown) || errors.Is(err, object.ErrThrottled)
}

// sleep waits for d. It returns the cause of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// PutSignature writes an operator's signature of a manifest. Ed25519 signatures are
// deterministic, so signing a manifest again gives the same object.
func (s *Store) PutSignature(ctx context.Context, manifest bundle.Hash, signature approval.Signature) error {
	data, err := approvalfile.EncodeSignature(signature)
	if err != nil {
		return errs.Wrap(err, "encode signature", errs.Self)
	}
	name := approvalfile.SignatureName(manifest, signature.Operator)
	return errs.Wrap(s.putImmutable(ctx, approvalfile.KindSignature, name, data), "write signature", peer)
}

// Signatures reads the stored signatures of a manifest without verifying them.
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
