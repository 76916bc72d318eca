package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/fleet"
)

const (
	// crashLimit is the number of crashes of upstreams that were processing the same request
	// after which the request is refused. One or two may be unrelated to the request.
	crashLimit = 3
	// crashMergeWindow is the time within which all connections that an upstream closes belong to
	// one crash. An upstream takes longer to start again.
	crashMergeWindow = 500 * time.Millisecond
	// crashRecordTTL is how long a record is kept after its last crash. It spans several
	// restarts of an engine.
	crashRecordTTL = 60 * time.Second
	// crashEvictionThreshold is the number of records from which expired ones are evicted
	// before another is added.
	crashEvictionThreshold = 4096
)

// crashGuard counts the crashes of upstreams while they processed the same request, and blocks requests that seem to crash every upstream that processes them.
// It is safe for concurrent use.
type crashGuard struct {
	mu      sync.Mutex
	records map[uint64]*crashRecord
}

// crashRecord holds the crashes that one request is assumed to have caused.
type crashRecord struct {
	crashes   int
	lastCrash time.Time
	crashedAt map[fleet.UpstreamID]time.Time // last crash of each upstream
}

func newCrashGuard() *crashGuard { return &crashGuard{records: make(map[uint64]*crashRecord)} }

// fingerprint returns a hash of the host, method, request URI and body, by which the
// same request is recognized when it is sent again.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.request.Host + "\x00" + c.request.Method + "\x00" + c.requestURI + "\x00")
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// reportCrash records an error of an upstream that may have been executing the request.
// Only a closed connection counts as a crash; other errors are ignored. The crash is
// recorded here and broadcast to the other instances.
func (c *call) reportCrash(tracked *trackedRequest, err error) {
	connectionClosed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !connectionClosed {
		return
	}
	tracked.recordFault()
	c.gateway.RecordCrash(c.contentHash, tracked.upstream.ID)
	c.gateway.BroadcastCrash(c.contentHash, tracked.upstream.ID)
}

// isBlocked reports whether the request must not be sent to a further upstream. The answer may
// change while it waits for a load or for the result of an attempt.
func (c *call) isBlocked() bool { return c.gateway.crashGuard.isBlocked(c.contentHash, time.Now()) }

// refuseBlocked ends a request that is blocked.
func (c *call) refuseBlocked() {
	const reason = "crashed several upstreams"
	if !c.firstByteAt.IsZero() {
		c.abortStream(reason)
	}
	c.refuse(http.StatusServiceUnavailable, 0, reason)
}

// RecordCrash records that an upstream closed the connection while processing a request
// of this or of another instance.
func (g *Gateway) RecordCrash(fingerprint uint64, id fleet.UpstreamID) {
	if n := g.crashGuard.recordCrash(fingerprint, time.Now(), id); n == crashLimit {
		g.Log.Warn().Str("event", "request.blocked").Uint64("fingerprint", fingerprint).Int("crashes", n).Msg("request blocked; upstreams closed the connection while processing it")
	}
}

// isBlocked reports whether the request has caused crashLimit crashes and the
// last crash is more recent than crashRecordTTL.
func (g *crashGuard) isBlocked(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.records[fingerprint]
	return record != nil && now.Sub(record.lastCrash) < crashRecordTTL && record.crashes >= crashLimit
}

// recordCrash records that an upstream closed the connection while processing the
// request. It returns the number of crashes, or zero if the crash has been counted before.
func (g *crashGuard) recordCrash(fingerprint uint64, now time.Time, id fleet.UpstreamID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.records[fingerprint]
	if record == nil || now.Sub(record.lastCrash) > crashRecordTTL {
		g.evictExpired(now)
		record = &crashRecord{crashedAt: make(map[fleet.UpstreamID]time.Time)}
		g.records[fingerprint] = record
	}
	if now.Sub(record.crashedAt[id]) < crashMergeWindow {
		return 0
	}
	record.crashes++
	record.lastCrash, record.crashedAt[id] = now, now
	return record.crashes
}

// evictExpired removes expired records if there are at least crashEvictionThreshold
// records. The caller holds g.mu.
func (g *crashGuard) evictExpired(now time.Time) {
	if len(g.records) < crashEvictionThreshold {
		return
	}
	for fingerprint, record := range g.records {
		if now.Sub(record.lastCrash) > crashRecordTTL {
			delete(g.records, fingerprint)
		}
	}
}
