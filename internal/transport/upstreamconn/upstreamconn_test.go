package upstreamconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer accepts connections and passes each to serve. It returns the address and
// the number of accepted connections.
func startServer(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// respondWith returns a function that sends response to each request of a connection.
func respondWith(response string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}
}

func newRequest(address string) Request {
	return Request{Address: address, Method: "POST", Target: "/x?y=%2f", Host: "h.example", Header: http.Header{}, Body: []byte("body")}
}

// exchange sends a request and returns the body of the response.
func exchange(t *testing.T, p *Pool, r Request) (string, error) {
	t.Helper()
	x, err := p.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func TestConnectionIsReusedOnlyAfterCompleteResponse(t *testing.T) {
	cases := []struct {
		name     string
		response string
		conns    int32 // connections opened for three requests
	}{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"zero idle timeout", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		{"data after the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 3},
		{"informational response first", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, accepted := startServer(t, respondWith(c.response))
			p := NewPool(func() {})
			for range 3 {
				body, err := exchange(t, p, newRequest(address))
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, accepted.Load(), c.conns)
		})
	}
}

// A response that arrives on an idle connection must not be taken for the response to
// the next request.
func TestUnsolicitedResponseClosesIdleConnection(t *testing.T) {
	address, accepted := startServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	p := NewPool(func() {})
	for range 3 {
		body, err := exchange(t, p, newRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, accepted.Load(), int32(3))
}

func TestFailureReportsWhetherRequestMayHaveBeenSent(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	_, err = exchange(t, NewPool(func() {}), newRequest(closed.Addr().String()))
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure) && !failure.MaybeSent)
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = exchange(t, NewPool(func() {}), newRequest(address))
	assert.Assert(t, errors.As(err, &failure) && failure.MaybeSent)
}

// The end of the connection marks the end of a body without a length. A connection that
// is reset instead must yield an error, since the body may be truncated.
func TestBodyWithoutLengthIsCompleteOnlyAfterOrderlyClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := exchange(t, NewPool(func() {}), newRequest(address))
		assert.Equal(t, body, "half")
		assert.Equal(t, err != nil, reset)
	}
}

// An upstream may respond before it has read the whole body of a request. The exchange
// must return that response at once, and the rest of the body must not reach the
// upstream as part of another request.
func TestEarlyResponseIsReturnedAndConnectionNotReused(t *testing.T) {
	bodies := make(chan string, 4)
	address, accepted := startServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			body, _ := io.ReadAll(request.Body)
			bodies <- string(body)
		}
	})
	p := NewPool(func() {})
	long := newRequest(address)
	long.Body = []byte(strings.Repeat("x", 4<<20))
	x, err := p.Do(t.Context(), long)
	assert.NilError(t, err)
	assert.Equal(t, x.Response.StatusCode, 503)
	x.Close()
	_, err = exchange(t, p, newRequest(address))
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int32(2), "the connection with the rest of the body must not be reused")
	for range 2 {
		body := <-bodies
		assert.Assert(t, body == "body" || strings.Trim(body, "x") == "", "the body mixes bytes of two requests")
	}
}

func TestEndOfContextClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte() // returns after the four bytes of the body, when the connection is closed
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool(func() {}).Do(ctx, newRequest(address))
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

// An upstream may be closing an idle connection when a request is sent on it, which
// leaves the outcome unknown. At-most-once requests must avoid such connections.
func TestAtMostOnceRequestReusesOnlyRecentConnection(t *testing.T) {
	address, accepted := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	p := NewPool(func() {})
	now := time.Now()
	p.now = func() time.Time { return now }
	atMostOnce := newRequest(address)
	atMostOnce.AtMostOnce = true
	for range 2 {
		_, err := exchange(t, p, atMostOnce)
		assert.NilError(t, err)
	}
	assert.Equal(t, accepted.Load(), int32(1))
	now = now.Add(atMostOnceIdleTimeout + time.Millisecond)
	_, err := exchange(t, p, atMostOnce)
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int32(2))
	now = now.Add(time.Minute)
	p.CloseExpired()
	assert.Equal(t, len(p.idle), 0)
}

func TestOversizedResponseHeadIsRejected(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := fmt.Fprint(conn, "X-Fill: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	_, err := exchange(t, NewPool(func() {}), newRequest(address))
	assert.ErrorIs(t, err, errHeadTooLarge)
}

// A burst of callers that leave must not cost the connections that are open to the upstream.
func TestAbandonedRequestIsNotSentAndConnectionIsKept(t *testing.T) {
	address, accepted := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	p := NewPool(func() {})
	abandoned := newRequest(address)
	abandoned.IsAbandoned = func() bool { return true }
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		_, err := exchange(t, p, abandoned) // on a new connection, then on the one that was opened for it
		var failure *Failure
		assert.Assert(t, errors.As(err, &failure) && !failure.MaybeSent)
		assert.ErrorIs(t, err, ErrAbandoned)
		body, err := exchange(t, p, newRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		_, err = p.Do(canceled, newRequest(address))
		assert.Assert(t, errors.As(err, &failure) && !failure.MaybeSent)
	}
	assert.Equal(t, accepted.Load(), int32(1))
}
