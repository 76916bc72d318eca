// Package sseframe splits a stream of server-sent events into its events without
// changing a byte, so that they can be forwarded exactly as the upstream sent them.
package sseframe

import (
	"bytes"
	"errors"
	"io"
)

// Event is one event as it was sent, including the blank line that ends it.
type Event struct {
	ID        string // empty if the event has none
	Raw       []byte // valid until the next call of Next
	IsComment bool   // it consists of comments only, as servers send to keep a connection open
}

const (
	readBufferBytes = 2 << 10
	maxEventBytes   = 1 << 20
)

var errEventTooLarge = errors.New("server-sent event exceeds the size limit")

// Scanner splits a stream into events. It buffers the bytes read beyond the last
// complete event.
type Scanner struct {
	reader      io.Reader
	buffer      []byte
	start       int   // index in buffer of the first byte that was not returned
	searched    int   // number of bytes after start that contain no end of an event
	err         error // error of the last read
	hasKnownEnd bool
}

// NewScanner returns a scanner that reads from reader. hasKnownEnd states that io.EOF
// from reader proves the end of the stream, as with a framed HTTP body. Otherwise a
// stream that ends within an event counts as truncated.
func NewScanner(reader io.Reader, hasKnownEnd bool) *Scanner {
	return &Scanner{reader: reader, hasKnownEnd: hasKnownEnd}
}

// Next returns the next event. It returns io.EOF at the end of a complete stream and
// io.ErrUnexpectedEOF if the stream is truncated.
func (s *Scanner) Next() (Event, error) {
	for {
		if event, ok := s.take(); ok {
			return event, nil
		}
		if s.err != nil {
			return s.takeRest()
		}
		if len(s.buffer)-s.start > maxEventBytes {
			return Event{}, errEventTooLarge
		}
		s.fill()
	}
}

var (
	idField      = []byte("id:")
	eventEndings = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
	lineBreak    = []byte("\n")
	valuePadding = " \r"
)

// take removes and returns the first complete event of the buffer.
func (s *Scanner) take() (Event, bool) {
	data := s.buffer[s.start:]
	end := -1
	for _, ending := range eventEndings {
		from := max(s.searched-len(ending)+1, 0) // the last bytes searched may begin an ending
		if i := bytes.Index(data[from:], ending); i >= 0 && (end < 0 || from+i+len(ending) < end) {
			end = from + i + len(ending)
		}
	}
	if end < 0 {
		s.searched = len(data)
		return Event{}, false
	}
	s.start, s.searched = s.start+end, 0
	return Event{ID: eventID(data[:end]), Raw: data[:end], IsComment: isComment(data[:end])}, true
}

// isComment reports whether all lines of an event are comments or blank.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if trimmed := bytes.TrimRight(line, "\r\n"); len(trimmed) > 0 && trimmed[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the first id field of an event, or an empty string.
func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, lineBreak) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.Trim(value, valuePadding))
		}
	}
	return ""
}

// takeRest returns the bytes after the last complete event as an event if the stream
// has ended completely. Otherwise, and when no bytes are left, it returns the error
// that ended the stream.
func (s *Scanner) takeRest() (Event, error) {
	rest := s.buffer[s.start:]
	if len(rest) == 0 {
		return Event{}, s.err
	}
	if !errors.Is(s.err, io.EOF) {
		return Event{}, s.err
	}
	if !s.hasKnownEnd {
		return Event{}, io.ErrUnexpectedEOF
	}
	s.start, s.searched = len(s.buffer), 0
	return Event{Raw: rest}, nil
}

// fill reads more bytes into the buffer. It moves the bytes that were not returned to
// the start of the buffer and grows the buffer if needed.
func (s *Scanner) fill() {
	if s.start > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.start:])]
		s.start = 0
	}
	if cap(s.buffer)-len(s.buffer) < readBufferBytes/2 {
		grown := make([]byte, len(s.buffer), min(2*cap(s.buffer), maxEventBytes)+readBufferBytes)
		copy(grown, s.buffer)
		s.buffer = grown
	}
	n, err := s.reader.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer, s.err = s.buffer[:len(s.buffer)+n], err
}
