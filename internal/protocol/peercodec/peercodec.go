// Package peercodec turns the messages between control processes into typed
// values and back. Foreign values that make no sense are dropped or refused.
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

// ErrBadMember reports a member without an id or with an unknown state.
var ErrBadMember = errors.New("member has no id or an unknown state")

// ErrBadFingerprint reports a fingerprint of the wrong length.
var ErrBadFingerprint = errors.New("fingerprint has the wrong length")

// EncodeTime turns a clock reading into its message.
func EncodeTime(t hlc.Timestamp) *pb.Timestamp {
	return &pb.Timestamp{WallMillis: t.WallMillis, Logical: t.Logical}
}

// DecodeTime turns a message into a clock reading. A missing message is the zero time.
func DecodeTime(t *pb.Timestamp) hlc.Timestamp {
	return hlc.Timestamp{WallMillis: t.GetWallMillis(), Logical: t.GetLogical()}
}

// EncodeMember turns a member into its message.
func EncodeMember(m member.Member) *pb.Member {
	return &pb.Member{
		Id:          string(m.ID),
		Address:     m.Address,
		Zone:        string(m.Zone),
		Incarnation: uint64(m.Incarnation),
		State:       pb.MemberState(m.State),
	}
}

// DecodeMember turns a message into a member, or returns ErrBadMember.
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

// EncodeMembers turns members into their messages.
func EncodeMembers(members []member.Member) []*pb.Member {
	encoded := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, EncodeMember(m))
	}
	return encoded
}

// DecodeMembers turns messages into members and drops those that make no sense.
func DecodeMembers(members []*pb.Member) []member.Member {
	var decoded []member.Member
	for _, m := range members {
		if d, err := DecodeMember(m); err == nil {
			decoded = append(decoded, d)
		}
	}
	return decoded
}

// EncodeUpdates turns members and news into one message.
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

// DecodeNews turns a message into news and drops what makes no sense.
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

// EncodeSuspect turns a crash suspect into its message.
func EncodeSuspect(s news.CrashSuspect) *pb.CrashSuspect {
	encoded := &pb.CrashSuspect{Fingerprint: s.Fingerprint[:], ExpiresUnixMillis: s.Expires.UnixMilli()}
	for _, u := range s.Upstreams {
		encoded.Upstreams = append(encoded.Upstreams, string(u))
	}
	return encoded
}

// DecodeSuspect turns a message into a crash suspect, or returns ErrBadFingerprint.
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

// EncodeLeaving turns a leaving upstream into its message.
func EncodeLeaving(l news.UpstreamLeaving) *pb.UpstreamLeaving {
	return &pb.UpstreamLeaving{Upstream: string(l.Upstream), SinceUnixMillis: l.Since.UnixMilli(), Returned: l.Returned}
}

// DecodeLeaving turns a message into a leaving upstream.
func DecodeLeaving(l *pb.UpstreamLeaving) news.UpstreamLeaving {
	return news.UpstreamLeaving{
		Upstream: bundle.UpstreamID(l.GetUpstream()),
		Since:    time.UnixMilli(l.GetSinceUnixMillis()),
		Returned: l.GetReturned(),
	}
}
