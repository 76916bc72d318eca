// Package news defines what instances tell their peers besides membership:
// the active bundle, requests that crash upstreams, upstreams that are leaving, and
// the latest version of each placement cell's replicas.
package news

import (
	"time"

	"savoryweir/internal/state/bundle"
)

// FingerprintSize is the length of a request's fingerprint in bytes.
const FingerprintSize = 16

// Hash is the SHA-256 hash of a bundle section, manifest or approval.
type Hash = bundle.Hash

// Head identifies the bundle that is active at an instance.
type Head = bundle.Head

// Fingerprint identifies a request by its content.
type Fingerprint [FingerprintSize]byte

// CrashSuspect is a request during which upstreams crashed. Upstreams lists
// them in the order of their crashes. An empty list means that the request has
// completed and is no longer suspected.
type CrashSuspect struct {
	Fingerprint Fingerprint
	Upstreams   []bundle.UpstreamID
	Expires     time.Time
}

// UpstreamLeaving announces that an upstream accepts no new requests, or that it
// accepts them again.
type UpstreamLeaving struct {
	Upstream bundle.UpstreamID
	Since    time.Time
	// Returned is true if the upstream had left and accepts requests again.
	Returned bool
}

// CellID identifies a placement cell, which is a group of engines that share a ledger.
type CellID string

// CellHead identifies the latest known version of a cell's replicas. A higher version
// replaces a lower one.
type CellHead struct {
	Cell    CellID
	Version uint64
}

// Batch is the content of one message between peers.
type Batch struct {
	Head     Head
	Suspects []CrashSuspect
	Leaving  []UpstreamLeaving
	Cells    []CellHead
	// CellsDigest is a hash over all cell heads that the sender knows.
	CellsDigest uint64
}

// LeavingUpstreams returns the upstreams that accept no new requests.
func (b Batch) LeavingUpstreams() []bundle.UpstreamID {
	var leaving []bundle.UpstreamID
	for _, l := range b.Leaving {
		if !l.Returned {
			leaving = append(leaving, l.Upstream)
		}
	}
	return leaving
}

// IsEmpty reports whether the batch has no items. CellsDigest does not count as an item.
func (b Batch) IsEmpty() bool {
	return b.Head.Generation == 0 && len(b.Suspects) == 0 && len(b.Leaving) == 0 && len(b.Cells) == 0
}
