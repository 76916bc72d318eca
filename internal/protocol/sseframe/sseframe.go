// Package sseframe splits a stream of server-sent events into its events without
// changing a byte, so that they can be forwarded exactly as the upstream sent them.
package sseframe

import (
	"bytes"
	"errors"
	"io"
	"iter"
)

// Event is one event as it was sent, including the blank line that ends it.
type Event struct {
	ID        string // empty if the event has none
	Raw       []byte // valid until the next call of Next
	IsComment bool   // it consists of comments only, as servers send to keep a connection open
}

const (
	readBufferBytes = 2 << 10
	maxEventBytes   = 64 << 10 // of each of many streams at once
)

var errEventTooLarge = errors.New("server-sent event exceeds the size limit")

// Scanner splits a stream into events. It buffers the bytes read beyond the last
// complete event.
type Scanner struct {
	reader   io.Reader
	buffer   []byte
	start    int   // index in buffer of the first byte that was not returned
	searched int   // number of bytes after start that contain no end of an event
	err      error // error of the last read
}

// NewScanner returns a scanner that reads from reader.
func NewScanner(reader io.Reader) *Scanner { return &Scanner{reader: reader} }

// Next returns the next event. It returns io.EOF at the end of a complete stream and
// io.ErrUnexpectedEOF if the stream ends within an event. The framing of the body doesn't matter: an HTTP
// server ends the chunks of a body in order also when its handler has stopped within an event.
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
	valuePadding = " "
)

const lineBreaks = "\r\n"

// take removes and returns the first complete event of the buffer.
func (s *Scanner) take() (Event, bool) {
	data := s.buffer[s.start:]
	end := endOfEvent(data, max(s.searched-1, 0)) // the last byte may be half of a line break
	if end < 0 {
		s.searched = len(data)
		return Event{}, false
	}
	s.start, s.searched = s.start+end, 0
	return Event{ID: eventID(data[:end]), Raw: data[:end], IsComment: isComment(data[:end])}, true
}

// endOfEvent returns the index after the blank line that ends the first event of data, or -1. It begins to
// look for the end of that line at index from. Lines end with CR LF, LF or CR.
func endOfEvent(data []byte, from int) int {
	for i := from; ; i++ {
		next := bytes.IndexAny(data[i:], lineBreaks)
		if next < 0 {
			return -1
		}
		i += next
		if i == 0 {
			continue
		}
		switch previous := data[i-1]; {
		case data[i] == previous: // LF LF or CR CR
			return i + 1
		case data[i] == '\n' && previous == '\r' && i > 1 && data[i-2] == '\n':
			return i + 1
		case data[i] == '\r' && previous == '\n' && i+1 < len(data) && data[i+1] != '\n':
			return i + 1
		}
	}
}

// lines returns the lines of an event without their line breaks. It returns an empty line between CR and LF.
func lines(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(event) > 0 {
			end := bytes.IndexAny(event, lineBreaks)
			if end < 0 {
				end = len(event)
			}
			if !yield(event[:end]) {
				return
			}
			event = event[min(end+1, len(event)):]
		}
	}
}

// isComment reports whether all lines of an event are comments or blank.
func isComment(event []byte) bool {
	for line := range lines(event) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the first id field of an event, or an empty string.
func eventID(event []byte) string {
	for line := range lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.Trim(value, valuePadding))
		}
	}
	return ""
}

// takeRest returns the whole lines after the last event if they are blank or comments, so that no event
// has begun in them. Otherwise, and when no bytes are left, it returns the error that ended the stream.
func (s *Scanner) takeRest() (Event, error) {
	rest := s.buffer[s.start:]
	switch {
	case len(rest) == 0 || !errors.Is(s.err, io.EOF):
		return Event{}, s.err
	case !isComment(rest) || !bytes.ContainsAny(rest[len(rest)-1:], lineBreaks):
		return Event{}, io.ErrUnexpectedEOF
	}
	s.start, s.searched = len(s.buffer), 0
	return Event{Raw: rest, IsComment: true}, nil
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
