package journalcodec

import (
	"encoding/binary"
	"errors"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/order"
)

var states = []journal.State{journal.StateClaimed, journal.StateFinished, journal.StateReleased, journal.StateUnknown}

func drawRecord(t *rapid.T) journal.Record {
	hash := func(label string) []byte {
		return rapid.SliceOfN(rapid.Byte(), journal.HashBytes, journal.HashBytes).Draw(t, label)
	}
	expires := rapid.Int64Range(0, 1<<45).Draw(t, "expires")
	r := journal.Record{
		Key:         journal.KeyHash(hash("key")),
		Token:       journal.Token(hash("token")),
		Fingerprint: journal.Fingerprint(hash("fingerprint")),
		State:       rapid.SampledFrom(states).Draw(t, "state"),
		Claimant:    journal.Claimant{Instance: rapid.String().Draw(t, "instance"), Incarnation: rapid.Uint64().Draw(t, "incarnation")},
		Expires:     time.UnixMilli(expires),
		Deadline:    time.UnixMilli(expires - rapid.Int64Range(0, 1<<40).Draw(t, "before")),
	}
	if r.State == journal.StateFinished {
		r.Result = &journal.Result{
			Status:      rapid.IntRange(0, 999).Draw(t, "status"),
			ContentType: rapid.String().Draw(t, "type"),
			Body:        rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "body"),
		}
	}
	return r
}

func TestDecodeHeadReturnsEncodedHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		active := rapid.SliceOfNDistinct(rapid.Custom(drawRecord), 0, 5, func(r journal.Record) journal.KeyHash { return r.Key }).Draw(t, "active")
		head := journal.Head{
			Nonce:    journal.Nonce{1, 2, 3},
			Segments: []journal.SegmentRef{{Name: "0001/x", Version: object.Version(rapid.Uint64().Draw(t, "version")), Size: 7, Records: 2, LastExpiry: time.UnixMilli(99)}},
			Active:   active,
		}
		data, err := EncodeHead(head)
		assert.NilError(t, err)
		decoded, err := DecodeHead(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, head)
	})
}

// FuzzDecode passes arbitrary bytes to the decoders. They reject the bytes with ErrMalformed, or
// the decoded head has as many active records after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seed, err := EncodeHead(journal.Head{Active: []journal.Record{{State: journal.StateClaimed}}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte("no journal"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := DecodeRecords(data); err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformed))
		}
		head, err := DecodeHead(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformed))
			return
		}
		reencoded, err := EncodeHead(head)
		assert.NilError(t, err)
		decoded, err := DecodeHead(reencoded)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded.Active), len(head.Active))
	})
}

// TestBoundObjectSizes checks that the head and the segments of a shard fit in a store object at
// the target load: 490 orders per second over 32 shards, with five commits per second. The load
// lasts two hours, twice the lifetime of a key.
func TestBoundObjectSizes(t *testing.T) {
	limits := journal.Limits{
		Lifetime: time.Hour, ClockTolerance: time.Minute, ActiveBytes: 8 << 10, SegmentBytes: 512 << 10,
		MergeFanout: 8, MaxRecords: 200000, MaxBodyBytes: 256,
	}
	const commitsPerSecond, ordersPerCommit = 5, 3
	s := journal.NewShard(1, limits)
	now := time.UnixMilli(1_800_000_000_000)
	var largestHead, largestSegment, records, bytes int
	for i := range commitsPerSecond * 2 * 3600 {
		d := s.Begin(now)
		for j := range ordersPerCommit {
			claimAndFinishOrder(d, uint64(i*ordersPerCommit+j), now)
		}
		w := d.PlanWrite(journal.Nonce{1})
		if w.Segment != nil {
			data, err := EncodeRecords(w.Segment.Records)
			assert.NilError(t, err)
			largestSegment = max(largestSegment, len(data))
			records, bytes = records+len(w.Segment.Records), bytes+len(data)
		}
		data, err := EncodeHead(w.Head)
		assert.NilError(t, err)
		largestHead = max(largestHead, len(data))
		d.Commit(w, object.Version(i+1))
		now = now.Add(time.Second / commitsPerSecond)
	}
	t.Logf("%d records, %d segments, largest head %d B, largest segment %d B, %d B per record in segments, %d B of memory per record",
		s.Len(), len(s.Head().Segments), largestHead, largestSegment, bytes/records, heapSizeBytes()/s.Len())
	assert.Assert(t, largestHead <= object.MaxSizeBytes)
	assert.Assert(t, largestSegment <= object.MaxSizeBytes)
}

func heapSizeBytes() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

func claimAndFinishOrder(d *journal.Transaction, n uint64, now time.Time) {
	var key journal.KeyHash
	binary.BigEndian.PutUint64(key[:], n)
	token := journal.Token(key)
	d.Claim(journal.Claim{Key: key, Token: token, Claimant: journal.Claimant{Instance: "i-0123456789", Incarnation: 1_800_000_000}, Deadline: now})
	d.Finish(journal.Finish{Key: key, Token: token, Result: order.Result{Outcome: order.OutcomeRan, Status: 201, ContentType: "application/json", Body: make([]byte, 100)}})
}
