package gateway

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryweir/internal/state/fleet"
)

const (
	// crashUpstreamLimit is the number of upstreams that must have closed the connection
	// while processing the same request before the request is refused. A single
	// upstream may close it for reasons unrelated to the request.
	crashUpstreamLimit = 3
	// crashRecordTTL is how long a record is kept after its last crash. It spans several
	// restarts of an engine.
	crashRecordTTL = 60 * time.Second
	// crashEvictionThreshold is the number of records from which expired ones are evicted
	// before another is added.
	crashEvictionThreshold = 4096
)

// crashGuard counts the upstreams that closed the connection while processing the same
// request, and blocks requests that seem to crash every upstream that processes them.
// It is safe for concurrent use.
type crashGuard struct {
	mu      sync.Mutex
	records map[uint64]*crashRecord
}

// crashRecord holds the upstreams that one request is assumed to have crashed.
type crashRecord struct {
	lastCrash time.Time
	upstreams map[fleet.UpstreamID]bool
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
	id, fingerprint := tracked.upstream.ID, c.fingerprint()
	c.gateway.RecordCrash(fingerprint, id)
	c.gateway.BroadcastCrash(fingerprint, id)
}

// RecordCrash records that an upstream closed the connection while processing a request
// of this or of another instance.
func (g *Gateway) RecordCrash(fingerprint uint64, id fleet.UpstreamID) {
	if n := g.crashGuard.recordCrash(fingerprint, time.Now(), id); n == crashUpstreamLimit {
		g.Log.Warn().Str("event", "request.blocked").Uint64("fingerprint", fingerprint).Int("upstreams", n).Msg("request blocked; several upstreams closed the connection while processing it")
	}
}

// isBlocked reports whether the request has crashed crashUpstreamLimit upstreams and the
// last crash is more recent than crashRecordTTL.
func (g *crashGuard) isBlocked(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.records[fingerprint]
	return record != nil && now.Sub(record.lastCrash) < crashRecordTTL && len(record.upstreams) >= crashUpstreamLimit
}

// recordCrash records that an upstream closed the connection while processing the
// request. It returns the number of upstreams that have done so.
func (g *crashGuard) recordCrash(fingerprint uint64, now time.Time, id fleet.UpstreamID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.records[fingerprint]
	if record == nil || now.Sub(record.lastCrash) > crashRecordTTL {
		g.evictExpired(now)
		record = &crashRecord{upstreams: make(map[fleet.UpstreamID]bool)}
		g.records[fingerprint] = record
	}
	record.lastCrash = now
	record.upstreams[id] = true
	return len(record.upstreams)
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
