// Package routing picks the upstream of a request from a snapshot of candidates.
//
// An entry builds one Candidate for each upstream of the service, in bundle
// order and including those that are down, and calls Pick of the Scheduler that
// NewKeyed returns. ErrNoUpstream means that the request stays in the admission
// queue until an answer frees a place. The other policies are there to be
// compared by the policy bench.
//
// A Scheduler is made of plugins with one verb each: filters drop candidates,
// scorers give each a cost, and a chooser takes one.
package routing

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/state/bundle"
)

// Class is the urgency of a request.
type Class string

// The classes of requests.
const (
	ClassNow       Class = "now"
	ClassOvernight Class = "overnight"
	ClassLong      Class = "long"
)

// Request is what routing knows of a request.
type Request struct {
	Service    bundle.ServiceName
	Model      bundle.ModelID   // empty for plain services
	Adapter    bundle.AdapterID // empty when none is used
	Class      Class
	Deadline   time.Time
	Tokens     float64 // expected length of the answer, zero when unknown
	PrefixHash uint64  // hash of the prompt prefix, zero when there is none
	// Fingerprint is the hash of the whole request. Resends have the same one.
	Fingerprint uint64
	Excluded    []bundle.UpstreamID
}

// Load is an upstream's own report.
type Load struct {
	Running    int
	Waiting    int
	ReportedAt time.Time // zero when there was no report yet
}

// Candidate is one upstream as this entry sees it.
type Candidate struct {
	Upstream   bundle.UpstreamID
	Zone       bundle.Zone
	InFlight   int // requests of this entry
	Limit      int // concurrency limit of this entry towards the upstream
	Reported   Load
	HasModel   bool
	HasAdapter bool
	Ejected    bool
	Leaving    bool
	// SentSinceReport counts requests that this entry sent after Reported was made.
	SentSinceReport int
	// BatchSize is the batch size of the upstream, zero when unknown.
	BatchSize int
	// RecoveryShare is the share of normal load while the upstream recovers, zero for all.
	RecoveryShare float64
	// TimePerToken is the present time between two tokens of a stream, zero when unknown.
	TimePerToken time.Duration
	// DownSince tells when the upstream was seen to be down or leaving, zero when it is up.
	DownSince time.Time

	firstChoice bool // set by PairFilter
}

// ErrNoUpstream reports that no candidate can take the request.
var ErrNoUpstream = errors.New("no upstream can take the request")

// Picker chooses one candidate.
type Picker interface {
	Pick(now time.Time, request Request, candidates []Candidate) (bundle.UpstreamID, error)
}

// PowerOfTwoChoices picks the less loaded of two random usable candidates.
type PowerOfTwoChoices struct{ Rand *rand.Rand }

// Pick implements Picker.
func (p PowerOfTwoChoices) Pick(_ time.Time, request Request, candidates []Candidate) (bundle.UpstreamID, error) {
	usable := Usable(request, candidates)
	if len(usable) == 0 {
		return "", ErrNoUpstream
	}
	first := usable[p.Rand.IntN(len(usable))]
	second := usable[p.Rand.IntN(len(usable))]
	if second.load() < first.load() {
		return second.Upstream, nil
	}
	return first.Upstream, nil
}

func (c Candidate) load() int { return c.InFlight + c.Reported.Running + c.Reported.Waiting }

// Usable returns the candidates that may take the request.
func Usable(request Request, candidates []Candidate) []Candidate {
	var usable []Candidate
	for _, c := range candidates {
		if c.accepts(request) {
			usable = append(usable, c)
		}
	}
	return usable
}

func (c Candidate) accepts(request Request) bool {
	if c.Ejected || c.Leaving || c.InFlight >= c.Limit {
		return false
	}
	if request.Model != "" && !c.HasModel {
		return false
	}
	return !slices.Contains(request.Excluded, c.Upstream)
}
