package gateway

import (
	"sync"
	"time"
)

const (
	// maxConfigWait bounds the wait for a configuration that another instance has in force. Instances learn of it from each
	// other sooner.
	maxConfigWait     = 500 * time.Millisecond
	reasonOlderConfig = "another instance has a newer configuration"
)

// configVersions knows by which configurations other instances have served requests of this one, and tells when one is put in force
// here. It is safe for concurrent use.
type configVersions struct {
	mu      sync.Mutex    // guards the fields below
	applied chan struct{} // closed and replaced when a configuration is put in force
	served  uint64        // newest version by which another instance has served a request of this one
}

// notifyApplied wakes the requests that wait for a configuration.
func (v *configVersions) notifyApplied() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.applied)
	v.applied = make(chan struct{})
}

// awaitApplied returns a channel that is closed when the next configuration is put in force.
func (v *configVersions) awaitApplied() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}

// recordServed records the version by which another instance has served a request of this one.
func (v *configVersions) recordServed(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.served = max(v.served, version)
}

// servedBy returns the newest version by which another instance has served a request of this one.
func (v *configVersions) servedBy() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.served
}

// awaitConfig returns the configuration to serve the request by. If active is older than what the instance that forwarded the request
// has in force, or than what a request of this instance has been served by elsewhere, it waits for a newer one. It returns nil
// if none comes in time.
func (c *call) awaitConfig(active *activeConfig) *activeConfig {
	oldest := c.gateway.configs.servedBy()
	if c.forwarded != nil {
		oldest = max(oldest, c.forwarded.Config)
	}
	if active.Config.Version >= oldest {
		return active
	}
	wait := maxConfigWait
	if c.params.Deadline > 0 {
		wait = min(wait, c.params.Deadline/2)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		applied := c.gateway.configs.awaitApplied()
		if active = c.gateway.active.Load(); active.Config.Version >= oldest {
			return active
		}
		select {
		case <-applied:
		case <-timeout.C:
			c.gateway.Log.Info().Str("event", "request.older_config").Str("request", c.params.ID).Uint64("config", active.Config.Version).Uint64("needs", oldest).
				Bool("forwarded", c.forwarded != nil).Msg("request refused, as requests before it were served by a newer configuration")
			return nil
		case <-c.request.Context().Done():
			return nil
		}
	}
}
