// Package peercodec encodes typed values as the messages between control processes and decodes
// them. Decoding drops or rejects invalid values of a peer.
package peercodec

import (
	"errors"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
)

// ErrBadMember reports that a member has no id or an unknown state.
var ErrBadMember = errors.New("member has no id or an unknown state")

// ErrBadFingerprint reports that a fingerprint has the wrong length.
var ErrBadFingerprint = errors.New("fingerprint has the wrong length")

// EncodeTime returns the message of a timestamp.
func EncodeTime(t hlc.Timestamp) *pb.Timestamp {
	return &pb.Timestamp{WallMillis: t.WallMillis, Logical: t.Logical}
}

// DecodeTime returns the timestamp in a message. It returns the zero timestamp if the message is
// nil.
func DecodeTime(t *pb.Timestamp) hlc.Timestamp {
	return hlc.Timestamp{WallMillis: t.GetWallMillis(), Logical: t.GetLogical()}
}

// EncodeMember returns the message of a member.
func EncodeMember(m member.Member) *pb.Member {
	return &pb.Member{
		Id:          string(m.ID),
		Address:     m.Address,
		Zone:        string(m.Zone),
		Incarnation: uint64(m.Incarnation),
		State:       pb.MemberState(m.State),
	}
}

// DecodeMember returns the member in a message. It returns ErrBadMember if the member is invalid.
func DecodeMember(m *pb.Member) (member.Member, error) {
	state := member.State(m.GetState())
	if m.GetId() == "" || state < member.Alive || state > member.Left {
		return member.Member{}, ErrBadMember
	}
	return member.Member{
		ID:          member.ID(m.GetId()),
		Address:     m.GetAddress(),
		Zone:        bundle.Zone(m.GetZone()),
		Incarnation: member.Incarnation(m.GetIncarnation()),
		State:       state,
	}, nil
}

// EncodeMembers returns the messages of members.
func EncodeMembers(members []member.Member) []*pb.Member {
	encoded := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, EncodeMember(m))
	}
	return encoded
}

// DecodeMembers returns the members in messages. It drops invalid members.
func DecodeMembers(members []*pb.Member) []member.Member {
	var decoded []member.Member
	for _, m := range members {
		if d, err := DecodeMember(m); err == nil {
			decoded = append(decoded, d)
		}
	}
	return decoded
}

// EncodeUpdates returns the message of updates to members and of the updates in batch.
func EncodeUpdates(members []member.Member, batch news.Batch) *pb.Updates {
	updates := &pb.Updates{Members: EncodeMembers(members), Bundle: bundlefile.HeadToWire(batch.Head)}
	for _, s := range batch.Suspects {
		updates.Suspects = append(updates.Suspects, EncodeSuspect(s))
	}
	for _, l := range batch.Leaving {
		updates.Leaving = append(updates.Leaving, EncodeLeaving(l))
	}
	for _, c := range batch.Cells {
		updates.Cells = append(updates.Cells, &pb.CellHead{Cell: string(c.Cell), Version: c.Version})
	}
	updates.CellsDigest = batch.CellsDigest
	return updates
}

// DecodeNews returns the updates in a message other than those to members. It drops invalid ones.
func DecodeNews(updates *pb.Updates) news.Batch {
	var batch news.Batch
	if head, err := bundlefile.HeadFromWire(updates.GetBundle()); err == nil {
		batch.Head = head
	}
	for _, s := range updates.GetSuspects() {
		if suspect, err := DecodeSuspect(s); err == nil {
			batch.Suspects = append(batch.Suspects, suspect)
		}
	}
	for _, l := range updates.GetLeaving() {
		if l.GetUpstream() != "" {
			batch.Leaving = append(batch.Leaving, DecodeLeaving(l))
		}
	}
	for _, c := range updates.GetCells() {
		if c.GetCell() != "" {
			batch.Cells = append(batch.Cells, news.CellHead{Cell: news.CellID(c.GetCell()), Version: c.GetVersion()})
		}
	}
	batch.CellsDigest = updates.GetCellsDigest()
	return batch
}

// EncodeSuspect returns the message of a crash suspect.
func EncodeSuspect(s news.CrashSuspect) *pb.CrashSuspect {
	encoded := &pb.CrashSuspect{Fingerprint: s.Fingerprint[:], ExpiresUnixMillis: s.Expires.UnixMilli()}
	for _, u := range s.Upstreams {
		encoded.Upstreams = append(encoded.Upstreams, string(u))
	}
	return encoded
}

// DecodeSuspect returns the crash suspect in a message. It returns ErrBadFingerprint if the
// fingerprint has the wrong length.
func DecodeSuspect(s *pb.CrashSuspect) (news.CrashSuspect, error) {
	if len(s.GetFingerprint()) != news.FingerprintSize {
		return news.CrashSuspect{}, ErrBadFingerprint
	}
	decoded := news.CrashSuspect{
		Fingerprint: news.Fingerprint(s.GetFingerprint()),
		Expires:     time.UnixMilli(s.GetExpiresUnixMillis()),
	}
	for _, u := range s.GetUpstreams() {
		decoded.Upstreams = append(decoded.Upstreams, bundle.UpstreamID(u))
	}
	return decoded, nil
}

// EncodeLeaving returns the message about an upstream that is leaving or has returned.
func EncodeLeaving(l news.UpstreamLeaving) *pb.UpstreamLeaving {
	return &pb.UpstreamLeaving{Upstream: string(l.Upstream), SinceUnixMillis: l.Since.UnixMilli(), Returned: l.Returned}
}

// DecodeLeaving returns the leaving or returned upstream in a message.
func DecodeLeaving(l *pb.UpstreamLeaving) news.UpstreamLeaving {
	return news.UpstreamLeaving{
		Upstream: bundle.UpstreamID(l.GetUpstream()),
		Since:    time.UnixMilli(l.GetSinceUnixMillis()),
		Returned: l.GetReturned(),
	}
}
