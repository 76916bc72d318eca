// Package bulkhead divides an entry's places for requests between its services.
//
// An entry calls Enter before a request takes memory or a connection, and Leave
// when it ends. Each service has reserved places that no other one can use. Above
// its reserve it uses a shared pool, so that a burst of one service finds room.
package bulkhead

import "savoryweir/internal/state/bundle"

// Settings are the settings of a Bulkhead.
type Settings struct {
	Reserved int // places of each service
	Shared   int // places for all services together
}

// DefaultSettings returns the settings to start from.
func DefaultSettings() Settings { return Settings{Reserved: 1024, Shared: 1024} }

// Bulkhead counts the places in use.
type Bulkhead struct {
	settings   Settings
	used       map[bundle.ServiceName]int
	sharedUsed int
}

// New returns an empty bulkhead.
func New(settings Settings) *Bulkhead {
	return &Bulkhead{settings: settings, used: make(map[bundle.ServiceName]int)}
}

// TryAcquire takes a place and reports whether there was one.
func (b *Bulkhead) TryAcquire(service bundle.ServiceName) bool {
	if b.used[service] >= b.settings.Reserved {
		if b.sharedUsed >= b.settings.Shared {
			return false
		}
		b.sharedUsed++
	}
	b.used[service]++
	return true
}

// Release returns a place.
func (b *Bulkhead) Release(service bundle.ServiceName) {
	if b.used[service] == 0 {
		return
	}
	if b.used[service] > b.settings.Reserved {
		b.sharedUsed--
	}
	b.used[service]--
}

// InUse returns the places that the service has.
func (b *Bulkhead) InUse(service bundle.ServiceName) int { return b.used[service] }
