// Package claims serves order claims in the control process: for the local
// entry, and for other control processes as the owner of journal shards.
package claims

import (
	"time"

	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// Settings contains the settings of the claims service. Shards, KeyLifetime and
// ClockTolerance must be the same at all instances of a deployment.
type Settings struct {
	Shards          int           `help:"Number of journal shards." default:"32" min:"1" max:"4096"`
	KeyLifetime     time.Duration `help:"Time for which an idempotency key is remembered after its claim." default:"1h" min:"1m" max:"24h"`
	ClockTolerance  time.Duration `help:"Maximum difference between the clocks of instances that does not shorten the lifetime of a key." default:"1m" min:"1s" max:"1h"`
	WritesPerSecond int           `help:"Number of commits per second to the store, over all shards." default:"150" min:"1" max:"1000"`
	FinishDelay     time.Duration `help:"Maximum time for which a result waits for a claim to share its commit." default:"200ms" min:"1ms" max:"10s"`
	BatchSize       int           `help:"Maximum number of claims and results in one commit." default:"256" min:"1" max:"512"`
	ActiveKiB       int           `name:"active-kib" help:"Maximum size of the unsealed records of a shard, in KiB." default:"8" min:"1" max:"128"`
	SegmentKiB      int           `name:"segment-kib" help:"Maximum size of a sealed segment, in KiB." default:"512" min:"16" max:"640"`
	MaxRecords      int           `help:"Number of keys that a shard remembers before it refuses new keys." default:"64000" min:"100" max:"1000000"`
	MaxBodyBytes    int           `help:"Maximum size of a response body that is recorded in full, in bytes." default:"256" min:"0" max:"1024"`
	MaxHeld         int           `help:"Maximum number of orders of the local entry that are claimed and unfinished." default:"4096" min:"1" max:"65536"`
	PeerTimeout     time.Duration `help:"Timeout of a call to a peer, in addition to the interval between commits." default:"1s" min:"10ms" max:"30s"`
	StoreTimeout    time.Duration `help:"Timeout of one call to the store." default:"1s" min:"10ms" max:"30s"`
	WaitSlice       time.Duration `help:"Maximum time for which a claim waits for a running order before it is answered." default:"1s" min:"10ms" max:"10s"`
	RetrySpread     time.Duration `help:"Period over which the retry delays of refused callers are spread." default:"5s" min:"1s" max:"5m"`
	ResendGrace     time.Duration `help:"Time after the deadline of an order for which an unreachable claimant still counts as running it." default:"30s" min:"1s" max:"10m"`
	IdleUnload      time.Duration `help:"Time without calls after which a shard is unloaded from memory and a stream to a peer is closed." default:"1m" min:"1s" max:"1h"`
}

const (
	kibibyte    = 1024 // bytes
	mergeFanout = 8
)

func (s Settings) journalLimits() journal.Limits {
	return journal.Limits{
		Lifetime:       s.KeyLifetime,
		ClockTolerance: s.ClockTolerance,
		ActiveBytes:    s.ActiveKiB * kibibyte,
		SegmentBytes:   s.SegmentKiB * kibibyte,
		MergeFanout:    mergeFanout,
		MaxRecords:     s.MaxRecords,
		MaxBodyBytes:   s.MaxBodyBytes,
	}
}

func (s Settings) commitPacing() claims.CommitPacing {
	return claims.NewCommitPacing(s.WritesPerSecond, s.Shards, s.FinishDelay, s.BatchSize)
}

// peerTimeout returns the timeout of a claim at an owner. It includes the interval
// for which the owner may wait before its next commit.
func (s Settings) peerTimeout() time.Duration { return s.PeerTimeout + s.commitPacing().Interval }

// finishTimeout returns the timeout of a result at an owner. It includes the time
// for which a result may wait for a claim to share its commit.
func (s Settings) finishTimeout() time.Duration { return s.peerTimeout() + s.FinishDelay }
