package sseframe

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessReader returns the bytes of a part again and again, a few at a time.
type endlessReader struct {
	part      string
	readBytes int
	next      int // index in part
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	n := min(r.readBytes, len(p))
	for i := range n {
		p[i] = r.part[r.next]
		r.next = (r.next + 1) % len(r.part)
	}
	return n, nil
}

// Searching the whole event for its end after each read takes time that grows with the square
// of its size. One upstream could occupy a core for seconds.
func TestEndlessEventInSmallPartsIsRejectedQuickly(t *testing.T) {
	start := time.Now()
	_, err := NewScanner(&endlessReader{part: "\r\ny", readBytes: 64}, true).Next()
	assert.ErrorIs(t, err, errEventTooLarge)
	assert.Assert(t, time.Since(start) < time.Second)
}
