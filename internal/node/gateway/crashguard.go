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
	// crashLimit is how many upstreams may break off the same request before it is
	// refused; a single upstream may break off for reasons of its own.
	crashLimit = 3
	// crashMemory is how long breaks are remembered: several restarts of an engine.
	crashMemory = 60 * time.Second
	// crashEntries bounds the remembered requests.
	crashEntries = 4096
)

// crashGuard counts the upstreams that broke off while they ran the same request,
// and blocks requests that seem to crash whatever runs them. It is safe for
// concurrent use.
type crashGuard struct {
	mu sync.Mutex
	by map[uint64]*crashRecord
}

type crashRecord struct {
	last      time.Time
	upstreams map[fleet.UpstreamID]bool
}

func newCrashGuard() *crashGuard { return &crashGuard{by: make(map[uint64]*crashRecord)} }

// fingerprint names what makes a request the same when it comes again.
func (c *call) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.request.Host + "\x00" + c.request.Method + "\x00" + c.target + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// brokeOff records that an upstream ended the connection while it may have run the
// request. Other failures are no sign of a crash.
func (c *call) brokeOff(f *flight, err error) {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !ended {
		return
	}
	f.erred()
	id, fingerprint := f.upstream.ID, c.fingerprint()
	c.gateway.RecordCrash(fingerprint, id)
	c.gateway.BroadcastCrash(fingerprint, id)
}

// RecordCrash records that an upstream broke off a request, here or at another instance.
func (g *Gateway) RecordCrash(fingerprint uint64, id fleet.UpstreamID) {
	if n := g.crashes.brokeOff(fingerprint, time.Now(), id); n == crashLimit {
		g.Log.Warn().Str("event", "request.blocked").Uint64("fingerprint", fingerprint).Int("upstreams", n).Msg("request breaks whatever runs it, it is refused from now on")
	}
}

func (g *crashGuard) isBlocked(fingerprint uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.by[fingerprint]
	return record != nil && now.Sub(record.last) < crashMemory && len(record.upstreams) >= crashLimit
}

// brokeOff records that an upstream broke off the request. It returns how many
// upstreams have done so.
func (g *crashGuard) brokeOff(fingerprint uint64, now time.Time, id fleet.UpstreamID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.by[fingerprint]
	if record == nil || now.Sub(record.last) > crashMemory {
		g.trim(now)
		record = &crashRecord{upstreams: make(map[fleet.UpstreamID]bool)}
		g.by[fingerprint] = record
	}
	record.last = now
	record.upstreams[id] = true
	return len(record.upstreams)
}

func (g *crashGuard) trim(now time.Time) {
	if len(g.by) < crashEntries {
		return
	}
	for fingerprint, record := range g.by {
		if now.Sub(record.last) > crashMemory {
			delete(g.by, fingerprint)
		}
	}
}
