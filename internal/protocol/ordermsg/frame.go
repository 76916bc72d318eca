package ordermsg

import (
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
)

// FrameTimes encodes or decodes the times of the frames in one direction of a stream. Each frame
// carries the difference between its wall time and that of the previous frame. FrameTimes is not
// safe for concurrent use.
type FrameTimes struct{ wallMillis int64 }

// Write returns the difference between the wall time of the next frame and that of the previous
// frame.
func (f *FrameTimes) Write(t hlc.Timestamp) (wallDeltaMillis int64) {
	delta := t.WallMillis - f.wallMillis
	f.wallMillis = t.WallMillis
	return delta
}

// Read returns the time of the next frame from its difference to the previous frame.
func (f *FrameTimes) Read(wallDeltaMillis int64, logical uint32) hlc.Timestamp {
	f.wallMillis += wallDeltaMillis
	return hlc.Timestamp{WallMillis: f.wallMillis, Logical: logical}
}

// ClaimCall returns the call that claims an order key, for a frame with the given time. The call
// carries its times relative to that of the frame. The journal does not record the claim after
// giveUp.
func ClaimCall(id uint32, c journal.Claim, giveUp time.Time, frame hlc.Timestamp) *pb.OrderCall {
	call := &pb.OrderCall{
		Id:                  id,
		Key:                 c.Key[:],
		Token:               c.Token[:],
		Fingerprint:         c.Fingerprint[:],
		DeadlineAfterMillis: c.Deadline.UnixMilli() - frame.WallMillis,
		GiveUpAfterMillis:   giveUp.UnixMilli() - frame.WallMillis,
	}
	if c.Supersedes != (journal.Token{}) {
		call.Supersedes = c.Supersedes[:]
	}
	return call
}

// ClaimFromCall returns the claim in a call and the time after which it must not be recorded. It
// returns false if the call is malformed.
func ClaimFromCall(m *pb.OrderCall, claimant journal.Claimant, frame hlc.Timestamp) (c journal.Claim, giveUp time.Time, ok bool) {
	if !haveHashLength(m.GetKey(), m.GetToken(), m.GetFingerprint()) {
		return c, giveUp, false
	}
	supersedes, _ := TokenFromWire(m.GetSupersedes())
	c = journal.Claim{
		Key:         journal.KeyHash(m.GetKey()),
		Fingerprint: journal.Fingerprint(m.GetFingerprint()),
		Token:       journal.Token(m.GetToken()),
		Claimant:    claimant,
		Deadline:    time.UnixMilli(frame.WallMillis + m.GetDeadlineAfterMillis()),
		Supersedes:  supersedes,
	}
	return c, time.UnixMilli(frame.WallMillis + m.GetGiveUpAfterMillis()), true
}

// FinishCall returns the call that records the end of an order. It carries the fingerprint only if
// the order did not run, because the journal needs it in no other case.
func FinishCall(id uint32, f journal.Finish) *pb.OrderCall {
	call := &pb.OrderCall{Id: id, Key: f.Key[:], Token: f.Token[:], Result: ResultToWire(f.Result)}
	if call.GetResult().GetOutcome() == pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN {
		call.Fingerprint = f.Fingerprint[:]
	}
	return call
}

// FinishFromCall returns the end of an order in a call. It returns false if the call is malformed.
func FinishFromCall(m *pb.OrderCall, claimant journal.Claimant) (f journal.Finish, ok bool) {
	if !haveHashLength(m.GetKey(), m.GetToken()) {
		return f, false
	}
	f = journal.Finish{
		Key:      journal.KeyHash(m.GetKey()),
		Token:    journal.Token(m.GetToken()),
		Claimant: claimant,
		Result:   ResultFromWire(m.GetResult()),
	}
	if m.GetResult().GetOutcome() != pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN {
		return f, true
	}
	if !haveHashLength(m.GetFingerprint()) {
		return f, false
	}
	f.Fingerprint = journal.Fingerprint(m.GetFingerprint())
	return f, true
}

func haveHashLength(hashes ...[]byte) bool {
	for _, h := range hashes {
		if len(h) != journal.HashBytes {
			return false
		}
	}
	return true
}
