package upstreamconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/standin/rawhttp"
)

// assertMalformedResponsesFail asserts that each of some responses fails as malformed after the request was sent, and
// that its connection is not used again.
func assertMalformedResponsesFail(t *testing.T, responses map[string]string) {
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, true, func(*http.Request) string { return text })
			var opened atomic.Int32
			p := NewPool(func() { opened.Add(1) })
			for range 2 {
				_, err := exchange(t, p, newRequest(listener.Addr().String()))
				assert.ErrorIs(t, err, responsehead.ErrMalformed)
				var failure *Failure
				assert.Assert(t, !errors.As(err, &failure) || failure.MaybeSent)
			}
			assert.Equal(t, opened.Load(), int32(2))
			assert.Equal(t, len(p.idle), 0)
		})
	}
}

func TestResponseWithInvalidStatusFailsAsMalformed(t *testing.T) {
	assertMalformedResponsesFail(t, rawhttp.Response{Body: "evil"}.InvalidStatuses())
}

func TestResponseWithInvalidFieldNameFailsAsMalformed(t *testing.T) {
	assertMalformedResponsesFail(t, rawhttp.Response{Body: "evil"}.InvalidFields())
}

func TestChunkedResponseInHTTP10FailsAsMalformed(t *testing.T) {
	assertMalformedResponsesFail(t, map[string]string{"chunked": rawhttp.Response{Body: "evil"}.ChunkedInHTTP10()})
}

func TestResponseWithBlankInTrailerFailsAsMalformed(t *testing.T) {
	trailers := rawhttp.Response{Body: "evil"}.InvalidTrailers()
	assertMalformedResponsesFail(t, map[string]string{"within": trailers["blank within name"], "after": trailers["blank after name"]})
}

// A response that is cut off within a line of its head looked malformed, as the line had no end. Where the connection
// ended, that is the fault.
func TestResponseCutWithinHeadFailsAsBrokenConnection(t *testing.T) {
	head := "HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for _, isReset := range []bool{false, true} {
		for cut := range head {
			address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, head[:cut])
				if isReset {
					time.Sleep(time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := exchange(t, NewPool(func() {}), newRequest(address))
			isBroken := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
			assert.Assert(t, isBroken, "%q: %v", head[:cut], err)
		}
	}
}
