// Package sse reads server-sent events up to a size limit and writes them.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one server-sent event. ID is zero if the event has none.
type Event struct {
	ID   int
	Name string
	Data []byte
}

// Errors of Reader.Next.
var (
	ErrTooLarge  = errors.New("event exceeds the size limit")
	ErrBadID     = errors.New("event id is not a positive number")
	ErrTruncated = errors.New("stream ended before the end of an event")
)

const readBufferBytes = 8 << 10

// Reader reads events from a stream. It skips comments.
type Reader struct {
	lines *bufio.Reader
	limit int
	line  []byte
}

// NewReader returns a reader that accepts events of up to limit bytes, with the comments
// before and in them.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// Next returns the next event. It returns io.EOF if the stream ends between two events and
// ErrTruncated if it ends within one.
func (r *Reader) Next() (Event, error) {
	var event Event
	size, fieldCount := 0, 0
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && (fieldCount > 0 || len(line) > 0) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && fieldCount > 0 {
			return event, nil
		}
		if size += len(line); size > r.limit {
			return Event{}, ErrTooLarge
		}
		isField, err := event.setField(line)
		if err != nil {
			return Event{}, err
		}
		if isField {
			fieldCount++
		}
	}
}

// readLine returns the next line without its line ending. The returned slice is valid until
// the next call.
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

// setField parses a line and sets the event's field. It returns false if the line is a
// comment or an unknown field.
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

// Append appends the encoded event to buffer. The event's data must not contain line breaks.
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

// HasBufferedEvent reports whether the next event is completely buffered, so that Next returns
// without reading from the stream.
func (r *Reader) HasBufferedEvent() bool {
	buffered, _ := r.lines.Peek(r.lines.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}
