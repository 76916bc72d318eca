// Package claims serves order claims in the control process: for the local
// entry, and for other control processes as the owner of journal shards.
package claims

import (
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// Settings of the claims service. All instances of a deployment need the same
// Shards, KeyLifetime and ClockTolerance.
type Settings struct {
	Shards          int           `help:"Number of journal shards." default:"32" min:"1" max:"4096"`
	KeyLifetime     time.Duration `help:"Time for which an idempotency key is remembered after its claim." default:"1h" min:"1m" max:"24h"`
	ClockTolerance  time.Duration `help:"Difference between the clocks of instances that does not shorten a key's lifetime." default:"1m" min:"1s" max:"1h"`
	WritesPerSecond int           `help:"Commits a second to the store over all shards." default:"150" min:"1" max:"1000"`
	FinishDelay     time.Duration `help:"Longest time that a result waits for a claim to share its commit." default:"200ms" min:"1ms" max:"10s"`
	BatchSize       int           `help:"Most claims and results in one commit." default:"256" min:"1" max:"512"`
	ActiveKiB       int           `name:"active-kib" help:"Largest size of the unsealed records of a shard, in KiB." default:"8" min:"1" max:"128"`
	SegmentKiB      int           `name:"segment-kib" help:"Size of the largest sealed segment, in KiB." default:"512" min:"16" max:"640"`
	MaxRecords      int           `help:"Keys that a shard remembers before it refuses new ones." default:"64000" min:"100" max:"1000000"`
	MaxBodyBytes    int           `help:"Longest response body that is recorded, in bytes." default:"256" min:"0" max:"1024"`
	MaxHeld         int           `help:"Orders of the local entry that may be claimed and unfinished." default:"4096" min:"1" max:"65536"`
	PeerTimeout     time.Duration `help:"Time for a peer to answer, beyond the interval between commits." default:"1s" min:"10ms" max:"30s"`
	StoreTimeout    time.Duration `help:"Time for the store to answer one call." default:"1s" min:"10ms" max:"30s"`
	WaitSlice       time.Duration `help:"Longest time that a claim waits for a running order before it answers." default:"1s" min:"10ms" max:"10s"`
	RetrySpread     time.Duration `help:"Time over which refused callers are told to come back." default:"5s" min:"1s" max:"5m"`
	ResendGrace     time.Duration `help:"Time after an order's deadline in which an unreachable claimant still counts as running it." default:"30s" min:"1s" max:"10m"`
	IdleUnload      time.Duration `help:"Time without calls after which a shard leaves memory." default:"1m" min:"1s" max:"1h"`
}

const (
	kibibyte    = 1024
	mergeFanout = 8
)

func (s Settings) journalLimits() journal.Limits {
	return journal.Limits{
		Lifetime:     s.KeyLifetime,
		Grace:        s.ClockTolerance,
		ActiveBytes:  s.ActiveKiB * kibibyte,
		SegmentBytes: s.SegmentKiB * kibibyte,
		MergeFanout:  mergeFanout,
		MaxRecords:   s.MaxRecords,
		MaxBodyBytes: s.MaxBodyBytes,
	}
}

func (s Settings) commitPacing() claims.CommitPacing {
	return claims.NewCommitPacing(s.WritesPerSecond, s.Shards, s.FinishDelay, s.BatchSize)
}

// peerTimeout is the time for an owner to answer, which includes one wait for its commit.
func (s Settings) peerTimeout() time.Duration { return s.PeerTimeout + s.commitPacing().Interval }

// finishTimeout is the time for an owner to record a result, which may wait for company.
func (s Settings) finishTimeout() time.Duration { return s.peerTimeout() + s.FinishDelay }
