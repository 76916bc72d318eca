package claims

import (
	"context"
	"errors"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/journalcodec"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/object"
)

// Store contains the methods of the object API that the journal uses.
type Store interface {
	object.Reader
	object.Writer
}

const storePeer errs.Peer = "store"

// shardStore reads and writes the objects of one shard.
type shardStore struct {
	id               journal.ShardID
	store            Store
	timeout          time.Duration
	obsoleteSegments *queue.Queue[journal.SegmentRef] // segments that runSegmentDeletion deletes
	metrics          *metrics
}

// maxLoadAttempts is the maximum number of attempts to read a shard. An attempt
// fails when another owner merges the shard's segments during the read.
const maxLoadAttempts = 3

// load advances a shard to the current head in the store.
func (s *shardStore) load(ctx context.Context, shard *journal.Shard) error {
	var err error
	for range maxLoadAttempts {
		err = s.loadOnce(ctx, shard)
		if !errors.Is(err, journal.ErrMissingSegment) {
			return err
		}
	}
	return err
}

func (s *shardStore) loadOnce(ctx context.Context, shard *journal.Shard) error {
	head, version, err := s.readHead(ctx)
	if errors.Is(err, object.ErrNotFound) && shard.Version() == 0 {
		return nil
	}
	if err != nil {
		return errs.Wrap(err, "read journal head", storePeer)
	}
	read, err := s.readSegments(ctx, shard.MissingSegments(head))
	if err != nil {
		return errs.Wrap(err, "read journal segment", storePeer)
	}
	return shard.ApplyHead(version, head, read)
}

func (s *shardStore) readHead(ctx context.Context) (journal.Head, object.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	o, err := s.store.Get(ctx, journal.KindHead, journal.HeadName(s.id))
	if err != nil {
		return journal.Head{}, 0, readError(err)
	}
	head, err := journalcodec.DecodeHead(o.Data)
	return head, o.Version, err
}

func (s *shardStore) readSegments(ctx context.Context, refs []journal.SegmentRef) (map[object.Name][]journal.Record, error) {
	read := make(map[object.Name][]journal.Record, len(refs))
	for _, ref := range refs {
		records, err := s.readSegment(ctx, ref.Name)
		if errors.Is(err, object.ErrNotFound) {
			return nil, journal.ErrMissingSegment
		}
		if err != nil {
			return nil, err
		}
		read[ref.Name] = records
	}
	return read, nil
}

func (s *shardStore) readSegment(ctx context.Context, name object.Name) ([]journal.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	o, err := s.store.Get(ctx, journal.KindSegment, name)
	if err != nil {
		return nil, readError(err)
	}
	return journalcodec.DecodeRecords(o.Data)
}

// readError converts the timeout of a read to object.ErrUnavailable.
func readError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return object.ErrUnavailable
	}
	return err
}

// write carries out a planned write: it creates the segment, if there is one, then
// writes the head. It returns the version of the head.
func (s *shardStore) write(ctx context.Context, plan *journal.Write) (object.Version, error) {
	if plan.Segment != nil {
		version, err := s.writeSegment(ctx, *plan.Segment)
		if err != nil {
			return 0, errs.Wrap(err, "write journal segment", storePeer)
		}
		plan.Head.Segments[len(plan.Head.Segments)-1].Version = version
	}
	version, err := s.writeHead(ctx, *plan)
	return version, errs.Wrap(err, "write journal head", storePeer)
}

func (s *shardStore) writeSegment(ctx context.Context, segment journal.Segment) (object.Version, error) {
	data, err := journalcodec.EncodeRecords(segment.Records)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.metrics.countWrite(len(data))
	return s.store.Create(ctx, journal.KindSegment, segment.Name, data)
}

func (s *shardStore) writeHead(ctx context.Context, plan journal.Write) (object.Version, error) {
	data, err := journalcodec.EncodeHead(plan.Head)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.metrics.countHeadWrite(len(data))
	name := journal.HeadName(plan.Shard)
	if plan.Expected == 0 {
		return s.store.Create(ctx, journal.KindHead, name, data)
	}
	return s.store.Update(ctx, journal.KindHead, name, data, plan.Expected)
}

// discard queues segments to which no head refers for deletion. When the queue is
// full, they remain in the store until the shard is next opened.
func (s *shardStore) discard(refs []journal.SegmentRef) {
	for _, ref := range refs {
		s.obsoleteSegments.Offer(ref)
	}
}

// open reads a shard for the first time, with a single list call for its segments.
// It discards segments to which no head will ever refer.
func (s *shardStore) open(ctx context.Context, shard *journal.Shard) error {
	listed, err := s.list(ctx)
	if err != nil {
		return errs.Wrap(err, "list journal segments", storePeer)
	}
	head, version, err := s.readHead(ctx)
	if errors.Is(err, object.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errs.Wrap(err, "read journal head", storePeer)
	}
	read, err := decodeListed(listed, head)
	if err != nil {
		return errs.Wrap(err, "read journal segment", storePeer)
	}
	if err := shard.ApplyHead(version, head, read); err != nil {
		return s.load(ctx, shard)
	}
	s.discardOrphans(listed, head, version)
	return nil
}

func (s *shardStore) list(ctx context.Context) ([]object.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	listed, err := s.store.List(ctx, journal.KindSegment, journal.SegmentPrefix(s.id))
	return listed, readError(err)
}

// decodeListed decodes the listed segments to which the head refers.
func decodeListed(listed []object.Object, head journal.Head) (map[object.Name][]journal.Record, error) {
	referenced := make(map[object.Name]bool, len(head.Segments))
	for _, ref := range head.Segments {
		referenced[ref.Name] = true
	}
	read := make(map[object.Name][]journal.Record, len(referenced))
	for _, o := range listed {
		if !referenced[o.Name] {
			continue
		}
		records, err := journalcodec.DecodeRecords(o.Data)
		if err != nil {
			return nil, err
		}
		read[o.Name] = records
	}
	return read, nil
}

func (s *shardStore) discardOrphans(listed []object.Object, head journal.Head, version object.Version) {
	for _, o := range listed {
		if journal.IsOrphan(o.Name, head, version) {
			s.obsoleteSegments.Offer(journal.SegmentRef{Name: o.Name, Version: o.Version})
		}
	}
}
