package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendEndlessly returns a function that answers a request with begin, and then sends part for
// ever. It closes closed when the client has closed the connection.
func sendEndlessly(begin, part string, interval time.Duration, closed chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		go func() {
			_, _ = r.ReadByte()
			close(closed)
		}()
		for data := begin; ; data = part {
			if _, err := io.WriteString(conn, data); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
}

// awaitClose waits until the client has closed the connection.
func awaitClose(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection is still open after 500 ms")
	}
}

func TestConnectionWithEndlessBytesAfterResponseIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"without body":  "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fill, closed := strings.Repeat("y", 4096), make(chan struct{})
			address, accepted := startServer(t, sendEndlessly(response+fill, fill, time.Millisecond, closed))
			p := NewPool(func() {})
			body, err := exchange(t, p, newRequest(address))
			assert.NilError(t, err)
			assert.Assert(t, body == "ok" || body == "")
			awaitClose(t, closed)
			assert.Equal(t, accepted.Load(), int32(1))
			assert.Equal(t, len(p.idle), 0)
		})
	}
}

// Bytes that can't begin a status line are no response, however slowly they come.
func TestGarbageInsteadOfStatusLineFailsAtOnce(t *testing.T) {
	for _, garbage := range []string{"\x00", "garbage", "HTTP/x", "\r\n"} {
		closed := make(chan struct{})
		address, _ := startServer(t, sendEndlessly(garbage, garbage, 20*time.Millisecond, closed))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := NewPool(func() {}).Do(ctx, newRequest(address))
		assert.Assert(t, err != nil && ctx.Err() == nil, "%q: %v", garbage, err)
		awaitClose(t, closed)
	}
}

// Bytes on an idle connection fill the buffers of the kernel if nobody looks, for as long as the
// upstream has announced to keep the connection open.
func TestIdleConnectionWithEndlessBytesIsClosed(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\nContent-Length: 2\r\n\r\nok"
	closed := make(chan struct{})
	address, _ := startServer(t, sendEndlessly(response, strings.Repeat("y", 4096), 20*time.Millisecond, closed))
	p := NewPool(func() {})
	_, err := exchange(t, p, newRequest(address))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	p.CloseExpired()
	awaitClose(t, closed)
	assert.Equal(t, len(p.idle), 0)
}
