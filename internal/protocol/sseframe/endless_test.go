package sseframe

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
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
	_, err := NewScanner(&endlessReader{part: "\r\ny", readBytes: 64}).Next()
	assert.ErrorIs(t, err, errEventTooLarge)
	assert.Assert(t, time.Since(start) < time.Second)
}

// The end of an event may be split between reads at any byte.
func TestEventsAreTheSameHoweverTheyAreRead(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, 0))
	split := func(r io.Reader) (events []string, end error) {
		for s := NewScanner(r); ; {
			event, err := s.Next()
			if err != nil {
				return events, err
			}
			events = append(events, string(event.Raw))
		}
	}
	for range 2000 {
		text := make([]byte, random.IntN(40))
		for i := range text {
			text[i] = "\r\n\n:x"[random.IntN(5)]
		}
		whole, end := split(bytes.NewReader(text))
		parts, partsEnd := split(iotest.OneByteReader(bytes.NewReader(text)))
		assert.Assert(t, slices.Equal(whole, parts), "%q, seed %d", text, seed)
		assert.Equal(t, end, partsEnd, "%q, seed %d", text, seed)
		rest, isPrefix := strings.CutPrefix(string(text), strings.Join(whole, ""))
		assert.Assert(t, isPrefix, "%q, seed %d", text, seed)
		assert.Equal(t, errors.Is(end, io.EOF) && !errors.Is(end, io.ErrUnexpectedEOF), rest == "", "%q, seed %d", text, seed)
	}
}

func TestBufferOfEndlessEventStaysNearEventLimit(t *testing.T) {
	s := NewScanner(&endlessReader{part: "y", readBytes: 4096})
	_, err := s.Next()
	assert.ErrorIs(t, err, errEventTooLarge)
	assert.Assert(t, cap(s.buffer) <= maxEventBytes+64<<10, "%d bytes", cap(s.buffer))
}
