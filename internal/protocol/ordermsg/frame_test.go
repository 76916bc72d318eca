package ordermsg

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

func drawHash(t *rapid.T, name string) [journal.HashBytes]byte {
	return [journal.HashBytes]byte(rapid.SliceOfN(rapid.Byte(), journal.HashBytes, journal.HashBytes).Draw(t, name))
}

func encodeAndDecode(t *rapid.T, m *pb.OrderCall) *pb.OrderCall {
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	var decoded pb.OrderCall
	assert.NilError(t, proto.Unmarshal(data, &decoded))
	return &decoded
}

func TestCallsDecodeToEncodedClaimAndFinish(t *testing.T) {
	claimant := journal.Claimant{Instance: "i000", Incarnation: 3}
	rapid.Check(t, func(t *rapid.T) {
		frame := hlc.Timestamp{WallMillis: rapid.Int64Range(0, 1<<42).Draw(t, "frame")}
		drawTime := func(name string) time.Time { return time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, name)) }
		claim := journal.Claim{
			Key: drawHash(t, "key"), Fingerprint: drawHash(t, "fingerprint"), Token: drawHash(t, "token"), Claimant: claimant,
			Deadline: drawTime("deadline"), Supersedes: drawHash(t, "supersedes"),
		}
		giveUp := drawTime("give up")
		decoded, decodedGiveUp, ok := ClaimFromCall(encodeAndDecode(t, ClaimCall(7, claim, giveUp, frame)), claimant, frame)
		assert.Assert(t, ok)
		assert.DeepEqual(t, decoded, claim)
		assert.Equal(t, decodedGiveUp, giveUp)

		finish := journal.Finish{Key: claim.Key, Token: claim.Token, Fingerprint: claim.Fingerprint, Claimant: claimant, Result: order.Result{Outcome: order.OutcomeNotRun}}
		decodedFinish, ok := FinishFromCall(encodeAndDecode(t, FinishCall(8, finish)), claimant)
		assert.Assert(t, ok)
		assert.DeepEqual(t, decodedFinish, finish)
	})
}

func TestMalformedCallsAreRejected(t *testing.T) {
	hash := make([]byte, journal.HashBytes)
	for name, m := range map[string]*pb.OrderCall{
		"empty":                   {},
		"short key":               {Key: hash[1:], Token: hash, Fingerprint: hash},
		"no token":                {Key: hash, Fingerprint: hash},
		"no fingerprint":          {Key: hash, Token: hash},
		"not run, no fingerprint": {Key: hash, Token: hash, Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN}},
		"result, short key":       {Key: hash[1:], Token: hash, Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_RAN}},
	} {
		t.Run(name, func(t *testing.T) {
			var ok bool
			if m.GetResult() != nil {
				_, ok = FinishFromCall(m, journal.Claimant{})
			} else {
				_, _, ok = ClaimFromCall(m, journal.Claimant{}, hlc.Timestamp{})
			}
			assert.Assert(t, !ok)
		})
	}
}

func TestFrameTimesReadReturnsWrittenTimes(t *testing.T) {
	var writer, reader FrameTimes
	for _, want := range []hlc.Timestamp{{WallMillis: 1000, Logical: 2}, {WallMillis: 1000, Logical: 3}, {WallMillis: 990}, {WallMillis: 2000}} {
		assert.Equal(t, reader.Read(writer.Write(want), want.Logical), want)
	}
}
