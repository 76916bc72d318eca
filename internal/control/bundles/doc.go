// Package bundles manages the bundle in force of a control process. It learns of new
// generations from the pointer in the store and from peers, fetches the missing data,
// verifies hashes, signatures and content itself, and never goes back to an earlier
// generation.
//
// One goroutine watches or polls the pointer, another rolls out the offered heads. They
// are connected by a bounded queue.
package bundles

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"savoryweir/internal/errs"
	"savoryweir/internal/logging"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/timeline"
)

// Part is the name of this package in log lines.
const Part logging.Component = "bundles"

// Settings configure how bundles are watched, fetched and deleted.
type Settings struct {
	TrustedKeys  string        `help:"INI file with the policy and the public keys of trusted operators." type:"path" placeholder:"FILE"`
	StartWait    time.Duration `help:"Time after the start in which offered heads are collected but not rolled out, so that a stale read of the store does not take effect before the heads of peers arrive. It ends early when a peer has answered." default:"3s" min:"0s" max:"1m"`
	WatchWait    time.Duration `help:"Time that one watch call waits for a change. A connection that has gone silent is detected after this time plus the store's timeout." default:"5s" min:"1s" max:"1m"`
	PollInterval time.Duration `help:"Mean time between reads of the pointer by an instance that does not watch." default:"10s" min:"1s" max:"1h"`
	FetchTimeout time.Duration `help:"Timeout for fetching missing sections from one peer." default:"1s" min:"100ms" max:"1m"`
	StoreTimeout time.Duration `help:"Timeout for fetching missing sections from the store." default:"5s" min:"100ms" max:"1m"`
	RetryMin     time.Duration `help:"First wait after a failed fetch or watch." default:"200ms" min:"10ms" max:"10s"`
	RetryMax     time.Duration `help:"Longest wait after failed fetches or watches." default:"5s" min:"100ms" max:"5m"`

	KeepGenerations int           `help:"Number of latest generations whose content and approvals stay in the store, so that operators can fall back to them." default:"1000" min:"10" max:"100000"`
	SweepWait       time.Duration `help:"Mean time between two pages of a sweep that deletes content that no kept generation needs from the store. A sweep has 256 pages." default:"30s" min:"1s" max:"24h"`
}

// SectionSource is a peer or the store, from which sections are fetched by hash. It may
// return fewer sections than requested. Callers check the hash of everything it returns.
type SectionSource interface {
	// Peer returns the name of the source for logs and errors.
	Peer() errs.Peer
	// FetchSections returns the sections with the given hashes that the source has.
	FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error)
}

// PointerStore is the part of the object API that the Manager uses.
type PointerStore interface {
	object.Reader
	object.Watcher
}

// TrustedKeys provides the sign-off policy.
type TrustedKeys interface {
	// Policy returns the current policy. The pointer changes only when the policy does.
	Policy() *approval.Policy
}

// Options are the dependencies and settings of a Manager.
type Options struct {
	Settings Settings
	Keys     TrustedKeys
	Store    PointerStore
	Recorder *timeline.Recorder
	Logger   zerolog.Logger
	Metrics  prometheus.Registerer
	Rand     *rand.Rand // source of jitter, used only by the goroutine that reads the pointer
}

// InForce is a bundle in force with the data that it was decoded from. It is immutable.
type InForce struct {
	Head     bundle.Head
	Bundle   *bundle.Bundle
	Manifest bundlefile.Section
	Approval bundlefile.Section
	Sections []bundlefile.Section // in manifest order, without the manifest
}

// All returns the sections followed by the manifest, which together are what an entry
// process needs to decode the bundle.
func (f *InForce) All() []bundlefile.Section {
	return append(append([]bundlefile.Section(nil), f.Sections...), f.Manifest)
}
