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

// server hands each connection with its requests to serve.
func server(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int32) {
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

func answerAll(answer string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

func request(address string) Request {
	return Request{Address: address, Method: "POST", Target: "/x?y=%2f", Host: "h.example", Header: http.Header{}, Body: []byte("body")}
}

// exchange sends a request and returns the whole body.
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

func TestConnectionsAreUsedAgainAfterWholeAnswersOnly(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		conns  int32 // opened for three requests
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"no idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		{"more than an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 3},
		{"after an informational answer", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, accepted := server(t, answerAll(c.answer))
			p := NewPool(func() {})
			for range 3 {
				body, err := exchange(t, p, request(address))
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, accepted.Load(), c.conns)
		})
	}
}

func TestAnAnswerThatArrivesBetweenRequestsEndsTheConnection(t *testing.T) {
	address, accepted := server(t, func(conn net.Conn, r *bufio.Reader) {
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
		body, err := exchange(t, p, request(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, accepted.Load(), int32(3))
}

func TestFailuresTellWhetherAnythingWasSent(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	_, err = exchange(t, NewPool(func() {}), request(closed.Addr().String()))
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure) && !failure.MaybeSent)
	address, _ := server(t, func(conn net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = exchange(t, NewPool(func() {}), request(address))
	assert.Assert(t, errors.As(err, &failure) && failure.MaybeSent)
}

func TestABodyWithoutLengthIsCompleteOnlyIfTheConnectionEndsInOrder(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := server(t, func(conn net.Conn, r *bufio.Reader) {
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
		body, err := exchange(t, NewPool(func() {}), request(address))
		assert.Equal(t, body, "half")
		assert.Equal(t, err != nil, reset)
	}
}

func TestAnAnswerBeforeTheWholeBodyIsReadAndTheRestGoesNowhereElse(t *testing.T) {
	bodies := make(chan string, 4)
	address, accepted := server(t, func(conn net.Conn, r *bufio.Reader) {
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
	long := request(address)
	long.Body = []byte(strings.Repeat("x", 4<<20))
	x, err := p.Do(t.Context(), long)
	assert.NilError(t, err)
	assert.Equal(t, x.Response.StatusCode, 503)
	x.Close()
	_, err = exchange(t, p, request(address))
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int32(2), "the connection with the rest of the body is not used again")
	for range 2 {
		body := <-bodies
		assert.Assert(t, body == "body" || strings.Trim(body, "x") == "", "other bytes in the body")
	}
}

func TestTheEndOfTheContextEndsTheExchange(t *testing.T) {
	ended := make(chan struct{})
	address, _ := server(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte()
		_, _ = r.ReadByte() // behind the body: the end of the connection
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool(func() {}).Do(ctx, request(address))
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

func TestRequestsThatRunOnceTakeNoConnectionThatMayBeClosing(t *testing.T) {
	address, accepted := server(t, answerAll("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	p := NewPool(func() {})
	now := time.Now()
	p.now = func() time.Time { return now }
	once := request(address)
	once.AtMostOnce = true
	for range 2 {
		_, err := exchange(t, p, once)
		assert.NilError(t, err)
	}
	assert.Equal(t, accepted.Load(), int32(1))
	now = now.Add(onceKeep + time.Millisecond)
	_, err := exchange(t, p, once)
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int32(2))
	now = now.Add(time.Minute)
	p.CloseExpired()
	assert.Equal(t, len(p.idle), 0)
}

func TestAnEndlessHeadIsGivenUp(t *testing.T) {
	address, _ := server(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := fmt.Fprint(conn, "X-Fill: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	_, err := exchange(t, NewPool(func() {}), request(address))
	assert.ErrorIs(t, err, errHeadTooLong)
}
