// Package news defines what instances tell one another beside membership: the
// bundle in force, requests that crash upstreams, and upstreams that leave.
package news

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// FingerprintSize is the length of a request's fingerprint in bytes.
const FingerprintSize = 16

// Hash is the SHA-256 hash of a bundle section, manifest or approval.
type Hash = bundle.Hash

// Head names the bundle in force at an instance.
type Head = bundle.Head

// Fingerprint identifies a request by its content.
type Fingerprint [FingerprintSize]byte

// CrashSuspect is a request under which upstreams died, in the order of their
// deaths. No upstreams means that the request completed and is cleared.
type CrashSuspect struct {
	Fingerprint Fingerprint
	Upstreams   []bundle.UpstreamID
	Expires     time.Time
}

// UpstreamLeaving tells that an upstream takes no new work, or takes it again.
type UpstreamLeaving struct {
	Upstream bundle.UpstreamID
	Since    time.Time
	// Returned tells that the upstream left and is back.
	Returned bool
}

// CellID identifies a placement cell, a group of engines with one ledger.
type CellID string

// CellHead names the latest known replicas of a cell. A higher version overrides a lower one.
type CellHead struct {
	Cell    CellID
	Version uint64
}

// Batch is what one message carries.
type Batch struct {
	Head     Head
	Suspects []CrashSuspect
	Leaving  []UpstreamLeaving
	Cells    []CellHead
	// CellsDigest is a hash over all cell heads that the sender knows.
	CellsDigest uint64
}

// LeavingUpstreams returns the upstreams that take no new work.
func (b Batch) LeavingUpstreams() []bundle.UpstreamID {
	var leaving []bundle.UpstreamID
	for _, l := range b.Leaving {
		if !l.Returned {
			leaving = append(leaving, l.Upstream)
		}
	}
	return leaving
}

// IsEmpty reports whether the batch carries no item; the digest is none.
func (b Batch) IsEmpty() bool {
	return b.Head.Generation == 0 && len(b.Suspects) == 0 && len(b.Leaving) == 0 && len(b.Cells) == 0
}
