package gateway

import (
	"sync"
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
