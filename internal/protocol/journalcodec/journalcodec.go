// Package journalcodec encodes and decodes the store objects of the journal. Decoding validates
// every field because other programs share the store.
package journalcodec

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/object"
)

// ErrMalformed reports that the data is not a valid journal object.
var ErrMalformed = errors.New("malformed journal object")

var stateToWire = map[journal.State]pb.JournalState{
	journal.StateClaimed:  pb.JournalState_JOURNAL_STATE_CLAIMED,
	journal.StateFinished: pb.JournalState_JOURNAL_STATE_FINISHED,
	journal.StateReleased: pb.JournalState_JOURNAL_STATE_RELEASED,
	journal.StateUnknown:  pb.JournalState_JOURNAL_STATE_UNKNOWN,
}

var stateFromWire = map[pb.JournalState]journal.State{
	pb.JournalState_JOURNAL_STATE_CLAIMED:  journal.StateClaimed,
	pb.JournalState_JOURNAL_STATE_FINISHED: journal.StateFinished,
	pb.JournalState_JOURNAL_STATE_RELEASED: journal.StateReleased,
	pb.JournalState_JOURNAL_STATE_UNKNOWN:  journal.StateUnknown,
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h journal.Head) ([]byte, error) {
	m := &pb.JournalHead{Nonce: h.Nonce[:], Active: recordsToWire(h.Active)}
	for _, ref := range h.Segments {
		m.Segments = append(m.Segments, &pb.JournalSegmentRef{
			Name:                 string(ref.Name),
			Version:              uint64(ref.Version),
			Size:                 uint32(ref.Size),
			Records:              uint32(ref.Records),
			LastExpiryUnixMillis: ref.LastExpiry.UnixMilli(),
		})
	}
	return proto.Marshal(m)
}

// DecodeHead returns the head whose stored form is data. It returns ErrMalformed if data is not a
// valid head.
func DecodeHead(data []byte) (journal.Head, error) {
	var m pb.JournalHead
	if err := proto.Unmarshal(data, &m); err != nil {
		return journal.Head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var h journal.Head
	if len(m.Nonce) != len(h.Nonce) {
		return journal.Head{}, fmt.Errorf("%w: nonce has the wrong length of %d bytes", ErrMalformed, len(m.Nonce))
	}
	copy(h.Nonce[:], m.Nonce)
	for _, ref := range m.Segments {
		if ref.GetName() == "" {
			return journal.Head{}, fmt.Errorf("%w: segment has no name", ErrMalformed)
		}
		h.Segments = append(h.Segments, journal.SegmentRef{
			Name:       object.Name(ref.Name),
			Version:    object.Version(ref.Version),
			Size:       int(ref.Size),
			Records:    int(ref.Records),
			LastExpiry: time.UnixMilli(ref.LastExpiryUnixMillis),
		})
	}
	active, err := recordsFromWire(m.Active)
	h.Active = active
	return h, err
}

// EncodeRecords returns the stored form of the records of a segment.
func EncodeRecords(records []journal.Record) ([]byte, error) {
	return proto.Marshal(recordsToWire(records))
}

// DecodeRecords returns the records of the segment whose stored form is data. It returns
// ErrMalformed if data is not a valid segment.
func DecodeRecords(data []byte) ([]journal.Record, error) {
	var m pb.JournalRecords
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return recordsFromWire(&m)
}

func recordsToWire(records []journal.Record) *pb.JournalRecords {
	m := &pb.JournalRecords{}
	if len(records) > 0 {
		m.BaseUnixMillis = records[0].Expires.UnixMilli()
	}
	indices := make(map[journal.Claimant]uint32)
	for _, r := range records {
		index, ok := indices[r.Claimant]
		if !ok {
			index = uint32(len(m.Claimants))
			indices[r.Claimant] = index
			m.Claimants = append(m.Claimants, &pb.Claimant{Instance: r.Claimant.Instance, Incarnation: r.Claimant.Incarnation})
		}
		m.Records = append(m.Records, recordToWire(r, index, m.BaseUnixMillis))
	}
	return m
}

func recordToWire(r journal.Record, claimantIndex uint32, baseUnixMillis int64) *pb.JournalRecord {
	m := &pb.JournalRecord{
		Key:                  r.Key[:],
		Token:                r.Token[:],
		Fingerprint:          r.Fingerprint[:],
		State:                stateToWire[r.State],
		Claimant:             claimantIndex,
		ExpiresOffsetMillis:  r.Expires.UnixMilli() - baseUnixMillis,
		DeadlineBeforeMillis: r.Expires.UnixMilli() - r.Deadline.UnixMilli(),
	}
	if r.Result != nil {
		m.Status = uint32(r.Result.Status)
		m.ContentType = r.Result.ContentType
		m.Body = r.Result.Body
		m.BodyHash = r.Result.BodyHash
	}
	return m
}

func recordsFromWire(m *pb.JournalRecords) ([]journal.Record, error) {
	claimants := make([]journal.Claimant, len(m.GetClaimants()))
	for i, c := range m.GetClaimants() {
		claimants[i] = journal.Claimant{Instance: c.GetInstance(), Incarnation: c.GetIncarnation()}
	}
	seen := make(map[journal.KeyHash]bool, len(m.GetRecords()))
	records := make([]journal.Record, 0, len(m.GetRecords()))
	for _, record := range m.GetRecords() {
		r, err := recordFromWire(record, claimants, m.GetBaseUnixMillis())
		if err != nil {
			return nil, err
		}
		if seen[r.Key] {
			return nil, fmt.Errorf("%w: two records have the same key", ErrMalformed)
		}
		seen[r.Key] = true
		records = append(records, r)
	}
	return records, nil
}

func recordFromWire(m *pb.JournalRecord, claimants []journal.Claimant, baseUnixMillis int64) (journal.Record, error) {
	var r journal.Record
	if len(m.GetKey()) != journal.HashBytes || len(m.GetToken()) != journal.HashBytes || len(m.GetFingerprint()) != journal.HashBytes {
		return r, fmt.Errorf("%w: key, token or fingerprint has the wrong length", ErrMalformed)
	}
	state, ok := stateFromWire[m.GetState()]
	if !ok {
		return r, fmt.Errorf("%w: unknown state %d", ErrMalformed, m.GetState())
	}
	if int(m.GetClaimant()) >= len(claimants) {
		return r, fmt.Errorf("%w: claimant index %d is out of range; the object has %d claimants", ErrMalformed, m.GetClaimant(), len(claimants))
	}
	expiresUnixMillis := baseUnixMillis + m.GetExpiresOffsetMillis()
	r = journal.Record{
		Key:         journal.KeyHash(m.GetKey()),
		Token:       journal.Token(m.GetToken()),
		Fingerprint: journal.Fingerprint(m.GetFingerprint()),
		State:       state,
		Claimant:    claimants[m.GetClaimant()],
		Deadline:    time.UnixMilli(expiresUnixMillis - m.GetDeadlineBeforeMillis()),
		Expires:     time.UnixMilli(expiresUnixMillis),
	}
	if state == journal.StateFinished {
		r.Result = &journal.Result{
			Status:      int(m.GetStatus()),
			ContentType: m.GetContentType(),
			Body:        m.GetBody(),
			BodyHash:    m.GetBodyHash(),
		}
	}
	return r, nil
}
