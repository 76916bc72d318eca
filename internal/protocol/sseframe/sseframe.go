// Package eventframe splits a stream of server-sent events into its events
// without changing a byte, so that they can be passed on as they were made.
package sseframe

import (
	"bytes"
	"errors"
	"io"
)

// Event is one event as it was sent, with the blank line that ends it.
type Event struct {
	ID  string // empty if the event has none
	Raw []byte // valid until the next call of Next
}

const (
	readBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errTooLarge = errors.New("event is too large")

// Scanner reads events. It keeps what was read beyond the last whole event.
type Scanner struct {
	from     io.Reader
	buffer   []byte
	start    int
	err      error
	endKnown bool
}

// NewScanner returns a scanner. endKnown tells that the reader's io.EOF proves the
// end of the stream; else a stream that ends within an event is broken off.
func NewScanner(from io.Reader, endKnown bool) *Scanner {
	return &Scanner{from: from, endKnown: endKnown}
}

// Next returns the next event, or io.EOF at the end of a whole stream.
func (s *Scanner) Next() (Event, error) {
	for {
		if event, ok := s.take(); ok {
			return event, nil
		}
		if s.err != nil {
			return s.rest()
		}
		if len(s.buffer)-s.start > maxEventBytes {
			return Event{}, errTooLarge
		}
		s.fill()
	}
}

var (
	fieldID      = []byte("id:")
	endings      = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
	lineBreak    = []byte("\n")
	fieldPadding = " \r"
)

// take returns the first whole event of the buffer.
func (s *Scanner) take() (Event, bool) {
	data := s.buffer[s.start:]
	end := -1
	for _, ending := range endings {
		if i := bytes.Index(data, ending); i >= 0 && (end < 0 || i+len(ending) < end) {
			end = i + len(ending)
		}
	}
	if end < 0 {
		return Event{}, false
	}
	s.start += end
	return Event{ID: identifier(data[:end]), Raw: data[:end]}, true
}

func identifier(raw []byte) string {
	for line := range bytes.SplitSeq(raw, lineBreak) {
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			return string(bytes.Trim(value, fieldPadding))
		}
	}
	return ""
}

// rest returns what stands behind the last whole event, then the error.
func (s *Scanner) rest() (Event, error) {
	left := s.buffer[s.start:]
	if len(left) == 0 {
		return Event{}, s.err
	}
	if !errors.Is(s.err, io.EOF) {
		return Event{}, s.err
	}
	if !s.endKnown {
		return Event{}, io.ErrUnexpectedEOF
	}
	s.start = len(s.buffer)
	return Event{Raw: left}, nil
}

func (s *Scanner) fill() {
	if s.start > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.start:])]
		s.start = 0
	}
	if cap(s.buffer)-len(s.buffer) < readBytes/2 {
		grown := make([]byte, len(s.buffer), 2*cap(s.buffer)+readBytes)
		copy(grown, s.buffer)
		s.buffer = grown
	}
	n, err := s.from.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer, s.err = s.buffer[:len(s.buffer)+n], err
}
