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

// serveOnceThenClose starts a server that responds to the first request of each connection
// and closes the connection without a response after it has read the second. It returns
// the server's address and the number of received requests.
func serveOnceThenClose(t *testing.T) (string, *atomic.Int32) {
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
			go respondToFirstRequest(conn, &received)
		}
	}()
	return listener.Addr().String(), &received
}

func respondToFirstRequest(conn net.Conn, received *atomic.Int32) {
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
	response, tracker, err := c.Do(ctx, Request{Method: http.MethodPost, Address: address, Path: "/", Header: h, Body: body, AtMostOnce: true})
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return tracker, err
}

// net/http retries a request with an Idempotency-Key header on a new connection if a reused
// connection is closed before the response. An order could then run twice.
func TestAtMostOnceRequestIsNotRetriedByNetHTTP(t *testing.T) {
	for _, body := range [][]byte{[]byte("order"), nil} {
		address, received := serveOnceThenClose(t)
		client := newTestClient(t, ProtocolHTTP1)
		_, err := send(t, client, address, body)
		assert.NilError(t, err)
		tracker, err := send(t, client, address, body)
		assert.Assert(t, err != nil)
		assert.Assert(t, tracker.MaybeSent())
		assert.Equal(t, received.Load(), int32(2))
	}
}

func TestFailedDialReportsRequestAsNotSentOverHTTP1(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for protocol, expected := range map[Protocol]bool{ProtocolHTTP1: false, ProtocolH2C: true} {
		tracker, err := send(t, newTestClient(t, protocol), address, []byte("order"))
		assert.Assert(t, err != nil)
		assert.Equal(t, tracker.MaybeSent(), expected, "%s", protocol)
	}
}

// A caller sends the request to another upstream once it was reported as not sent. A write
// that is still pending at that time would run the request twice.
func TestWriteIsRejectedAfterRequestWasReportedNotSent(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	tracker := &SendTracker{oneRequestPerConn: true}
	tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, !tracker.MaybeSent())
	_, err := conn.Write([]byte("late"))
	assert.Assert(t, errors.Is(err, errSealed))
}

func TestWrittenRequestIsReportedAsMaybeSent(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &trackedConn{Conn: near}
	tracker := &SendTracker{oneRequestPerConn: true}
	tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, tracker.MaybeSent())
	_, err = conn.Write([]byte("y"))
	assert.NilError(t, err)
}

func TestSentinelBreaksWhenUpstreamStops(t *testing.T) {
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
		t.Fatal("sentinel broke while the upstream was running")
	default:
	}
	assert.NilError(t, server.Close())
	select {
	case <-sentinel.Broken():
	case <-ctx.Done():
		t.Fatal("sentinel did not break after the upstream stopped")
	}
}
