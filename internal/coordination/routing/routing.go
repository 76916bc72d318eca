// Package routing picks the upstream of a request from a snapshot of candidates.
//
// An entry process builds one Candidate for each upstream of the service, in
// bundle order and including those that are down, and calls Pick on the Scheduler
// that NewHashedPair returns. ErrNoUpstream means that the request stays in the
// admission queue until a response frees capacity. The other policies exist for
// comparison in the policy benchmark.
//
// A Scheduler consists of plugins: filters drop candidates, scorers assign each
// of the others a cost, and a chooser selects one.
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

// Request holds the properties of a request that routing uses.
type Request struct {
	Service    bundle.ServiceName
	Model      bundle.ModelID   // empty for plain services
	Adapter    bundle.AdapterID // empty when none is used
	Class      Class
	Deadline   time.Time
	Tokens     float64 // expected length of the answer, zero when unknown
	PrefixHash uint64  // hash of the prompt prefix, zero without a prefix
	// Fingerprint is the hash of the whole request. Retries have the same fingerprint.
	Fingerprint uint64
	Excluded    []bundle.UpstreamID // upstreams that must not be picked
}

// Load is the load that an upstream reports, in requests.
type Load struct {
	Running    int
	Waiting    int
	ReportedAt time.Time // zero before the first report
}

// Candidate is one upstream with its state as known to this entry process.
type Candidate struct {
	Upstream   bundle.UpstreamID
	Zone       bundle.Zone
	InFlight   int // requests of this entry process
	Limit      int // concurrency limit of this entry process for the upstream
	Reported   Load
	HasModel   bool
	HasAdapter bool
	Ejected    bool
	Leaving    bool
	// SentSinceReport is the number of requests that this entry process sent after
	// the upstream reported its load.
	SentSinceReport int
	// BatchSize is the number of requests that the upstream runs at once, zero when unknown.
	BatchSize int
	// RecoveryShare is the share of its normal load that a recovering upstream may take.
	// Zero stands for the full load.
	RecoveryShare float64
	// TimePerToken is the current time between two tokens of a stream, zero when unknown.
	TimePerToken time.Duration
	// DownSince is the time at which the upstream was first observed to be down or
	// leaving, zero when it is up.
	DownSince time.Time

	firstChoice bool // set by PairFilter
}

// ErrNoUpstream is returned when no candidate can take the request.
var ErrNoUpstream = errors.New("no upstream can take the request")

// Picker picks the upstream of a request. It returns ErrNoUpstream if no candidate
// can take the request.
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
	if second.inFlightAndReported() < first.inFlightAndReported() {
		return second.Upstream, nil
	}
	return first.Upstream, nil
}

func (c Candidate) inFlightAndReported() int {
	return c.InFlight + c.Reported.Running + c.Reported.Waiting
}

// Usable returns the candidates that can take the request.
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
