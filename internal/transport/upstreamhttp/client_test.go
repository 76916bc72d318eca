package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTimeout = 10 * time.Second

func newTestClient(t *testing.T, protocol Protocol) *Client {
	t.Helper()
	client := NewClient(Settings{Protocol: protocol, ConnectTimeout: time.Second, PingAfter: time.Second, PingTimeout: time.Second})
	t.Cleanup(client.CloseIdle)
	return client
}

// serveThenClose answers the first request of each connection and closes it
// without an answer after it has read the second.
func serveThenClose(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var received atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, &received)
		}
	}()
	return listener.Addr().String(), &received
}

func answerOnce(conn net.Conn, received *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		received.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func send(t *testing.T, c *Client, address string, body []byte) (*SendTracker, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	h := make(http.Header)
	h.Set("Idempotency-Key", "k")
	response, sent, err := c.Do(ctx, Request{Method: http.MethodPost, Address: address, Path: "/", Header: h, Body: body, AtMostOnce: true})
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return sent, err
}

// net/http would send a request with an idempotency key again over a new connection.
func TestOrderIsNotSentAgainByTheLibrary(t *testing.T) {
	for _, body := range [][]byte{[]byte("order"), nil} {
		address, received := serveThenClose(t)
		client := newTestClient(t, ProtocolHTTP1)
		_, err := send(t, client, address, body)
		assert.NilError(t, err)
		sent, err := send(t, client, address, body)
		assert.Assert(t, err != nil)
		assert.Assert(t, sent.MaybeSent())
		assert.Equal(t, received.Load(), int32(2))
	}
}

func TestNothingLeftWhenNoConnectionWasOpened(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for protocol, expected := range map[Protocol]bool{ProtocolHTTP1: false, ProtocolH2C: true} {
		sent, err := send(t, newTestClient(t, protocol), address, []byte("order"))
		assert.Assert(t, err != nil)
		assert.Equal(t, sent.MaybeSent(), expected, "%s", protocol)
	}
}

// Once a request is said not to have left, its connection writes nothing more.
func TestNoByteLeavesAfterItWasDenied(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	sent := &SendTracker{exact: true}
	sent.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, !sent.MaybeSent())
	_, err := conn.Write([]byte("late"))
	assert.Assert(t, errors.Is(err, errSealed))
}

func TestByteThatLeftIsNotDenied(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &trackedConn{Conn: near}
	sent := &SendTracker{exact: true}
	sent.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, sent.MaybeSent())
	_, err = conn.Write([]byte("y"))
	assert.NilError(t, err)
}

func TestSentinelBreaksWithItsUpstream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	sentinel, err := newTestClient(t, ProtocolHTTP1).OpenSentinel(ctx, listener.Addr().String())
	assert.NilError(t, err)
	defer sentinel.Close()
	select {
	case <-sentinel.Broken():
		t.Fatal("broken while the upstream is up")
	default:
	}
	assert.NilError(t, server.Close())
	select {
	case <-sentinel.Broken():
	case <-ctx.Done():
		t.Fatal("not broken after the upstream's end")
	}
}
