// Package sse reads and writes server-sent events within limits.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one server-sent event. ID is zero when the event carries none.
type Event struct {
	ID   int
	Name string
	Data []byte
}

// The errors of reading events.
var (
	ErrTooLarge  = errors.New("event is larger than the limit")
	ErrBadID     = errors.New("event id is no positive number")
	ErrTruncated = errors.New("stream ended within an event")
)

const readBufferBytes = 8 << 10

// Reader reads events from a stream. Comments are skipped.
type Reader struct {
	lines *bufio.Reader
	limit int
	line  []byte
}

// NewReader returns a reader that accepts events up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// Next returns the next event, or io.EOF at the end between two events.
func (r *Reader) Next() (Event, error) {
	var event Event
	size, fields := 0, 0
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && (fields > 0 || len(line) > 0) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && fields > 0 {
			return event, nil
		}
		if size += len(line); size > r.limit {
			return Event{}, ErrTooLarge
		}
		known, err := event.setField(line)
		if err != nil {
			return Event{}, err
		}
		if known {
			fields++
		}
	}
}

// readLine returns the next line without its end. The line is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		r.line = append(r.line, part...)
		if len(r.line) > r.limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return r.line, err
		}
		return bytes.TrimRight(r.line, "\r\n"), nil
	}
}

// setField reports whether line set a field of the event.
func (e *Event) setField(line []byte) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	case "event":
		e.Name = string(value)
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil || id <= 0 {
			return false, ErrBadID
		}
		e.ID = id
	default:
		return false, nil
	}
	return true, nil
}

// Append adds the encoded event to buffer. Data must hold no line break.
func Append(buffer []byte, e Event) []byte {
	if e.Name != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, e.Name...)
		buffer = append(buffer, '\n')
	}
	if e.ID > 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, int64(e.ID), 10)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, e.Data...)
	return append(buffer, "\n\n"...)
}

// HasBufferedEvent reports whether a further event can be read without waiting for the stream.
func (r *Reader) HasBufferedEvent() bool {
	buffered, _ := r.lines.Peek(r.lines.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}
