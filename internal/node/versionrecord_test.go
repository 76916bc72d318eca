package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/streams"
)

// The store came back from a copy without the record, and the holder had the lease again before it looked. It took the record for
// written, so that the versions which had served were unknown after the loss of all instances.
func TestVersionsAreRecordedAgainInLaterEraAlthoughLeaseIsHeld(t *testing.T) {
	served := []streams.Origin{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}
	assert.Assert(t, !versionWrite{}.holds(served, 0))
	w := versionWrite{served: served, era: 1}
	assert.Assert(t, w.holds(served, 1))
	assert.Assert(t, !w.holds(served[:1], 1))
	assert.Assert(t, !w.holds(served, 2))
}
