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
	// crashUpstreamLimit is how many upstreams may break off the same request before it is
	// refused; a single upstream may break off for reasons of its own.
	crashUpstreamLimit = 3
	// crashRecordTTL is how long breaks are remembered: several restarts of an engine.
	crashRecordTTL = 60 * time.Second
	// maxCrashRecords bounds the remembered requests.
	maxCrashRecords = 4096
)

// crashGuard counts the upstreams that broke off while they ran the same request,
// and blocks requests that seem to crash whatever runs them. It is safe for
// concurrent use.
type crashGuard struct {
	mu      sync.Mutex
	records map[uint64]*crashRecord
}

type crashRecord struct {
	lastCrash time.Time
	upstreams map[fleet.UpstreamID]bool
}

func newCrashGuard() *crashGuard { return &crashGuard{records: make(map[uint64]*crashRecord)} }

// fingerprint names what makes a request the same when it comes again.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.request.Host + "\x00" + c.request.Method + "\x00" + c.requestURI + "\x00")
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// reportCrash records that an upstream ended the connection while it may have run the
// request. Other failures are no sign of a crash.
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

// RecordCrash records that an upstream broke off a request, here or at another instance.
func (g *Gateway) RecordCrash(fingerprint uint64, id fleet.UpstreamID) {
	if n := g.crashGuard.recordCrash(fingerprint, time.Now(), id); n == crashUpstreamLimit {
		g.Log.Warn().Str("event", "request.blocked").Uint64("fingerprint", fingerprint).Int("upstreams", n).Msg("request breaks whatever runs it, it is refused from now on")
	}
}

func (g *crashGuard) isBlocked(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.records[fingerprint]
	return record != nil && now.Sub(record.lastCrash) < crashRecordTTL && len(record.upstreams) >= crashUpstreamLimit
}

// recordCrash records that an upstream broke off the request. It returns how many
// upstreams have done so.
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

func (g *crashGuard) evictExpired(now time.Time) {
	if len(g.records) < maxCrashRecords {
		return
	}
	for fingerprint, record := range g.records {
		if now.Sub(record.lastCrash) > crashRecordTTL {
			delete(g.records, fingerprint)
		}
	}
}
