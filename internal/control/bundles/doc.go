// Package bundles keeps the bundle in force at a control process. It hears of
// new generations from the store's pointer and from peers, fetches what it lacks,
// verifies hashes, signatures and content itself, and moves only forward.
//
// One goroutine watches or polls the pointer, another takes the heads that were
// heard through their roll-out. A bounded ring joins them.
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

// Part is the log prefix of this package.
const Part logging.Component = "bundles"

// Settings configure the watch and the fetch of bundles.
type Settings struct {
	TrustedKeys  string        `help:"INI file with the policy and the public keys of trusted operators." type:"path" placeholder:"FILE"`
	StartWait    time.Duration `help:"Time after the start in which heads are only collected, so that a stale store cannot come first. It ends early when peers have answered." default:"3s" min:"0s" max:"1m"`
	WatchWait    time.Duration `help:"Time that one watch call waits for a change. A silent connection is noticed after this and the store's timeout." default:"5s" min:"1s" max:"1m"`
	PollInterval time.Duration `help:"Mean time between reads of the pointer by an instance that does not watch." default:"10s" min:"1s" max:"1h"`
	FetchTimeout time.Duration `help:"Longest time given to one peer for missing sections." default:"1s" min:"100ms" max:"1m"`
	StoreTimeout time.Duration `help:"Longest time given to the store for missing sections." default:"5s" min:"100ms" max:"1m"`
	RetryMin     time.Duration `help:"First wait after a failed fetch or watch." default:"200ms" min:"10ms" max:"10s"`
	RetryMax     time.Duration `help:"Longest wait after failed fetches or watches." default:"5s" min:"100ms" max:"5m"`

	KeepGenerations int           `help:"Latest generations whose content and approvals stay in the store, to fall back to." default:"1000" min:"10" max:"100000"`
	SweepWait       time.Duration `help:"Mean time between two parts of a sweep of the store for content that no kept generation needs. A sweep has 256 parts." default:"30s" min:"1s" max:"24h"`
}

// SectionSource gives sections by their hash: a peer or the store. It may return
// fewer than were asked for. What it returns is checked.
type SectionSource interface {
	// Peer names the source.
	Peer() errs.Peer
	FetchSections(ctx context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error)
}

// PointerStore is the part of the object API that is used.
type PointerStore interface {
	object.Reader
	object.Watcher
}

// TrustedKeys supplies the policy of sign-off.
type TrustedKeys interface {
	// Policy returns the present policy. The pointer changes with the policy only.
	Policy() *approval.Policy
}

// Options are what a Manager works with.
type Options struct {
	Settings Settings
	Keys     TrustedKeys
	Store    PointerStore
	Recorder *timeline.Recorder
	Logger   zerolog.Logger
	Metrics  prometheus.Registerer
	Rand     *rand.Rand // source of jitter, used by the watch goroutine only
}

// InForce is the bundle in force with the data that it was made from. It is immutable.
type InForce struct {
	Head     bundle.Head
	Bundle   *bundle.Bundle
	Manifest bundlefile.Section
	Approval bundlefile.Section
	Sections []bundlefile.Section // in manifest order, without the manifest
}

// All returns the sections and the manifest, as an entry needs them.
func (f *InForce) All() []bundlefile.Section {
	return append(append([]bundlefile.Section(nil), f.Sections...), f.Manifest)
}
