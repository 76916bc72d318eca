// Package journal keeps the orders that run at most once. Keys hash to shards.
// A shard is one mutable head object and a list of immutable segments in the
// store. The package decides what a claim or a finish changes and what is to be
// written; it does no input or output.
package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
)

// HashBytes is the length of stored key hashes, fingerprints and tokens.
const HashBytes = 16

// KeyHash is the truncated SHA-256 hash of a service and an idempotency key.
type KeyHash [HashBytes]byte

// Fingerprint is the truncated fingerprint of an order.
type Fingerprint [HashBytes]byte

// Token identifies one claim. The claimant chooses it at random.
type Token [HashBytes]byte

// ShardID numbers a shard.
type ShardID uint32

// HashKey returns the hash under which an order is recorded.
func HashKey(service bundle.ServiceName, key order.Key) KeyHash {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return KeyHash(h.Sum(nil)[:HashBytes])
}

// Shorten truncates an order's fingerprint to its stored length.
func Shorten(f order.Fingerprint) Fingerprint { return Fingerprint(f[:HashBytes]) }

// Shard returns the shard of a key among the given number of shards.
func (k KeyHash) Shard(shards int) ShardID {
	return ShardID(binary.BigEndian.Uint64(k[:]) % uint64(shards))
}

// Claimant is the control process that claimed an order. A restart increases
// the incarnation.
type Claimant struct {
	Instance    string
	Incarnation uint64
}

// Record is the last known standing of one order.
type Record struct {
	Key         KeyHash
	Token       Token
	Fingerprint Fingerprint
	State       State
	Claimant    Claimant
	Deadline    time.Time // end of the claiming caller's wait
	Expires     time.Time
	Result      *Result // set in StateFinished
}

// Result is the stored answer of an order that ran.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	BodyHash    []byte // set when the body was too long to keep
}

const (
	recordFixedBytes = 72 // hashes, times and their field headers
	resultFixedBytes = 12
)

// size estimates the encoded size of the record.
func (r Record) size() int {
	n := recordFixedBytes
	if r.Result != nil {
		n += resultFixedBytes + len(r.Result.ContentType) + len(r.Result.Body) + len(r.Result.BodyHash)
	}
	return n
}

// NewResult returns the stored form of a result. A body above maxBody is
// replaced by its hash.
func NewResult(r order.Result, maxBody int) *Result {
	stored := &Result{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
	if r.BodyOmitted {
		stored.BodyHash = r.BodyHash
		return stored
	}
	if len(r.Body) > maxBody {
		hash := sha256.Sum256(r.Body)
		stored.Body, stored.BodyHash = nil, hash[:]
	}
	return stored
}

// Outcome returns the order's result as it is told to a caller.
func (r Record) Outcome() order.Result {
	switch r.State {
	case StateFinished:
		return order.Result{
			Outcome:     order.OutcomeRan,
			Status:      r.Result.Status,
			ContentType: r.Result.ContentType,
			Body:        r.Result.Body,
			BodyOmitted: len(r.Result.BodyHash) > 0,
			BodyHash:    r.Result.BodyHash,
		}
	case StateReleased:
		return order.Result{Outcome: order.OutcomeNotRun}
	default:
		return order.Result{Outcome: order.OutcomeUnknown}
	}
}
