package gateway

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// smallBodyBytes is the size up to which request bodies are not counted: the number of connections bounds them.
	smallBodyBytes = 16 << 10
	// bodyMemoryRetryAfter is the Retry-After of a refusal because too many large bodies are in memory.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// errBodyMemory is the error of a body for which no memory is left.
var errBodyMemory = errors.New("request bodies take up all the memory that they may")

// bodyMemory bounds the memory of the request bodies of all callers together.
type bodyMemory struct {
	limit func() int64 // bytes; 0 for no limit
	used  atomic.Int64
}

// reserve takes bytes unless the limit would be exceeded.
func (m *bodyMemory) reserve(bytes int64) bool {
	if limit := m.limit(); m.used.Add(bytes) > limit && limit > 0 {
		m.used.Add(-bytes)
		return false
	}
	return true
}

func (m *bodyMemory) release(bytes int64) { m.used.Add(-bytes) }

// bufferBody reads a body of the given length, -1 if it is not known. Memory is taken as the bytes arrive, so that a
// caller that only announces a large body takes none.
func (c *call) bufferBody(reader io.Reader, length int64) ([]byte, error) {
	size := int64(smallBodyBytes)
	if length >= 0 {
		size = min(length+1, size) // one byte more to read to EOF, because net/http detects that the caller disconnects only after that
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size := 2 * int64(cap(body))
			if length >= 0 && size > length/2 {
				size = length + 1
			}
			if !c.gateway.bodyMemory.reserve(size - c.bodyMemory) {
				return nil, errBodyMemory
			}
			c.bodyMemory = size
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
