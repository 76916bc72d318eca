// Package bulkhead divides the concurrent requests of an entry process between its services.
//
// An entry process calls TryAcquire before a request takes memory or a connection, and
// Release when the request ends. Each service has reserved slots that no other service
// can use. Beyond its reserve a service uses a shared pool, so that there is room for a
// burst of one service.
package bulkhead

import "savoryweir/internal/state/bundle"

// Settings configures a Bulkhead.
type Settings struct {
	Reserved int // concurrent requests reserved for each service
	Shared   int // additional concurrent requests of all services together
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings { return Settings{Reserved: 1024, Shared: 1024} }

// Bulkhead counts the slots in use. It is not safe for concurrent use.
type Bulkhead struct {
	settings    Settings
	inUse       map[bundle.ServiceName]int
	sharedInUse int
}

// New returns a bulkhead without slots in use.
func New(settings Settings) *Bulkhead {
	return &Bulkhead{settings: settings, inUse: make(map[bundle.ServiceName]int)}
}

// TryAcquire takes a slot for a request of the service and reports whether one was free.
func (b *Bulkhead) TryAcquire(service bundle.ServiceName) bool {
	if b.inUse[service] >= b.settings.Reserved {
		if b.sharedInUse >= b.settings.Shared {
			return false
		}
		b.sharedInUse++
	}
	b.inUse[service]++
	return true
}

// Release frees a slot of the service, a shared one first. It does nothing if the
// service has no slot in use.
func (b *Bulkhead) Release(service bundle.ServiceName) {
	if b.inUse[service] == 0 {
		return
	}
	if b.inUse[service] > b.settings.Reserved {
		b.sharedInUse--
	}
	b.inUse[service]--
}

// InUse returns the number of slots that the service uses.
func (b *Bulkhead) InUse(service bundle.ServiceName) int { return b.inUse[service] }
