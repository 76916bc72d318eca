// Package journal records the orders that must run at most once. The hash of an order's
// key selects a shard. A shard consists of one mutable head object and a list of
// immutable segments in the store. The package decides what a claim or a finish changes
// and what has to be written. It performs no I/O.
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

// KeyHash is the truncated SHA-256 hash of a service's name and an idempotency key.
type KeyHash [HashBytes]byte

// Fingerprint is an order's fingerprint, truncated to its stored length.
type Fingerprint [HashBytes]byte

// Token identifies one claim. The claimant generates it at random.
type Token [HashBytes]byte

// ShardID is the number of a shard, counted from zero.
type ShardID uint32

// HashKey returns the hash under which the order with the given key is recorded.
func HashKey(service bundle.ServiceName, key order.Key) KeyHash {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return KeyHash(h.Sum(nil)[:HashBytes])
}

// TruncateFingerprint truncates an order's fingerprint to its stored length.
func TruncateFingerprint(f order.Fingerprint) Fingerprint { return Fingerprint(f[:HashBytes]) }

// Shard returns the shard that records the key, given the number of shards.
func (k KeyHash) Shard(shards int) ShardID {
	return ShardID(binary.BigEndian.Uint64(k[:]) % uint64(shards))
}

// Claimant identifies the control process that claimed an order. A restart of the
// process increases its incarnation.
type Claimant struct {
	Instance    string
	Incarnation uint64
}

// Record is the recorded state of one order.
type Record struct {
	Key         KeyHash
	Token       Token
	Fingerprint Fingerprint
	State       State
	Claimant    Claimant
	Deadline    time.Time // time until which the claiming caller waits
	Expires     time.Time
	Result      *Result // set in StateFinished
}

// Result is the stored response of an order that ran.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	BodyHash    []byte // SHA-256 hash of a body that was too long to store
}

// Estimated encoded sizes without the parts of variable length.
const (
	recordFixedBytes = 72 // hashes, times and their field headers
	resultFixedBytes = 12
)

// estimatedSize returns the estimated encoded size of the record in bytes.
func (r Record) estimatedSize() int {
	n := recordFixedBytes
	if r.Result != nil {
		n += resultFixedBytes + len(r.Result.ContentType) + len(r.Result.Body) + len(r.Result.BodyHash)
	}
	return n
}

// NewStoredResult returns the stored form of a result. A body longer than maxBodyBytes is
// replaced by its hash.
func NewStoredResult(r order.Result, maxBodyBytes int) *Result {
	stored := &Result{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
	if r.BodyOmitted {
		stored.BodyHash = r.BodyHash
		return stored
	}
	if len(r.Body) > maxBodyBytes {
		hash := sha256.Sum256(r.Body)
		stored.Body, stored.BodyHash = nil, hash[:]
	}
	return stored
}

// Outcome returns the order's result as it is reported to a caller.
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
