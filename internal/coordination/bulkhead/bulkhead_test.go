package bulkhead

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/bundle"
)

// acquireAll takes slots for the service until none is free and returns their number.
func acquireAll(b *Bulkhead, service bundle.ServiceName) int {
	n := 0
	for b.TryAcquire(service) {
		n++
	}
	return n
}

func TestBurstOfOneServiceLeavesReserveOfOthers(t *testing.T) {
	b := New(Settings{Reserved: 10, Shared: 5})
	assert.Equal(t, acquireAll(b, "sick"), 15)
	assert.Equal(t, acquireAll(b, "sound"), 10)
}

func TestAllSlotsAreFreeAfterRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Settings{Reserved: 3, Shared: 4})
		services := []bundle.ServiceName{"a", "b", "c"}
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "steps") {
			if step < 3 {
				b.TryAcquire(services[step])
			} else {
				b.Release(services[step-3])
			}
		}
		for _, s := range services {
			for b.InUse(s) > 0 {
				b.Release(s)
			}
		}
		assert.Equal(t, acquireAll(b, "a"), 7)
	})
}
