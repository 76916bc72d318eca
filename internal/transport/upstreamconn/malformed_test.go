package upstreamconn

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

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
